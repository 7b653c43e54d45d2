package node

import (
	"context"
	"slices"
	"time"

	"chervilspan.example/internal/dbpool"
	"chervilspan.example/internal/evlog"
	"chervilspan.example/internal/metr"
	"chervilspan.example/pkg/ident"
	"chervilspan.example/pkg/roster"
	"chervilspan.example/pkg/speed"
)

const (
	// stallCheckInterval is how often a VM checks whether it has begun to use connections
	// of its own, and ticksPerCheck is the number of ticks after which it checks whether
	// it still does. Most VMs of a large fleet hold no connections and need no ticks.
	// stallIdleAfter is how long ticks go on without answers.
	stallCheckInterval = time.Second
	ticksPerCheck      = 250
	stallIdleAfter     = 30 * time.Second
	// loggedSpeedRatio is the ratio by which the learned speed of a database must
	// change to be logged.
	loggedSpeedRatio = 2
	// maxLoggedSpeedAge is the age up to which a change is logged: a figure without
	// new answers returns to the average.
	maxLoggedSpeedAge = time.Second
)

// learnsSpeed reports whether the learned speed of a database is used.
func (n *Node) learnsSpeed(m *roster.Member) bool {
	if set := n.settings.LearnSpeed; set != nil {
		return *set
	}
	return n.isLent(m.Group)
}

// watchStalls notices when this VM did not run, for example because it has used up
// its processor time, so that this is not taken for slowness of databases.
func (n *Node) watchStalls(ctx context.Context) {
	if set := n.settings.LearnSpeed; set != nil && !*set {
		return
	}
	idle := time.NewTicker(stallCheckInterval)
	defer idle.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-idle.C:
		}
		if n.holdsConns() {
			n.tick(ctx)
		}
	}
}

// tick calls Tick while this VM runs statements on connections of its own.
func (n *Node) tick(ctx context.Context) {
	t := time.NewTicker(speed.TickInterval)
	defer t.Stop()
	defer n.pools.StopTicks()
	for i := 1; ; i++ {
		n.pools.Tick(time.Now())
		if i%ticksPerCheck == 0 && !n.holdsConns() {
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
	}
}

// holdsConns reports whether this VM has recently learned from connections of its own.
func (n *Node) holdsConns() bool {
	return slices.ContainsFunc(n.pools.Speeds(), func(s dbpool.Speed) bool { return s.Age < stallIdleAfter })
}

// speedReport has the learned speed of each database as last logged.
type speedReport struct {
	targets metr.LabelValues
	logged  map[ident.Target]dbpool.Speed
}

// changed reports whether a figure differs enough from the last one logged, and keeps
// it if so. The first figure of a database is not logged unless it is limited.
func (r *speedReport) changed(s dbpool.Speed) bool {
	if s.Age > maxLoggedSpeedAge || s.Time <= 0 {
		return false
	}
	if r.logged == nil {
		r.logged = map[ident.Target]dbpool.Speed{}
	}
	last, ok := r.logged[s.Target]
	if !ok {
		last = s
		last.Limit = s.Slots
		r.logged[s.Target] = last
	}
	if !differs(float64(last.Time), float64(s.Time)) && !differs(float64(last.Limit), float64(s.Limit)) {
		return false
	}
	r.logged[s.Target] = s
	return true
}

func differs(a, b float64) bool { return a >= loggedSpeedRatio*b || b >= loggedSpeedRatio*a }

// reportSpeeds reports what has been learned about the databases to which this VM
// holds connections.
func (n *Node) reportSpeeds() {
	r := &n.speedReport
	speeds := n.pools.Speeds()
	for _, s := range speeds {
		scope := n.metrics.Scope.Tagged(map[string]string{"target": r.targets.Bound(string(s.Target))})
		scope.Gauge("speed_service_seconds").Update(s.Time.Seconds())
		scope.Gauge("speed_limit").Update(float64(s.Limit))
		scope.Gauge("speed_failure_rate").Update(s.FailureRate)
		scope.Gauge("speed_age_seconds").Update(s.Age.Seconds())
		if r.changed(s) {
			evlog.At(n.log, evlog.SpeedChanged).Str("target", string(s.Target)).Int64("service_us", s.Time.Microseconds()).
				Int("limit", s.Limit).Int("slots", s.Slots).Float64("failure_rate", s.FailureRate).Dur("age", s.Age).Send()
		}
	}
	for id := range r.logged {
		if !slices.ContainsFunc(speeds, func(s dbpool.Speed) bool { return s.Target == id }) {
			delete(r.logged, id)
		}
	}
}
