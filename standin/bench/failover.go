package bench

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"sync"
	"syscall"
	"time"

	"chervilspan.example/pkg/ident"
	"chervilspan.example/standin/fleet"
	"chervilspan.example/standin/load"
	"chervilspan.example/standin/target"
)

const (
	// failoverRate is in writes a second over all workspaces; the mean gap of
	// a quiet run is its inverse.
	failoverRate = 200
	// faultAfter is when in a run the fault comes.
	faultAfter = 800 * time.Millisecond
	// failoverSessions is the number of connections of each workspace: enough
	// that statements which hang in the fault do not take up all of them, as
	// with the thousands of connections that a VM has.
	failoverSessions = 32
	// Objectives of the unavailability, in seconds.
	failoverMedian = 1.0
	failoverWorst  = 2.5
	// Objective of the requests sent to targets per request from callers.
	amplification = 1.2
)

// fault is a fault of a primary and its end.
type fault struct {
	name string
	// idempotent runs write under idempotency keys.
	idempotent bool
	begin      func(ctx context.Context, s *stage, t *fleet.Target) error
	end        func(ctx context.Context, s *stage, t *fleet.Target) error
}

func primaryFaults() []fault {
	return []fault{
		{
			"kill", false,
			func(_ context.Context, _ *stage, t *fleet.Target) error { t.Proc().Kill(); return nil },
			func(_ context.Context, s *stage, t *fleet.Target) error { return s.f.StartTarget(t) },
		},
		{
			"freeze", true,
			func(_ context.Context, _ *stage, t *fleet.Target) error { return t.Proc().Signal(syscall.SIGSTOP) },
			func(_ context.Context, _ *stage, t *fleet.Target) error { return t.Proc().Signal(syscall.SIGCONT) },
		},
		{
			"cut_from_replicas", false,
			func(ctx context.Context, s *stage, t *fleet.Target) error {
				return s.fault(ctx, t, target.FaultCut, "*")
			},
			func(ctx context.Context, s *stage, t *fleet.Target) error {
				return s.fault(ctx, t, target.FaultHeal, "*")
			},
		},
		{
			"silent_connections", false,
			func(ctx context.Context, s *stage, t *fleet.Target) error {
				return s.fault(ctx, t, target.FaultSilence, "1")
			},
			func(context.Context, *stage, *fleet.Target) error { return nil },
		},
	}
}

// trial runs writes on a group while its primary has a fault. It returns the
// run and the requests sent to targets per request from callers, which is 0
// when the fault loses the targets' counts.
func (m *meter) trial(ctx context.Context, g ident.Group, f fault, perSecond float64, d time.Duration) (*load.Report, float64, error) {
	s := m.stage
	if err := s.settle(ctx, g); err != nil {
		return nil, 0, err
	}
	if err := load.Prepare(ctx, s.access(g)); err != nil {
		return nil, 0, err
	}
	primary, err := s.f.Primary(ctx, g)
	if err != nil {
		return nil, 0, err
	}
	before, err := m.statements(ctx, g)
	if err != nil {
		return nil, 0, err
	}
	began := make(chan error, 1)
	go func() {
		time.Sleep(faultAfter)
		began <- f.begin(ctx, s, primary)
	}()
	cfg := m.load(string(g), perSecond, d, 1)
	cfg.Idempotent = f.idempotent
	cfg.SessionsPerWorkspace = failoverSessions
	r, err := load.Run(ctx, cfg)
	if err != nil {
		return nil, 0, err
	}
	if err := <-began; err != nil {
		return nil, 0, err
	}
	if err := f.end(ctx, s, primary); err != nil {
		return nil, 0, err
	}
	if err := s.settle(ctx, g); err != nil {
		return nil, 0, err
	}
	if err := m.verify(ctx, g, "failover_"+f.name, r); err != nil {
		return nil, 0, err
	}
	if err := m.bounded("failover_"+f.name, r); err != nil {
		return nil, 0, err
	}
	after, err := m.statements(ctx, g)
	if err != nil || after < before {
		return r, 0, err
	}
	return r, float64(after-before) / float64(r.Total.Sent), nil
}

// statements sums what a group's targets were sent.
func (m *meter) statements(ctx context.Context, g ident.Group) (sum int64, err error) {
	for _, t := range m.stage.targets(g) {
		n, _, err := m.stage.stats(ctx, t)
		if err != nil {
			return 0, err
		}
		sum += n
	}
	return sum, nil
}

// outage has the results of all trials of a fault.
type outage struct {
	gaps       []float64
	done, sent int
	// requests sent to targets per request from callers, in the first trial.
	requests float64
}

// failover measures the unavailability of writes for each fault of a primary.
func (m *meter) failover(ctx context.Context) error {
	// A run without recovery shows a gap up to its end, which must be above the
	// objective. Quick runs have two faults at a time, of different groups, and
	// share the rate of the workspaces among them.
	trials, d, together := 5, 5*time.Second, 1
	if m.cfg.Quick {
		trials, d, together = 1, 3400*time.Millisecond, 2
	}
	var all []float64
	for faults := range slices.Chunk(primaryFaults(), together) {
		results := make([]outage, len(faults))
		errs := make([]error, len(faults))
		var wg sync.WaitGroup
		for i, f := range faults {
			wg.Go(func() {
				results[i], errs[i] = m.trials(ctx, f, i, trials, failoverRate/float64(together), d)
			})
		}
		wg.Wait()
		if err := errors.Join(errs...); err != nil {
			return caseError("failover", err)
		}
		for i, o := range results {
			all = append(all, o.gaps...)
			if err := m.printOutage(faults[i].name, o); err != nil {
				return err
			}
		}
	}
	if err := m.out.print(atMost("failover", fmt.Sprintf("median_of_%d", len(all)), median(all), "s", failoverMedian)); err != nil {
		return err
	}
	return m.out.print(atMost("failover", fmt.Sprintf("worst_of_%d", len(all)), nearestRank(all, 1), "s", failoverWorst))
}

// trials runs a fault n times, with the groups in turn from the first one.
func (m *meter) trials(ctx context.Context, f fault, first, n int, perSecond float64, d time.Duration) (o outage, err error) {
	groups := []ident.Group{"taller-1", "taller-3"}
	for i := range n {
		r, requests, err := m.trial(ctx, groups[(first+i)%len(groups)], f, perSecond, d)
		if err != nil {
			return o, fmt.Errorf("%s: %w", f.name, err)
		}
		o.gaps = append(o.gaps, r.WriteGapMS/1000)
		o.done += r.Total.Done
		o.sent += r.Total.Sent
		if i == 0 {
			o.requests = requests
		}
	}
	return o, nil
}

func (m *meter) printOutage(name string, o outage) error {
	lines := []Line{
		plain("not_done", "failover_"+name, 1-float64(o.done)/float64(max(o.sent, 1)), "share"),
		atMost("failover", fmt.Sprintf("%s_worst_of_%d", name, len(o.gaps)), nearestRank(o.gaps, 1), "s", failoverWorst),
	}
	if name == "freeze" {
		lines = append(lines, atMost("retry_amplification", "primary_frozen", o.requests, "requests_per_request", amplification))
	}
	for _, l := range lines {
		if err := m.out.print(l); err != nil {
			return err
		}
	}
	return nil
}

// quiet counts promotions while primaries pause for 200 ms, which must not
// count as a failure.
func (m *meter) quiet(ctx context.Context) error {
	const pause = 200 * time.Millisecond
	rounds := 20
	if m.cfg.Quick {
		rounds = 3
	}
	g := ident.Group("taller-2")
	before, err := m.stage.term(ctx, g)
	if err != nil {
		return caseError("quiet", err)
	}
	for range rounds {
		primary, err := m.stage.f.Primary(ctx, g)
		if err != nil {
			return caseError("quiet", err)
		}
		if err := primary.Proc().Signal(syscall.SIGSTOP); err != nil {
			return caseError("quiet", err)
		}
		time.Sleep(pause)
		if err := primary.Proc().Signal(syscall.SIGCONT); err != nil {
			return caseError("quiet", err)
		}
		time.Sleep(2 * pause)
	}
	after, err := m.stage.term(ctx, g)
	if err != nil {
		return caseError("quiet", err)
	}
	return m.out.print(atMost("promotions", fmt.Sprintf("%d_pauses_of_200ms", rounds), float64(after-before), "terms", 0))
}
