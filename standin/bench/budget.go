package bench

import (
	"context"
	"errors"
	"time"
)

const (
	// quickBudget bounds the cases of a quick run. The rest of the 50 s is for
	// stopping the fleet.
	quickBudget = 44 * time.Second
	// leastShrink is the shortest part of its length that a run is given:
	// below it, a share of 0.1% or a 99th percentile means nothing.
	leastShrink = 0.5
)

// measure is one of the measures, with what it takes in a quick run on an idle
// machine.
type measure struct {
	name string
	run  func(*meter, context.Context) error
	// fixed is the time that can't be shortened, spans that of the runs whose
	// length is given by meter.span.
	fixed, spans time.Duration
	// apart measures have fleets of their own. In a quick run, they run beside
	// the others that follow.
	apart bool
}

// measures returns all in order; those that disturb the fleet come last.
func measures() []measure {
	const ms = time.Millisecond
	return []measure{
		{"overhead", (*meter).overhead, 1800 * ms, 2400 * ms, false},
		{"memory", (*meter).memory, 900 * ms, 0, false},
		{"reads", (*meter).reads, 400 * ms, 4500 * ms, false},
		{"link", (*meter).link, 4700 * ms, 1500 * ms, false},
		{"isolation", (*meter).isolation, 3300 * ms, 6000 * ms, false},
		{"configuration", (*meter).configuration, 200 * ms, 0, false},
		{"promotions", (*meter).quiet, 1800 * ms, 0, false},
		{"baseline", (*meter).baseline, 11000 * ms, 2000 * ms, true},
		{"failover", (*meter).failover, 10000 * ms, 0, false},
		{"refusals", (*meter).refusals, 3000 * ms, 6000 * ms, false},
	}
}

// budget is the time for all measures.
type budget struct {
	// end is zero when there is no limit.
	end time.Time
}

// shrink returns the part of their length that the runs of the measures in list
// must have to end in time. fits is false when the first one can't end in time
// even with the shortest runs.
func (b budget) shrink(now time.Time, list []measure) (part float64, fits bool) {
	if b.end.IsZero() {
		return 1, true
	}
	left := b.end.Sub(now)
	var fixed, spans time.Duration
	for i, x := range list {
		if i == 0 || !x.apart {
			fixed += x.fixed
			spans += x.spans
		}
	}
	part = 1
	if spans > 0 {
		part = min(1, max(leastShrink, float64(left-fixed)/float64(spans)))
	}
	first := list[0].fixed + time.Duration(part*float64(list[0].spans))
	return part, first <= left
}

// cases runs the measures. In a quick run, one that can't end in time is not
// run, and counts as missed.
func (m *meter) cases(ctx context.Context, b budget) error {
	var list []measure
	for _, x := range measures() {
		if m.cfg.Only == "" || m.cfg.Only == x.name {
			list = append(list, x)
		}
	}
	beside := make(chan error, len(list))
	waiting := 0
	var err error
	for i := 0; i < len(list) && err == nil; i++ {
		part, fits := b.shrink(time.Now(), list[i:])
		m.shrink = part
		switch {
		case !fits:
			err = m.skipped(list[i].name)
		case list[i].apart && m.cfg.Quick:
			waiting++
			own := &meter{cfg: m.cfg, out: m.out, shrink: part}
			go func() { beside <- own.within(ctx, list[i]) }()
		default:
			err = m.within(ctx, list[i])
		}
	}
	for range waiting {
		if other := <-beside; err == nil {
			err = other
		}
	}
	return err
}

// within runs a measure. One that the end of the budget interrupts counts as
// skipped.
func (m *meter) within(ctx context.Context, x measure) error {
	started := time.Now()
	err := x.run(m, ctx)
	if err != nil && m.cfg.Quick && errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return m.skipped(x.name)
	}
	if err != nil {
		return err
	}
	return m.out.print(plain("duration", x.name, time.Since(started).Seconds(), "s"))
}

func (m *meter) skipped(name string) error {
	return m.out.print(atMost("skipped", name+"_out_of_time", 1, "measures", 0))
}
