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
	// Objectives for the share of reads that replicas serve.
	replicaShareObjective     = 0.90
	agedReplicaShareObjective = 0.99
	// replicationLag is the lag of the fleet's replicas, which is part of the
	// cases' names.
	replicationLag = 50 * time.Millisecond
)

// readCase is a load whose reads are counted per target.
type readCase struct {
	name, route string
	objective   float64
	// separateWrites sends the writes from separate sessions, so that no read
	// has to wait until a replica has applied its own session's write.
	separateWrites bool
}

// measureReads measures the share of reads that replicas serve when one statement
// in ten is a write.
func (m *measurement) measureReads(ctx context.Context) error {
	for _, c := range []readCase{
		{"session_consistent", "taller-2", replicaShareObjective, false},
		{"accepts_1000ms", agedRoute, agedReplicaShareObjective, true},
		{"accepts_1000ms_after_own_writes", agedRoute, agedReplicaShareObjective, false},
	} {
		share, err := m.measureReplicaShare(ctx, "taller-2", c)
		if err != nil {
			return caseError("reads", err)
		}
		name := fmt.Sprintf("%s_lag_%dms_writes_10pct", c.name, replicationLag.Milliseconds())
		if err := m.out.print(atLeast("reads_on_replicas", name, share, "share", c.objective)); err != nil {
			return err
		}
	}
	return nil
}

func (m *measurement) measureReplicaShare(ctx context.Context, g ident.Group, c readCase) (float64, error) {
	tb := m.testbed
	if err := load.Prepare(ctx, tb.groupAccess(g)); err != nil {
		return 0, err
	}
	if err := tb.waitSettled(ctx, g); err != nil {
		return 0, err
	}
	before, err := m.readsByTarget(ctx, g)
	if err != nil {
		return 0, err
	}
	report, err := m.runMixed(ctx, g, c)
	if err != nil {
		return 0, err
	}
	after, err := m.readsByTarget(ctx, g)
	if err != nil {
		return 0, err
	}
	if err := m.verifyRun(ctx, g, "reads_"+c.name, report); err != nil {
		return 0, err
	}
	primary, err := tb.fleet.Primary(ctx, g)
	if err != nil {
		return 0, err
	}
	total := int64(0)
	for id, n := range after {
		total += n - before[id]
	}
	return 1 - float64(after[primary.ID]-before[primary.ID])/float64(max(total, 1)), nil
}

// runMixed sends nine reads for each write and returns the report that contains
// the writes.
func (m *measurement) runMixed(ctx context.Context, g ident.Group, c readCase) (*load.Report, error) {
	const total, writes = 200, 0.1
	d := m.runDuration(1500*time.Millisecond, 20*time.Second)
	if !c.separateWrites {
		cfg := m.loadConfig(c.route, total, d, writes)
		cfg.RoamEvery = 25
		return load.Run(ctx, cfg)
	}
	reading, writing := m.loadConfig(c.route, total*(1-writes), d, 0), m.loadConfig(string(g), total*writes, d, 1)
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

// readsByTarget returns the number of reads that each target has served.
func (m *measurement) readsByTarget(ctx context.Context, g ident.Group) (map[ident.Target]int64, error) {
	out := map[ident.Target]int64{}
	for _, t := range m.testbed.groupTargets(g) {
		_, n, err := m.testbed.readStats(ctx, t)
		if err != nil {
			return nil, err
		}
		out[t.ID] = n
	}
	return out, nil
}

const (
	// steadyRate is a workspace's load, within its rate, in statements per second.
	steadyRate = rate / 2
	// noisyFactor is the noisy workspace's load as a multiple of its rate.
	noisyFactor = 10
	// busyServiceTime is the service time, in microseconds, at which the load
	// occupies a large part of the slots.
	busyServiceTime = "15000"
	// halfSlots is about half of the five slots of a target.
	halfSlots = "2"
	// Objectives for isolation: the share of statements done, and the 99th
	// percentile of the latency relative to the quiet run.
	isolationDoneObjective = 0.99
	isolationP99Objective  = 1.5
	// wrongfulRefusalObjective is the objective for the share of wrongful
	// refusals under a fault.
	wrongfulRefusalObjective = 0.001
)

// measureIsolation compares the service of the other workspaces while one sends
// ten times its rate with that in a quiet run, with all slots and with half of
// them. The same runs give the wrongful refusals in steady state and the excess
// over the noisy workspace's rate.
func (m *measurement) measureIsolation(ctx context.Context) error {
	g := ident.Group("taller-3")
	for _, t := range m.testbed.groupTargets(g) {
		if err := m.testbed.injectFault(ctx, t, target.FaultServiceTime, busyServiceTime); err != nil {
			return caseError("isolation", err)
		}
	}
	for _, slots := range []string{"all_slots", "half_slots"} {
		if slots == "half_slots" {
			for _, t := range m.testbed.groupTargets(g) {
				if err := m.testbed.injectFault(ctx, t, target.FaultSlots, halfSlots); err != nil {
					return caseError("isolation", err)
				}
			}
		}
		if err := m.compareWithQuietRun(ctx, g, slots); err != nil {
			return caseError("isolation", err)
		}
	}
	for _, t := range m.testbed.groupTargets(g) {
		for name, value := range map[string]string{target.FaultServiceTime: "1000", target.FaultSlots: "5"} {
			if err := m.testbed.injectFault(ctx, t, name, value); err != nil {
				return caseError("isolation", err)
			}
		}
	}
	return nil
}

func (m *measurement) compareWithQuietRun(ctx context.Context, g ident.Group, slots string) error {
	d := m.runDuration(1500*time.Millisecond, 30*time.Second)
	n := float64(len(m.testbed.fleet.Workspaces()))
	quiet := m.loadConfig(string(g), steadyRate*n, d, 0.2)
	noisy := m.loadConfig(string(g), steadyRate*(n-1)+noisyFactor*rate, d, 0.2)
	noisy.Workspaces[0].Weight = noisyFactor * rate / steadyRate
	noisyWorkspace := noisy.Workspaces[0].Name
	others := func(ws string) bool { return ws != noisyWorkspace }
	if err := m.warmUp(ctx, quiet); err != nil {
		return err
	}
	quietReport, err := m.runVerified(ctx, g, "isolation_quiet_"+slots, quiet)
	if err != nil {
		return err
	}
	if slots == "all_slots" {
		if err := m.out.print(atMost("wrongful_refusals", "steady", refusedShare(quietReport), "share", 0)); err != nil {
			return err
		}
	}
	r, err := m.runVerified(ctx, g, "isolation_noisy_"+slots, noisy)
	if err != nil {
		return err
	}
	worst := 1.0
	for ws, c := range r.Workspaces {
		if others(ws) && c.Sent > 0 {
			worst = min(worst, float64(c.Done)/float64(c.Sent))
		}
	}
	ratio := r.Quantile(99, others) / quietReport.Quantile(99, others)
	for _, l := range []Line{
		atLeast("isolation_done", "worst_other_"+slots, worst, "share", isolationDoneObjective),
		atMost("isolation_p99", "others_"+slots, ratio, "times_quiet_run", isolationP99Objective),
		atMost("excess", "noisy_workspace_every_window_"+slots, maxExcess(r.Spans[noisyWorkspace], rate, burst), "statements", 0),
	} {
		if err := m.out.print(l); err != nil {
			return err
		}
	}
	return nil
}

// refusedShare returns the share of statements refused because of rate, queue or
// freshness.
func refusedShare(r *load.Report) float64 {
	n := 0
	for _, code := range []string{"53400", "53300", "57P03"} {
		n += r.Total.Codes[code]
	}
	return float64(n) / float64(max(r.Total.Sent, 1))
}
