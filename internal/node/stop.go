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
	// leaveTimeout limits the calls to the store during a stop.
	leaveTimeout = 400 * time.Millisecond
)

// stopPlan has the times of a planned stop.
type stopPlan struct {
	// closeIdle is when sessions outside a transaction end, closeAll when those in one do.
	closeIdle, closeAll time.Time
	// answersBy is when the last statements are answered or refused. Until the last sixth
	// of the grace period, databases may be at work on them; an answer given just before
	// has until answersBy to arrive.
	answersBy time.Time
	// end is when the VM ends. It leaves time to pass the last answers on, and to spare
	// before the process is killed.
	end time.Time
}

// planStop returns the plan of a stop that begins at a time.
func planStop(begin time.Time, grace time.Duration) stopPlan {
	return stopPlan{
		closeIdle: begin.Add(min(noticePeriod, grace/2)),
		closeAll:  begin.Add(grace / 2),
		answersBy: begin.Add(grace - grace/8),
		end:       begin.Add(grace - grace/10),
	}
}

// stop ends the sessions within the grace period. Sessions outside a transaction
// end first, those in a transaction after half of the period. It returns the number
// of sessions that are left.
func (n *Node) stop() int {
	plan := planStop(time.Now(), time.Duration(n.gracePeriod.Load()))
	n.stopping.Store(true)
	n.lender.Stop()
	n.engine.AnswerBy(plan.answersBy)
	evlog.At(n.log, evlog.DrainStarted).Int("sessions", n.engine.Sessions()).Send()
	time.Sleep(time.Until(plan.closeIdle))
	n.monitor.Retire() // a failover takes less than the rest
	n.engine.CloseIdle()
	if n.engine.Wait(plan.closeAll) > 0 {
		n.engine.CloseAll()
	}
	left := make(chan struct{})
	go func() {
		n.leave()
		close(left)
	}()
	sessions := n.engine.Wait(plan.end)
	n.lender.Wait(plan.end)
	n.monitor.AwaitIdle(plan.end)
	<-left
	return sessions
}

// leave takes the VM off the list and gives its rate slices back. It runs beside the last
// statements, which need neither.
func (n *Node) leave() {
	ctx, cancel := context.WithTimeout(context.Background(), leaveTimeout)
	defer cancel()
	n.fleet.Leave(ctx)
	if err := n.limiter.RevokeLease(ctx); err != nil {
		// The slices become free when their lease expires.
		evlog.At(n.log, evlog.FleetUnlisted).Err(err).Send()
	}
}
