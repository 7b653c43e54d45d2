package bench

import (
	"context"
	"fmt"
	"time"

	"chervilspan.example/pkg/ident"
	"chervilspan.example/standin/load"
	"chervilspan.example/standin/target"
)

const (
	// Objectives of the share of reads on replicas.
	replicaShare     = 0.90
	replicaShareAged = 0.99
	// lag of replication in these cases.
	lag = 50 * time.Millisecond
)

// readCase is a load whose reads are counted by target.
type readCase struct {
	name, route string
	objective   float64
	// apart sends the writes from sessions of their own, so that no read waits
	// for its own session's write.
	apart bool
}

// reads measures the share of reads that replicas serve, with one statement in
// ten writing.
func (m *meter) reads(ctx context.Context) error {
	for _, c := range []readCase{
		{"session_consistent", "taller-2", replicaShare, false},
		{"accepts_1000ms", agedRoute, replicaShareAged, true},
		{"accepts_1000ms_after_own_writes", agedRoute, replicaShareAged, false},
	} {
		share, err := m.replicaShare(ctx, "taller-2", c)
		if err != nil {
			return caseError("reads", err)
		}
		name := fmt.Sprintf("%s_lag_%dms_writes_10pct", c.name, lag.Milliseconds())
		if err := m.out.print(atLeast("reads_on_replicas", name, share, "share", c.objective)); err != nil {
			return err
		}
	}
	return nil
}

func (m *meter) replicaShare(ctx context.Context, g ident.Group, c readCase) (float64, error) {
	s := m.stage
	if err := load.Prepare(ctx, s.access(g)); err != nil {
		return 0, err
	}
	if err := s.settle(ctx, g); err != nil {
		return 0, err
	}
	before, err := m.readsByTarget(ctx, g)
	if err != nil {
		return 0, err
	}
	ledger, err := m.mixed(ctx, g, c)
	if err != nil {
		return 0, err
	}
	after, err := m.readsByTarget(ctx, g)
	if err != nil {
		return 0, err
	}
	if err := m.verify(ctx, g, "reads_"+c.name, ledger); err != nil {
		return 0, err
	}
	primary, err := s.f.Primary(ctx, g)
	if err != nil {
		return 0, err
	}
	total := int64(0)
	for id, n := range after {
		total += n - before[id]
	}
	return 1 - float64(after[primary.ID]-before[primary.ID])/float64(max(total, 1)), nil
}

// mixed sends nine reads for each write, and returns the report with the
// writes.
func (m *meter) mixed(ctx context.Context, g ident.Group, c readCase) (*load.Report, error) {
	const total, writes = 200, 0.1
	d := m.span(1500*time.Millisecond, 20*time.Second)
	if !c.apart {
		cfg := m.load(c.route, total, d, writes)
		cfg.RoamEvery = 25
		return load.Run(ctx, cfg)
	}
	reading, writing := m.load(c.route, total*(1-writes), d, 0), m.load(string(g), total*writes, d, 1)
	reading.RoamEvery = 25
	failed := make(chan error, 1)
	go func() {
		_, err := load.Run(ctx, reading)
		failed <- err
	}()
	r, err := load.Run(ctx, writing)
	if readErr := <-failed; err == nil {
		err = readErr
	}
	return r, err
}

// readsByTarget returns how many reads each target has served.
func (m *meter) readsByTarget(ctx context.Context, g ident.Group) (map[ident.Target]int64, error) {
	out := map[ident.Target]int64{}
	for _, t := range m.stage.targets(g) {
		_, n, err := m.stage.stats(ctx, t)
		if err != nil {
			return nil, err
		}
		out[t.ID] = n
	}
	return out, nil
}

const (
	// steadyRate is a workspace's load within its rate, in statements a second.
	steadyRate = rate / 2
	// noisy is how many times its rate the noisy workspace sends.
	noisy = 10
	// busyService is the service time, in microseconds, at which the load
	// takes a good part of the slots.
	busyService = "15000"
	// halfSlots of the five that a target has.
	halfSlots = "2"
	// Objectives of isolation: the share of work done, and the latency in
	// terms of the quiet run's.
	isolationDone  = 0.99
	isolationRatio = 1.5
	// Objective of wrongful refusals under a fault, a share.
	wrongful = 0.001
)

// isolation compares the other workspaces' service while one sends ten times
// its rate with that of a quiet run, with all slots and with half of them. The
// same runs give wrongful refusals in steady state and the excess over the
// noisy workspace's rate.
func (m *meter) isolation(ctx context.Context) error {
	g := ident.Group("taller-3")
	for _, t := range m.stage.targets(g) {
		if err := m.stage.fault(ctx, t, target.FaultServiceTime, busyService); err != nil {
			return caseError("isolation", err)
		}
	}
	for _, slots := range []string{"all_slots", "half_slots"} {
		if slots == "half_slots" {
			for _, t := range m.stage.targets(g) {
				if err := m.stage.fault(ctx, t, target.FaultSlots, halfSlots); err != nil {
					return caseError("isolation", err)
				}
			}
		}
		if err := m.isolate(ctx, g, slots); err != nil {
			return caseError("isolation", err)
		}
	}
	for _, t := range m.stage.targets(g) {
		for name, value := range map[string]string{target.FaultServiceTime: "1000", target.FaultSlots: "5"} {
			if err := m.stage.fault(ctx, t, name, value); err != nil {
				return caseError("isolation", err)
			}
		}
	}
	return nil
}

func (m *meter) isolate(ctx context.Context, g ident.Group, slots string) error {
	d := m.span(1500*time.Millisecond, 30*time.Second)
	n := float64(len(m.stage.f.Workspaces()))
	quiet := m.load(string(g), steadyRate*n, d, 0.2)
	loud := m.load(string(g), steadyRate*(n-1)+noisy*rate, d, 0.2)
	loud.Workspaces[0].Weight = noisy * rate / steadyRate
	name := loud.Workspaces[0].Name
	others := func(ws string) bool { return ws != name }
	if err := m.warm(ctx, quiet); err != nil {
		return err
	}
	calm, err := m.run(ctx, g, "isolation_quiet_"+slots, quiet)
	if err != nil {
		return err
	}
	if slots == "all_slots" {
		if err := m.out.print(atMost("wrongful_refusals", "steady", refusedShare(calm), "share", 0)); err != nil {
			return err
		}
	}
	r, err := m.run(ctx, g, "isolation_noisy_"+slots, loud)
	if err != nil {
		return err
	}
	worst := 1.0
	for ws, c := range r.Workspaces {
		if others(ws) && c.Sent > 0 {
			worst = min(worst, float64(c.Done)/float64(c.Sent))
		}
	}
	ratio := r.Quantile(99, others) / calm.Quantile(99, others)
	for _, l := range []Line{
		atLeast("isolation_done", "worst_other_"+slots, worst, "share", isolationDone),
		atMost("isolation_p99", "others_"+slots, ratio, "times_quiet_run", isolationRatio),
		atMost("excess", "noisy_workspace_every_window_"+slots, excess(r.Spans[name], rate, burst), "statements", 0),
	} {
		if err := m.out.print(l); err != nil {
			return err
		}
	}
	return nil
}

// refusedShare is the share of statements that were refused by rate, queue or
// freshness.
func refusedShare(r *load.Report) float64 {
	n := 0
	for _, code := range []string{"53400", "53300", "57P03"} {
		n += r.Total.Codes[code]
	}
	return float64(n) / float64(max(r.Total.Sent, 1))
}
