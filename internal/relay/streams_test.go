package relay

import (
	"context"
	"testing"

	"github.com/matryer/is"

	"chervilspan.example/internal/dbpool"
)

// TestDropStreams guards against idle streams that were lost together with a connection to
// a lender, each of which then fails another request and keeps the lender avoided.
func TestDropStreams(t *testing.T) {
	is := is.New(t)
	open := map[string]int{}
	c := &Client{idleStreams: map[string][]*loan{}}
	for _, address := range []string{"a", "a", "a", "b"} {
		_, cancel := context.WithCancel(t.Context())
		open[address]++
		c.idleStreams[address] = append(c.idleStreams[address], &loan{client: c, address: address, cancel: func() { open[address]--; cancel() }})
	}
	c.avoidAfter("b", "i-1", &dbpool.Error{Kind: dbpool.KindUnreachable}) // only the database failed
	is.Equal(open, map[string]int{"a": 3, "b": 1})
	c.avoidAfter("a", "i-1", &dbpool.Error{Kind: dbpool.KindLenderFailed})
	is.Equal(open, map[string]int{"a": 0, "b": 1})
	is.Equal(len(c.idleStreams["a"]), 0)
}
