package relay_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"chervilspan.example/internal/linktest"
	"chervilspan.example/pkg/dbop"
)

// largeVars returns session variables that exceed the limit on messages between VMs, as
// sessions leave them on a connection one after the other.
func largeVars() map[string]string {
	out := map[string]string{}
	for i := range 5 {
		out[fmt.Sprint("v", i)] = strings.Repeat("x", 1<<20-100)
	}
	return out
}

// TestLargeConnection guards against a connection whose session state does not fit a
// message between VMs and that is lent again, so that its lender is avoided as dead.
func TestLargeConnection(t *testing.T) {
	is := is.New(t)
	c := linktest.New("g", "a")
	l := newLender(t, c, 4)
	conn, err := l.pools.Get(in(time.Second), member(c), "w", 7)
	is.NoErr(err)
	for name, value := range largeVars() { // one by one, as a transaction's statements set them
		_, err := conn.Do(in(time.Second), dbop.Statement{Kind: dbop.Set, Name: name, Arg: value})
		is.NoErr(err)
	}
	conn.Release(true)
	p := borrower(t, c, l)
	for range 2 {
		conn, err := p.Get(in(time.Second), member(c), "w", 8)
		is.NoErr(err)
		conn.Release(true)
		time.Sleep(20 * time.Millisecond) // let the lender receive the return
	}
	is.Equal(l.pools.Dials.Load(), uint64(2)) // the first connection is not kept
	is.Equal(p.Dials.Load(), uint64(0))       // no connection of the borrower's own
}
