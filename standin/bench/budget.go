package bench

import (
	"context"
	"errors"
	"time"
)

const (
	// quickBudget bounds a quick run up to the end of its measures. The rest of
	// the 50 s is for stopping the fleet.
	quickBudget = 44 * time.Second
	// minRunScale is the lower bound of runScale: in shorter runs, a share of
	// 0.1% or a 99th percentile is not meaningful.
	minRunScale = 0.5
)

// measure is one of the measures, with its duration in a quick run on an idle
// machine.
type measure struct {
	name string
	run  func(*measurement, context.Context) error
	// fixedTime is the part that cannot be shortened, scalableTime that of the
	// runs whose length runDuration gives.
	fixedTime, scalableTime time.Duration
	// ownFleet tells that the measure starts its own fleets. In a quick run, it
	// runs concurrently with the measures that follow.
	ownFleet bool
}

// measures returns all measures in order. Those that disturb the fleet come last.
func measures() []measure {
	const ms = time.Millisecond
	return []measure{
		{"overhead", (*measurement).measureOverhead, 1800 * ms, 2400 * ms, false},
		{"memory", (*measurement).measureMemory, 900 * ms, 0, false},
		{"reads", (*measurement).measureReads, 400 * ms, 4500 * ms, false},
		{"link", (*measurement).measureLink, 4700 * ms, 1500 * ms, false},
		{"isolation", (*measurement).measureIsolation, 3300 * ms, 6000 * ms, false},
		{"configuration", (*measurement).measureConfiguration, 200 * ms, 0, false},
		{"promotions", (*measurement).measurePromotions, 1800 * ms, 0, false},
		{"baseline", (*measurement).measureBaseline, 11000 * ms, 2000 * ms, true},
		{"failover", (*measurement).measureFailover, 10000 * ms, 0, false},
		{"refusals", (*measurement).measureRefusals, 3000 * ms, 6000 * ms, false},
	}
}

// budget is the time limit for all measures.
type budget struct {
	// end is zero when there is no limit.
	end time.Time
}

// runScale returns the factor by which the runs of the measures in list must be
// shortened to end in time, at least minRunScale. fits is false when the first
// measure cannot end in time even so.
func (b budget) runScale(now time.Time, list []measure) (scale float64, fits bool) {
	if b.end.IsZero() {
		return 1, true
	}
	left := b.end.Sub(now)
	var fixed, scalable time.Duration
	for i, x := range list {
		if i == 0 || !x.ownFleet {
			fixed += x.fixedTime
			scalable += x.scalableTime
		}
	}
	scale = 1
	if scalable > 0 {
		scale = min(1, max(minRunScale, float64(left-fixed)/float64(scalable)))
	}
	first := list[0].fixedTime + time.Duration(scale*float64(list[0].scalableTime))
	return scale, first <= left
}

// runMeasures runs the measures. In a quick run, a measure that cannot end in
// time is not run and counts as a missed objective.
func (m *measurement) runMeasures(ctx context.Context, b budget) error {
	var list []measure
	for _, x := range measures() {
		if m.cfg.Only == "" || m.cfg.Only == x.name {
			list = append(list, x)
		}
	}
	results := make(chan error, len(list))
	running := 0
	var err error
	for i := 0; i < len(list) && err == nil; i++ {
		scale, fits := b.runScale(time.Now(), list[i:])
		m.runScale = scale
		switch {
		case !fits:
			err = m.printSkipped(list[i].name)
		case list[i].ownFleet && m.cfg.Quick:
			running++
			separate := &measurement{cfg: m.cfg, out: m.out, runScale: scale}
			go func() { results <- separate.runMeasure(ctx, list[i]) }()
		default:
			err = m.runMeasure(ctx, list[i])
		}
	}
	for range running {
		if other := <-results; err == nil {
			err = other
		}
	}
	return err
}

// runMeasure runs a measure and prints its duration. A measure that is
// interrupted by the end of the budget counts as skipped.
func (m *measurement) runMeasure(ctx context.Context, x measure) error {
	started := time.Now()
	err := x.run(m, ctx)
	if err != nil && m.cfg.Quick && errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return m.printSkipped(x.name)
	}
	if err != nil {
		return err
	}
	return m.out.print(withoutObjective("duration", x.name, time.Since(started).Seconds(), "s"))
}

func (m *measurement) printSkipped(name string) error {
	return m.out.print(atMost("skipped", name+"_out_of_time", 1, "measures", 0))
}
