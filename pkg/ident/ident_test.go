package ident

import (
	"errors"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

// TestParsePosition guards against tokens of callers that are accepted in a
// form other than term/index.
func TestParsePosition(t *testing.T) {
	for _, test := range []struct {
		text string
		want Position
		ok   bool
	}{
		{"3/17", Position{3, 17}, true},
		{"0/0", Position{}, true},
		{"", Position{}, false},
		{"3", Position{}, false},
		{"3/", Position{}, false},
		{"-1/2", Position{}, false},
		{"1/2/3", Position{}, false},
		{"18446744073709551616/1", Position{}, false},
	} {
		t.Run(test.text, func(t *testing.T) {
			is := is.New(t)
			got, err := ParsePosition(test.text)
			is.Equal(err == nil, test.ok)
			is.Equal(got, test.want)
			if !test.ok {
				var e *Error
				is.True(errors.As(err, &e))
				is.Equal(e.Kind, KindSyntax)
			}
		})
	}
}

// TestPositionOrder guards against an order in which a long log of an old
// term comes after a short log of a newer one.
func TestPositionOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p := Position{Term(rapid.Uint64().Draw(t, "pt")), rapid.Uint64().Draw(t, "pi")}
		q := Position{Term(rapid.Uint64().Draw(t, "qt")), rapid.Uint64().Draw(t, "qi")}
		if p.Term < q.Term && !p.Less(q) {
			t.Fatalf("%v is not before %v", p, q)
		}
		if p.Less(q) && q.Less(p) {
			t.Fatalf("%v and %v are each before the other", p, q)
		}
		r, err := ParsePosition(p.String())
		if err != nil || r != p {
			t.Fatalf("%v read back as %v, %v", p, r, err)
		}
	})
}

// TestCheck guards against identifiers that could break a store key or a log line.
func TestCheck(t *testing.T) {
	is := is.New(t)
	is.NoErr(Check("bogota-norte"))
	is.NoErr(Check("db1.a_b"))
	for _, s := range []string{"", "-a", "A", "a/b", "a b", "ž", string(make([]byte, 64))} {
		is.True(Check(s) != nil)
	}
}

// TestAccrue guards against tokens out of negative time, which a caller that
// takes times out of order would get.
func TestAccrue(t *testing.T) {
	is := is.New(t)
	is.Equal(Accrue(5, time.Second), 5*Token)
	is.Equal(Accrue(0.5, time.Second), Token/2)
	is.Equal(Accrue(5, -time.Second), MicroTokens(0))
}
