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
	// failoverRate is in writes per second over all workspaces. Its inverse is
	// the mean gap between writes without a fault.
	failoverRate = 200
	// faultDelay is the time from the start of a run to the fault.
	faultDelay = 800 * time.Millisecond
	// failoverSessions is the number of connections of each workspace. As with
	// the thousands of connections that a VM has, statements that wait during
	// the fault must not take up all of them.
	failoverSessions = 32
	// Objectives for the time without writes, in seconds.
	failoverMedianObjective = 1.0
	failoverWorstObjective  = 2.5
	// amplificationObjective is the objective for the requests sent to targets
	// per request from callers.
	amplificationObjective = 1.2
)

// fault begins and ends a fault of a primary.
type fault struct {
	name string
	// idempotent tells that the load uses idempotency keys.
	idempotent bool
	begin      func(ctx context.Context, tb *testbed, t *fleet.Target) error
	end        func(ctx context.Context, tb *testbed, t *fleet.Target) error
}

func primaryFaults() []fault {
	return []fault{
		{
			"kill", false,
			func(_ context.Context, _ *testbed, t *fleet.Target) error { t.Proc().Kill(); return nil },
			func(_ context.Context, tb *testbed, t *fleet.Target) error { return tb.fleet.StartTarget(t) },
		},
		{
			"freeze", true,
			func(_ context.Context, _ *testbed, t *fleet.Target) error { return t.Proc().Signal(syscall.SIGSTOP) },
			func(_ context.Context, _ *testbed, t *fleet.Target) error { return t.Proc().Signal(syscall.SIGCONT) },
		},
		{
			"cut_from_replicas", false,
			func(ctx context.Context, tb *testbed, t *fleet.Target) error {
				return tb.injectFault(ctx, t, target.FaultCut, "*")
			},
			func(ctx context.Context, tb *testbed, t *fleet.Target) error {
				return tb.injectFault(ctx, t, target.FaultHeal, "*")
			},
		},
		{
			"silent_connections", false,
			func(ctx context.Context, tb *testbed, t *fleet.Target) error {
				return tb.injectFault(ctx, t, target.FaultSilence, "1")
			},
			func(context.Context, *testbed, *fleet.Target) error { return nil },
		},
	}
}

// runTrial sends writes to a group while its primary has a fault. It returns the
// report and the requests sent to targets per request from callers, which is 0
// when a target's restart resets the counts.
func (m *measurement) runTrial(ctx context.Context, g ident.Group, f fault, perSecond float64, d time.Duration) (*load.Report, float64, error) {
	tb := m.testbed
	if err := tb.waitSettled(ctx, g); err != nil {
		return nil, 0, err
	}
	if err := load.Prepare(ctx, tb.groupAccess(g)); err != nil {
		return nil, 0, err
	}
	primary, err := tb.fleet.Primary(ctx, g)
	if err != nil {
		return nil, 0, err
	}
	before, err := m.countStatements(ctx, g)
	if err != nil {
		return nil, 0, err
	}
	began := make(chan error, 1)
	go func() {
		time.Sleep(faultDelay)
		began <- f.begin(ctx, tb, primary)
	}()
	cfg := m.loadConfig(string(g), perSecond, d, 1)
	cfg.Idempotent = f.idempotent
	cfg.SessionsPerWorkspace = failoverSessions
	r, err := load.Run(ctx, cfg)
	if err != nil {
		return nil, 0, err
	}
	if err := <-began; err != nil {
		return nil, 0, err
	}
	if err := f.end(ctx, tb, primary); err != nil {
		return nil, 0, err
	}
	if err := tb.waitSettled(ctx, g); err != nil {
		return nil, 0, err
	}
	if err := m.verifyRun(ctx, g, "failover_"+f.name, r); err != nil {
		return nil, 0, err
	}
	if err := m.printExcess("failover_"+f.name, r); err != nil {
		return nil, 0, err
	}
	after, err := m.countStatements(ctx, g)
	if err != nil || after < before {
		return r, 0, err
	}
	return r, float64(after-before) / float64(r.Total.Sent), nil
}

// countStatements returns the number of statements sent to a group's targets.
func (m *measurement) countStatements(ctx context.Context, g ident.Group) (sum int64, err error) {
	for _, t := range m.testbed.groupTargets(g) {
		n, _, err := m.testbed.readStats(ctx, t)
		if err != nil {
			return 0, err
		}
		sum += n
	}
	return sum, nil
}

// faultResult holds the results of all trials of a fault.
type faultResult struct {
	gaps       []float64
	done, sent int
	// requestRatio is the number of requests sent to targets per request from
	// callers in the first trial.
	requestRatio float64
}

// measureFailover measures the time without writes for each fault of a primary.
func (m *measurement) measureFailover(ctx context.Context) error {
	// A run must be long enough that its gap misses the objective if writes do
	// not resume. Quick measurements run two faults concurrently, in different
	// groups, each with half the load, so that workspaces stay within their
	// rate.
	trials, d, together := 5, 5*time.Second, 1
	if m.cfg.Quick {
		trials, d, together = 1, 3400*time.Millisecond, 2
	}
	var all []float64
	for faults := range slices.Chunk(primaryFaults(), together) {
		results := make([]faultResult, len(faults))
		errs := make([]error, len(faults))
		var wg sync.WaitGroup
		for i, f := range faults {
			wg.Go(func() {
				results[i], errs[i] = m.runTrials(ctx, f, i, trials, failoverRate/float64(together), d)
			})
		}
		wg.Wait()
		if err := errors.Join(errs...); err != nil {
			return caseError("failover", err)
		}
		for i, o := range results {
			all = append(all, o.gaps...)
			if err := m.printFaultResult(faults[i].name, o); err != nil {
				return err
			}
		}
	}
	if err := m.out.print(atMost("failover", fmt.Sprintf("median_of_%d", len(all)), median(all), "s", failoverMedianObjective)); err != nil {
		return err
	}
	return m.out.print(atMost("failover", fmt.Sprintf("worst_of_%d", len(all)), nearestRank(all, 1), "s", failoverWorstObjective))
}

// runTrials runs n trials of a fault, in turn on each group, starting with the
// group of index first.
func (m *measurement) runTrials(ctx context.Context, f fault, first, n int, perSecond float64, d time.Duration) (o faultResult, err error) {
	groups := []ident.Group{"taller-1", "taller-3"}
	for i := range n {
		r, requests, err := m.runTrial(ctx, groups[(first+i)%len(groups)], f, perSecond, d)
		if err != nil {
			return o, fmt.Errorf("%s: %w", f.name, err)
		}
		o.gaps = append(o.gaps, r.WriteGapMS/1000)
		o.done += r.Total.Done
		o.sent += r.Total.Sent
		if i == 0 {
			o.requestRatio = requests
		}
	}
	return o, nil
}

func (m *measurement) printFaultResult(name string, o faultResult) error {
	lines := []Line{
		withoutObjective("not_done", "failover_"+name, 1-float64(o.done)/float64(max(o.sent, 1)), "share"),
		atMost("failover", fmt.Sprintf("%s_worst_of_%d", name, len(o.gaps)), nearestRank(o.gaps, 1), "s", failoverWorstObjective),
	}
	if name == "freeze" {
		lines = append(lines, atMost("retry_amplification", "primary_frozen", o.requestRatio, "requests_per_request", amplificationObjective))
	}
	for _, l := range lines {
		if err := m.out.print(l); err != nil {
			return err
		}
	}
	return nil
}

// measurePromotions counts promotions while primaries pause for 200 ms, which must
// not be treated as a failure.
func (m *measurement) measurePromotions(ctx context.Context) error {
	const pause = 200 * time.Millisecond
	rounds := 20
	if m.cfg.Quick {
		rounds = 3
	}
	g := ident.Group("taller-2")
	before, err := m.testbed.highestTerm(ctx, g)
	if err != nil {
		return caseError("quiet", err)
	}
	for range rounds {
		primary, err := m.testbed.fleet.Primary(ctx, g)
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
	after, err := m.testbed.highestTerm(ctx, g)
	if err != nil {
		return caseError("quiet", err)
	}
	return m.out.print(atMost("promotions", fmt.Sprintf("%d_pauses_of_200ms", rounds), float64(after-before), "terms", 0))
}
