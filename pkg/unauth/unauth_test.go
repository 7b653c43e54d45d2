package unauth

import (
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

type conn struct{ hasInput, evicted atomic.Bool }

func (c *conn) HasInput() bool { return c.hasInput.Load() }
func (c *conn) Evict()         { c.evicted.Store(true) }

// TestLogins guards against callers that are refused while many log in at once, as after
// a restart of all VMs, beside strangers that open connections and send nothing; also
// when the server does not run for a while and then accepts all of them at once.
func TestLogins(t *testing.T) {
	const callers, strangersPerSecond, limit = 4300, 3000, 1000
	for _, stall := range []time.Duration{0, 2 * time.Second} {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			r := rand.New(rand.NewPCG(53, 0))
			table := Table{Limit: limit, MinAge: time.Second}
			var evicted atomic.Int64
			var wg sync.WaitGroup
			login := func(at, sends time.Duration) {
				wg.Go(func() {
					time.Sleep(max(at, stall))
					c := &conn{}
					e := table.Add(c, time.Now())
					time.Sleep(at + sends - max(at, stall))
					if !table.Remove(e) {
						evicted.Add(1)
					}
				})
			}
			for range callers {
				login(time.Duration(r.Int64N(int64(time.Second))), time.Duration(r.Int64N(int64(100*time.Millisecond))))
			}
			most := 0
			wg.Go(func() {
				for range 5 * strangersPerSecond {
					table.Add(&conn{}, time.Now())
					most = max(most, table.Len())
					time.Sleep(time.Second / strangersPerSecond)
				}
			})
			wg.Wait()
			is.Equal(evicted.Load(), int64(0))
			is.True(most <= callers+strangersPerSecond+1) // those of MinAge
		})
	}
}

// TestEvict guards against the eviction of a caller whose message the server has not read
// yet, and against a second use of one that has left the table.
func TestEvict(t *testing.T) {
	is := is.New(t)
	table := Table{Limit: 2}
	slow, silent, known := &conn{}, &conn{}, &conn{}
	slow.hasInput.Store(true)
	now := time.Unix(0, 0)
	a, b, c := table.Add(slow, now), table.Add(silent, now), table.Add(known, now)
	is.True(silent.evicted.Load())
	is.True(!table.Remove(b))
	is.True(table.Remove(c))
	is.True(!table.Remove(c))
	is.Equal(table.Relieve(now), 0)
	is.True(!slow.evicted.Load())
	slow.hasInput.Store(false)
	is.Equal(table.Relieve(now), 1)
	is.True(slow.evicted.Load())
	is.True(!table.Remove(a))
	is.Equal(table.Relieve(now), 0)
	is.Equal(table.Len(), 0)
}
