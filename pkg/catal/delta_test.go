package catal

import (
	"errors"
	"flag"
	"fmt"
	"reflect"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"chervilspan.example/pkg/ident"
)

// The seed is fixed so that a run can be repeated; -rapid.seed sets another.
func init() { _ = flag.Set("rapid.seed", "1") }

func drawCatalogue(t *rapid.T, label string) *Catalogue {
	c := &Catalogue{Version: ident.Version(rapid.Uint64Range(1, 9).Draw(t, label)), Zones: map[ident.Zone]Zone{"z": {Region: "r"}}}
	for i := range rapid.IntRange(0, 4).Draw(t, label+"n") {
		w := Workspace{Owner: "<o>", Rate: rapid.Float64Range(0.1, 9).Draw(t, label+"rate"), Burst: uint32(i)}
		if rapid.Bool().Draw(t, label+"key") {
			w.Keys = map[string]Key{"k": {SHA256: "x", Expires: time.Unix(int64(i), 5).UTC()}}
		}
		if c.Workspaces == nil {
			c.Workspaces = map[ident.Workspace]Workspace{}
		}
		c.Workspaces[ident.Workspace(fmt.Sprintf("w%d", rapid.IntRange(0, 5).Draw(t, label+"id")))] = w
	}
	c.Sharing.Shards = uint32(rapid.IntRange(0, 2).Draw(t, label+"shards"))
	return c
}

// TestDeltaApply guards against a delta whose result differs from the new
// version, and against a base that Apply changes.
func TestDeltaApply(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		old, next := drawCatalogue(t, "old"), drawCatalogue(t, "next")
		before, _ := Hash(old)
		d, err := NewDelta(old, next)
		if err != nil {
			t.Fatal(err)
		}
		got, err := d.Apply(old)
		if err != nil {
			t.Fatal(err)
		}
		if !reflect.DeepEqual(got, next) {
			t.Fatalf("got %+v, want %+v", got, next)
		}
		if after, _ := Hash(old); after != before {
			t.Fatal("the base changed")
		}
	})
}

// TestDeltaRefused guards against a delta that is applied to another base or
// that lost an entry on its way.
func TestDeltaRefused(t *testing.T) {
	is := is.New(t)
	old, next := mustRead(t, sample), mustRead(t, sample)
	next.Version = 4
	next.Routes["more"] = Route{Owner: "o", Group: "g"}
	delete(next.Workspaces, "w")
	d, err := NewDelta(old, next)
	is.NoErr(err)
	is.Equal(len(d.Put), 1)
	is.Equal(d.Removed, []string{"/workspaces/w"})
	var e *Error
	_, err = d.Apply(next)
	is.True(errors.As(err, &e))
	is.Equal(e.Kind, KindBaseMismatch)
	d.Removed = nil
	_, err = d.Apply(old)
	is.True(errors.As(err, &e))
	is.Equal(e.Kind, KindHashMismatch)
}

// TestDiff guards against differences that operators don't get to see.
func TestDiff(t *testing.T) {
	is := is.New(t)
	old, next := mustRead(t, sample), mustRead(t, sample)
	next.Routes["more"] = Route{Owner: "o", Group: "g"}
	w := next.Workspaces["w"]
	w.Rate = 7
	next.Workspaces["w"] = w
	delete(next.Groups["g"].Targets, "a")
	changes, err := Diff(old, next)
	is.NoErr(err)
	is.Equal(FormatChanges(changes), `- /groups/g/targets/a {"address":"127.0.0.1:1","zone":"z1","slots":3,"connections":30}
+ /routes/more {"owner":"o","group":"g"}
~ /workspaces/w/rate 5 -> 7
`)
}

// TestKey guards against keys that don't match themselves, or that match after
// a change of any one character.
func TestKey(t *testing.T) {
	is := is.New(t)
	text, k, err := NewKey("office_2")
	is.NoErr(err)
	is.Equal(len(text), len("chv_office_2_")+64)
	id, ok := KeyID(text)
	is.True(ok)
	is.Equal(id, "office_2")
	is.True(k.Matches(text))
	for i := range text {
		b := []byte(text)
		b[i] ^= 1
		is.True(!k.Matches(string(b)))
	}
	_, _, err = NewKey("Bad Id")
	is.True(err != nil)
	for _, s := range []string{"", "chv_", "chv_a_", "chv_a_00", "chv__" + text[13:], "xchv_a_" + text[13:]} {
		_, ok := KeyID(s)
		is.True(!ok)
	}
}
