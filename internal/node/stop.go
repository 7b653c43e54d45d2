package node

import (
	"context"
	"time"

	"chervilspan.example/internal/evlog"
)

const (
	// noticeTime is how long the VM serves on after its readiness has gone, until
	// the balancer has seen it twice.
	noticeTime = 2300 * time.Millisecond
	// leaveTime bounds the calls to the store at the end of a stop.
	leaveTime = 400 * time.Millisecond
)

// stop ends sessions within the grace time: those between two operations first,
// those in a transaction after half of the time. It returns how many are left.
func (n *Node) stop() int {
	begin, grace := time.Now(), time.Duration(n.grace.Load())
	n.stopping.Store(true)
	n.lender.Stop()
	evlog.At(n.log, evlog.DrainStarted).Int("sessions", n.engine.Sessions()).Send()
	time.Sleep(min(noticeTime, grace/2))
	n.engine.CloseIdle()
	half := begin.Add(grace / 2)
	if n.engine.Wait(half) > 0 {
		n.engine.CloseAll()
	}
	end := begin.Add(grace - grace/6 - leaveTime)
	left := n.engine.Wait(end)
	n.lender.Wait(end)
	ctx, cancel := context.WithTimeout(context.Background(), leaveTime)
	defer cancel()
	n.fleet.Leave(ctx)
	if err := n.limiter.RevokeLease(ctx); err != nil {
		// The slices come free when their lease ends.
		evlog.At(n.log, evlog.FleetUnlisted).Err(err).Send()
	}
	return left
}
