package budget

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

const (
	mib  = 1 << 20
	size = 20 * mib
)

// TestParts guards against messages that all hold a part and wait for more, so that none
// ends: that of the largest part must always be able to grow to the maximum length.
func TestParts(t *testing.T) {
	is := is.New(t)
	b := Budget{Size: 4 * mib, MaxShare: mib}
	shares := make([]Share, 64)
	waiting := 0
	for i := range shares {
		shares[i].Owner = fmt.Sprint(i % 8)
		if !b.Grow(&shares[i], mib/2) {
			waiting++
		}
	}
	is.Equal(b.InUse(), 7*mib/2)
	is.Equal(waiting, 64-7)
	is.True(b.Grow(&shares[0], mib/2)) // the largest part goes on
	b.Release(&shares[0])
	for i := range shares {
		<-shares[i].Granted() // a deadlock ends the test
		b.Complete(&shares[i], mib)
		b.Release(&shares[i])
	}
	is.Equal(b.InUse(), 0)
	is.Equal(len(b.owners), 0)
}

// TestOverrun guards against bytes that are given twice when complete messages need more
// than their buffers did.
func TestOverrun(t *testing.T) {
	is := is.New(t)
	b := Budget{Size: 2 * mib, MaxShare: mib}
	var first, second Share
	is.True(b.Grow(&first, mib/2))
	b.Complete(&first, 3*mib)
	is.True(!b.Grow(&second, 1))
	b.Release(&first)
	<-second.Granted()
	is.Equal(b.InUse(), 1)
}

// load plays callers of one workspace in simulated time.
type load struct {
	b *Budget
	r *rand.Rand
	// waits has how long each message waited in all, mu protects it.
	mu      sync.Mutex
	waits   []time.Duration
	refused int
	maximum int
}

const (
	wait  = 2 * time.Second
	stall = 2 * time.Second
)

// receive receives a message of n bytes whose buffer doubles, and reports whether it got
// all bytes in time.
func (l *load) receive(s *Share, n int) bool {
	waited := time.Duration(0)
	defer func() {
		l.mu.Lock()
		l.waits = append(l.waits, waited)
		l.mu.Unlock()
	}()
	for buf := 4 << 10; buf < n; {
		grown := min(2*buf, mib)
		start := time.Now()
		want := grown - buf
		if buf == 4<<10 {
			want = grown
		}
		if !l.b.Grow(s, want) {
			t := time.NewTimer(wait)
			select {
			case <-s.Granted():
				t.Stop()
			case <-t.C:
				return false
			}
		}
		waited += time.Since(start)
		buf = grown
		time.Sleep(time.Millisecond) // the bytes arrive
		l.mu.Lock()
		l.maximum = max(l.maximum, l.b.InUse())
		l.mu.Unlock()
	}
	return true
}

// TestHostileWorkspaces guards against callers of one workspace that keep out those of
// others by half messages in hundreds of sessions, and against more memory than the
// budget.
func TestHostileWorkspaces(t *testing.T) {
	for hostile := range 4 {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			b := &Budget{Size: size, MaxShare: mib}
			bad := &load{b: b}
			good := &load{b: b}
			end := time.Now().Add(10 * time.Second)
			var wg sync.WaitGroup
			for i := range 500 * hostile {
				wg.Go(func() {
					for time.Now().Before(end) {
						s := &Share{Owner: fmt.Sprint("hostile", i%hostile)}
						if bad.receive(s, mib) {
							time.Sleep(stall)
						}
						b.Release(s)
						time.Sleep(100 * time.Millisecond) // it connects again
					}
				})
			}
			for i := range 200 {
				r := rand.New(rand.NewPCG(53, uint64(i)))
				wg.Go(func() {
					for time.Now().Before(end) {
						time.Sleep(time.Duration(r.Int64N(int64(4 * time.Second))))
						s := &Share{Owner: fmt.Sprint("good", i%3)}
						n := 4<<10 + r.IntN(16<<10)
						if r.IntN(10) == 0 {
							n = mib
						}
						if good.receive(s, n) {
							b.Complete(s, n)
							time.Sleep(20 * time.Millisecond) // the statement runs
						} else {
							good.mu.Lock()
							good.refused++
							good.mu.Unlock()
						}
						b.Release(s)
					}
				})
			}
			wg.Wait()
			var longest, sum time.Duration
			for _, w := range good.waits {
				longest = max(longest, w)
				sum += w
			}
			t.Logf("%d hostile workspaces: %d messages of others, %d refused, longest wait %v, mean %v, most bytes %.1f MiB",
				hostile, len(good.waits), good.refused, longest, sum/time.Duration(len(good.waits)), float64(max(bad.maximum, good.maximum))/mib)
			is.True(max(bad.maximum, good.maximum) <= size)
			is.Equal(b.InUse(), 0)
			if hostile <= 1 {
				is.Equal(good.refused, 0)
				is.True(longest < stall) // no wait for a hostile message to end
			}
		})
	}
}
