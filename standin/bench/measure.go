package bench

import (
	"context"
	"fmt"
	"io"
	"time"

	"chervilspan.example/pkg/ident"
	"chervilspan.example/standin/load"
)

// Config holds the settings of a measurement.
type Config struct {
	// Bin is the directory of the programs.
	Bin  string
	Seed uint64
	// Quick shortens every case, so that all end within 50 s.
	Quick bool
	Out   io.Writer
	// Only is the name of the only measure to run; empty means all.
	Only string
}

// warmUpDuration is the length of a warm-up load.
const warmUpDuration = 400 * time.Millisecond

// measurement runs the measures on a fleet.
type measurement struct {
	cfg     Config
	testbed *testbed
	out     *printer
	// runScale is the factor by which runs of a quick measurement are shortened
	// to fit into the budget; 0 means 1.
	runScale float64
}

// Measure runs the measures and prints a line for each result. ok is false when
// an objective was missed. Errors are of kind KindFleet or KindCase.
func Measure(ctx context.Context, cfg Config) (ok bool, err error) {
	m := &measurement{cfg: cfg, out: &printer{out: cfg.Out}}
	if err := m.out.print(withoutObjective("seed", "all", float64(cfg.Seed), "seed")); err != nil {
		return false, err
	}
	started := time.Now()
	b := budget{}
	if cfg.Quick {
		b.end = started.Add(quickBudget)
		var cancel context.CancelFunc
		ctx, cancel = context.WithDeadline(ctx, b.end)
		defer cancel()
	}
	if m.testbed, err = newTestbed(ctx, cfg.Bin, cfg.Seed, nil); err != nil {
		return false, err
	}
	defer func() {
		if stopErr := m.testbed.fleet.Stop(); err == nil && stopErr != nil {
			err = &Error{Op: "stop the fleet", Kind: KindFleet, Text: stopErr.Error()}
		}
	}()
	if err := m.runMeasures(ctx, b); err != nil {
		return false, err
	}
	return m.out.missed == 0, m.out.print(withoutObjective("duration", "all", time.Since(started).Seconds(), "s"))
}

// runDuration returns the length of a run.
func (m *measurement) runDuration(quick, full time.Duration) time.Duration {
	switch {
	case !m.cfg.Quick:
		return full
	case m.runScale == 0:
		return quick
	}
	return time.Duration(float64(quick) * m.runScale)
}

// gracePeriod returns how long answers may take after the end of a run.
func (m *measurement) gracePeriod() time.Duration {
	if m.cfg.Quick {
		return time.Second
	}
	return 5 * time.Second
}

// verifyRun checks a run's ledger and reads, and prints the number of
// contradictions.
func (m *measurement) verifyRun(ctx context.Context, g ident.Group, name string, r *load.Report) error {
	v, err := load.Verify(ctx, m.testbed.groupAccess(g), r.Ledger)
	if err != nil {
		return err
	}
	wrong := v.Lost + v.Duplicated + v.NotRunPresent + v.UnmatchedIDs + r.StaleReads + r.WrongAnswers
	if wrong > 0 {
		name += fmt.Sprintf("_lost_%d_duplicated_%d_ghost_%d_foreign_%d_stale_%d_wrong_%d",
			v.Lost, v.Duplicated, v.NotRunPresent, v.UnmatchedIDs, r.StaleReads, r.WrongAnswers)
	}
	return m.out.print(atMost("ledger", name, float64(wrong), "contradictions", 0))
}

// warmUp sends a short load and discards its results, so that connections, loans
// and shares are in place when a latency is measured.
func (m *measurement) warmUp(ctx context.Context, cfg load.Config) error {
	cfg.Seed, cfg.Duration = m.testbed.nextSeed(), warmUpDuration
	_, err := load.Run(ctx, cfg)
	return err
}

// runVerified prepares a group, sends a load and verifies its results.
func (m *measurement) runVerified(ctx context.Context, g ident.Group, name string, cfg load.Config) (*load.Report, error) {
	if err := load.Prepare(ctx, m.testbed.groupAccess(g)); err != nil {
		return nil, err
	}
	r, err := load.Run(ctx, cfg)
	if err != nil {
		return nil, err
	}
	return r, m.verifyRun(ctx, g, name, r)
}
