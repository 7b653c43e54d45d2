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

// baseline runs the same cases with the adaptive and the baseline policies. The
// two fleets take the same load at the same time, so that both results come
// from the same state of the machine.
func (m *meter) baseline(ctx context.Context) (err error) {
	s, err := newStage(ctx, m.cfg.Bin, m.stage.seed, baselinePolicies)
	if err != nil {
		return err
	}
	defer func() { err = errors.Join(err, s.f.Stop()) }()
	var adaptive, base compared
	failed := make(chan error, 1)
	go func() {
		other := &meter{cfg: m.cfg, stage: s, out: m.out}
		var err error
		base, err = other.compare(ctx, "_baseline")
		failed <- err
	}()
	adaptive, err = m.compare(ctx, "_beside_baseline")
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

// compare runs the cases on the meter's fleet. The moved load comes first,
// while both fleets are still undisturbed.
func (m *meter) compare(ctx context.Context, suffix string) (c compared, err error) {
	if c.refused, err = m.moved(ctx, suffix); err != nil {
		return c, err
	}
	// The baseline replaces a primary after 3 s; a run must show the end of the
	// gap.
	trials, d := 5, 8*time.Second
	if m.cfg.Quick {
		trials, d = 1, 5500*time.Millisecond
	}
	kill := primaryFaults()[0]
	kill.name += suffix
	groups := []ident.Group{"taller-1", "taller-3"}
	for i := range trials {
		r, _, err := m.trial(ctx, groups[i%len(groups)], kill, d)
		if err != nil {
			return c, err
		}
		c.gaps = append(c.gaps, r.Gap/1000)
	}
	return c, nil
}

// moved sends a workspace's load over all daemons and then, at once, all of it
// to one. It returns the share that was refused there.
func (m *meter) moved(ctx context.Context, suffix string) (float64, error) {
	g := ident.Group("taller-2")
	cfg := m.load(string(g), movedRate, m.span(2*time.Second, 20*time.Second), 0.2)
	cfg.Workspaces, cfg.Sessions = cfg.Workspaces[:1], 2*len(m.stage.f.Daemons)
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
