package node

import (
	"context"
	"time"

	"chervilspan.example/internal/evlog"
)

const (
	// noticePeriod is how long the VM keeps serving after its readiness check fails:
	// long enough for the load balancer to see two failed checks.
	noticePeriod = 2300 * time.Millisecond
	// leaveTimeout limits the calls to the store at the end of a stop.
	leaveTimeout = 400 * time.Millisecond
)

// stop ends the sessions within the grace period. Sessions outside a transaction
// end first, those in a transaction after half of the period. It returns the number
// of sessions that are left.
func (n *Node) stop() int {
	begin, grace := time.Now(), time.Duration(n.gracePeriod.Load())
	n.stopping.Store(true)
	n.lender.Stop()
	evlog.At(n.log, evlog.DrainStarted).Int("sessions", n.engine.Sessions()).Send()
	time.Sleep(min(noticePeriod, grace/2))
	n.engine.CloseIdle()
	half := begin.Add(grace / 2)
	if n.engine.Wait(half) > 0 {
		n.engine.CloseAll()
	}
	end := begin.Add(grace - grace/6 - leaveTimeout)
	left := n.engine.Wait(end)
	n.lender.Wait(end)
	ctx, cancel := context.WithTimeout(context.Background(), leaveTimeout)
	defer cancel()
	n.fleet.Leave(ctx)
	if err := n.limiter.RevokeLease(ctx); err != nil {
		// The slices become free when their lease expires.
		evlog.At(n.log, evlog.FleetUnlisted).Err(err).Send()
	}
	return left
}
