package relay

import (
	"errors"
	"sync/atomic"
	"time"

	"chervilspan.example/pkg/dbop"
)

// goneInterval is how often a waiting request checks whether its caller has closed the
// connection.
const goneInterval = 50 * time.Millisecond

// errCallerGone means that a request was given up because its caller has closed the
// connection.
var errCallerGone = errors.New("relay: the caller has closed its connection")

// watchCaller cancels the stream of a waiting request when its caller closes the
// connection, so that the lender drops the request. It returns nil where no statement
// is known to wait. The returned function ends the watch; it returns false if the
// stream has been cancelled.
func (c *Client) watchCaller(l *loan, k pressureKey, sched dbop.Scheduling) (stop func() bool) {
	if !sched.Ranked || sched.Gone == nil {
		return nil
	}
	c.mu.Lock()
	p := c.pressure[k]
	c.mu.Unlock()
	if !p.IsFresh(time.Now()) {
		return nil
	}
	var ended atomic.Bool
	done := make(chan struct{})
	go func() {
		t := time.NewTicker(goneInterval)
		defer t.Stop()
		for {
			select {
			case <-done:
				return
			case <-t.C:
			}
			if sched.Gone() && ended.CompareAndSwap(false, true) {
				l.cancel()
				return
			}
		}
	}()
	return func() bool {
		ok := ended.CompareAndSwap(false, true)
		close(done)
		return ok
	}
}
