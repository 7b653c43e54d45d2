package bench

import (
	"context"
	"errors"
	"fmt"
	"time"

	"chervilspan.example/internal/conf"
	"chervilspan.example/pkg/ident"
	"chervilspan.example/standin/fleet"
)

// movedRate is the load, in statements per second, that a load balancer moves to
// one VM: within the workspace's rate, and far above one VM's share of it.
const movedRate = 0.8 * rate

// setBaselinePolicies selects the policies that the adaptive ones are compared
// with.
func setBaselinePolicies(d *fleet.Daemon) {
	d.Settings.Failover.Policy = conf.PolicyBaseline
	d.Settings.Limits.Policy = conf.PolicyBaseline
}

// policyResult holds the results of one set of policies.
type policyResult struct {
	gaps    []float64
	refused float64
}

// measureBaseline runs the same cases with the adaptive and the baseline
// policies, each on its own new fleet. Both fleets run at the same time under the
// same load, so that other work on the machine affects both.
func (m *measurement) measureBaseline(ctx context.Context) error {
	var adaptive, base policyResult
	failed := make(chan error, 1)
	go func() {
		var err error
		base, err = m.measurePolicy(ctx, "_baseline", setBaselinePolicies)
		failed <- err
	}()
	adaptive, err := m.measurePolicy(ctx, "_beside_baseline", nil)
	if err = errors.Join(err, <-failed); err != nil {
		return caseError("baseline", err)
	}
	n := len(adaptive.gaps)
	for _, l := range []Line{
		atMost("failover", fmt.Sprintf("kill_beside_baseline_worst_of_%d", n), nearestRank(adaptive.gaps, 1), "s", failoverWorstObjective),
		withoutObjective("failover", fmt.Sprintf("kill_baseline_worst_of_%d", n), nearestRank(base.gaps, 1), "s"),
		withoutObjective("failover", fmt.Sprintf("kill_beside_baseline_median_of_%d", n), median(adaptive.gaps), "s"),
		withoutObjective("failover", fmt.Sprintf("kill_baseline_median_of_%d", n), median(base.gaps), "s"),
		atMost("wrongful_refusals", "load_moved_to_one_vm", adaptive.refused, "share", 0),
		withoutObjective("wrongful_refusals", "load_moved_to_one_vm_baseline", base.refused, "share"),
	} {
		if err := m.out.print(l); err != nil {
			return err
		}
	}
	return nil
}

// measurePolicy starts a fleet and runs the cases on it. The moved load comes
// first, before any fault.
func (m *measurement) measurePolicy(ctx context.Context, suffix string, adjust func(*fleet.Daemon)) (c policyResult, err error) {
	tb, err := newTestbed(ctx, m.cfg.Bin, m.cfg.Seed, adjust)
	if err != nil {
		return c, err
	}
	defer func() { err = errors.Join(err, tb.fleet.Stop()) }()
	run := &measurement{cfg: m.cfg, testbed: tb, out: m.out, runScale: m.runScale}
	if c.refused, err = run.measureMovedLoad(ctx, suffix); err != nil {
		return c, err
	}
	// The baseline policy replaces a primary after 3 s. A run must include the
	// end of the gap.
	trials, d := 5, 8*time.Second
	if m.cfg.Quick {
		trials, d = 1, 5*time.Second
	}
	kill := primaryFaults()[0]
	kill.name += suffix
	o, err := run.runTrials(ctx, kill, 0, trials, failoverRate, d)
	c.gaps = o.gaps
	return c, err
}

// measureMovedLoad spreads a workspace's load over all daemons and then sends all
// of it to one daemon. It returns the share that this daemon refuses.
func (m *measurement) measureMovedLoad(ctx context.Context, suffix string) (float64, error) {
	g := ident.Group("taller-2")
	cfg := m.loadConfig(string(g), movedRate, m.runDuration(2*time.Second, 20*time.Second), 0.2)
	cfg.Workspaces, cfg.SessionsPerWorkspace = cfg.Workspaces[:1], 2*len(m.testbed.fleet.Daemons)
	if err := m.warmUp(ctx, cfg); err != nil {
		return 0, err
	}
	cfg.Addresses = cfg.Addresses[:1]
	r, err := m.runVerified(ctx, g, "load_moved"+suffix, cfg)
	if err != nil {
		return 0, err
	}
	return refusedShare(r), m.printExcess("load_moved"+suffix, r)
}
