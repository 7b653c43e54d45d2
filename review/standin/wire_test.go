package main

import (
	"bufio"
	"io"
	"strings"
	"testing"
	"testing/iotest"
	"time"
)

// TestNext guards against a stand-in that ends a message elsewhere than at CR LF.
func TestNext(t *testing.T) {
	const stream = "QUERY a SET v b\nQUERY c WRITE x y\r\n\r\r\na\rb\n\r\r\n\x00\x85\t \r\nrest\r"
	for _, r := range []io.Reader{strings.NewReader(stream), iotest.OneByteReader(strings.NewReader(stream))} {
		in := &lineReader{r: r}
		for _, want := range strings.Split(stream, lineEnd) {
			got, err := in.next()
			if want == "rest\r" {
				if err != io.EOF {
					t.Errorf("unfinished line: %q, %v", got, err)
				}
			} else if got != want || err != nil {
				t.Errorf("got %q, %v, want %q", got, err, want)
			}
		}
	}
	in := &lineReader{r: strings.NewReader(strings.Repeat("x", maxLine) + lineEnd + strings.Repeat("x", maxLine+1) + lineEnd)}
	if _, err := in.next(); err != nil {
		t.Error(err)
	}
	if _, err := in.next(); err != errTooLong {
		t.Error(err)
	}
}

// TestAsked guards against a statement that a database runs though no caller has sent it.
func TestAsked(t *testing.T) {
	a := &asked{rec: &recorder{w: bufio.NewWriter(io.Discard), start: time.Now()}}
	a.send("QUERY a WRITE x  y ")
	a.check("i-a", "a", "WRITE x  y ")
	a.check("i-a", "-", "BEGIN")
	if a.any() {
		t.Error("a fault without a reason")
	}
	for _, st := range [][2]string{{"a", "WRITE x y"}, {"b", "WRITE x  y "}, {"-", "COMMIT"}, {"-", "READ x"}} {
		a.faults = 0
		if a.check("i-a", st[0], st[1]); !a.any() {
			t.Errorf("%q passed", st)
		}
	}
}
