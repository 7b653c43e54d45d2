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

// movedRate is the load, in statements a second, of the workspace that the
// balancer moves to one VM: within the rate, and far above a VM's share of it.
const movedRate = 0.8 * rate

// baselinePolicies selects the policies that the design is compared with.
func baselinePolicies(d *fleet.Daemon) {
	d.Settings.Failover.Policy = conf.PolicyBaseline
	d.Settings.Limits.Policy = conf.PolicyBaseline
}

// compared has the results of one policy.
type compared struct {
	gaps    []float64
	refused float64
}

// baseline runs the same cases with the adaptive and the baseline policies, on
// a new fleet for each. Both take the same load at the same time, so that both
// results come from the same state of the machine.
func (m *meter) baseline(ctx context.Context) error {
	var adaptive, base compared
	failed := make(chan error, 1)
	go func() {
		var err error
		base, err = m.compare(ctx, "_baseline", baselinePolicies)
		failed <- err
	}()
	adaptive, err := m.compare(ctx, "_beside_baseline", nil)
	if err = errors.Join(err, <-failed); err != nil {
		return caseError("baseline", err)
	}
	n := len(adaptive.gaps)
	for _, l := range []Line{
		atMost("failover", fmt.Sprintf("kill_beside_baseline_worst_of_%d", n), nearestRank(adaptive.gaps, 1), "s", failoverWorst),
		plain("failover", fmt.Sprintf("kill_baseline_worst_of_%d", n), nearestRank(base.gaps, 1), "s"),
		plain("failover", fmt.Sprintf("kill_beside_baseline_median_of_%d", n), median(adaptive.gaps), "s"),
		plain("failover", fmt.Sprintf("kill_baseline_median_of_%d", n), median(base.gaps), "s"),
		atMost("wrongful_refusals", "load_moved_to_one_vm", adaptive.refused, "share", 0),
		plain("wrongful_refusals", "load_moved_to_one_vm_baseline", base.refused, "share"),
	} {
		if err := m.out.print(l); err != nil {
			return err
		}
	}
	return nil
}

// compare starts a fleet and runs the cases on it. The moved load comes first,
// while the fleet is still undisturbed.
func (m *meter) compare(ctx context.Context, suffix string, adjust func(*fleet.Daemon)) (c compared, err error) {
	s, err := newStage(ctx, m.cfg.Bin, m.cfg.Seed, adjust)
	if err != nil {
		return c, err
	}
	defer func() { err = errors.Join(err, s.f.Stop()) }()
	own := &meter{cfg: m.cfg, stage: s, out: m.out, shrink: m.shrink}
	if c.refused, err = own.moved(ctx, suffix); err != nil {
		return c, err
	}
	// The baseline replaces a primary after 3 s; a run must show the end of the
	// gap.
	trials, d := 5, 8*time.Second
	if m.cfg.Quick {
		trials, d = 1, 5*time.Second
	}
	kill := primaryFaults()[0]
	kill.name += suffix
	o, err := own.trials(ctx, kill, 0, trials, failoverRate, d)
	c.gaps = o.gaps
	return c, err
}

// moved sends a workspace's load over all daemons and then, at once, all of it
// to one. It returns the share that was refused there.
func (m *meter) moved(ctx context.Context, suffix string) (float64, error) {
	g := ident.Group("taller-2")
	cfg := m.load(string(g), movedRate, m.span(2*time.Second, 20*time.Second), 0.2)
	cfg.Workspaces, cfg.SessionsPerWorkspace = cfg.Workspaces[:1], 2*len(m.stage.f.Daemons)
	if err := m.warm(ctx, cfg); err != nil {
		return 0, err
	}
	cfg.Addresses = cfg.Addresses[:1]
	r, err := m.run(ctx, g, "load_moved"+suffix, cfg)
	if err != nil {
		return 0, err
	}
	return refusedShare(r), m.bounded("load_moved"+suffix, r)
}
