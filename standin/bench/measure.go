package bench

import (
	"context"
	"fmt"
	"io"
	"time"

	"chervilspan.example/pkg/ident"
	"chervilspan.example/standin/load"
)

// Config has the settings of a measurement.
type Config struct {
	// Bin is the folder with the programs.
	Bin  string
	Seed uint64
	// Quick shortens every case, so that all end within 50 s.
	Quick bool
	Out   io.Writer
	// Only, unless empty, names the one measure that is run.
	Only string
}

// warmUp is the length of a load that only warms up.
const warmUp = 400 * time.Millisecond

// meter runs the cases.
type meter struct {
	cfg   Config
	stage *stage
	out   *printer
	// shrink is the part of its length that a quick run has, so that all fit
	// into the budget; 0 stands for 1.
	shrink float64
}

// Measure runs all cases and prints a line for each result. ok is false when
// an objective was missed. Errors are of kind KindFleet or KindCase.
func Measure(ctx context.Context, cfg Config) (ok bool, err error) {
	m := &meter{cfg: cfg, out: &printer{out: cfg.Out}}
	if err := m.out.print(plain("seed", "all", float64(cfg.Seed), "seed")); err != nil {
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
	if m.stage, err = newStage(ctx, cfg.Bin, cfg.Seed, nil); err != nil {
		return false, err
	}
	defer func() {
		if stopErr := m.stage.f.Stop(); err == nil && stopErr != nil {
			err = &Error{Op: "stop the fleet", Kind: KindFleet, Text: stopErr.Error()}
		}
	}()
	if err := m.cases(ctx, b); err != nil {
		return false, err
	}
	return m.out.missed == 0, m.out.print(plain("duration", "all", time.Since(started).Seconds(), "s"))
}

// span returns the length of a run.
func (m *meter) span(quick, full time.Duration) time.Duration {
	switch {
	case !m.cfg.Quick:
		return full
	case m.shrink == 0:
		return quick
	}
	return time.Duration(float64(quick) * m.shrink)
}

// grace returns how long answers may take after the end of a run.
func (m *meter) grace() time.Duration {
	if m.cfg.Quick {
		return time.Second
	}
	return 5 * time.Second
}

// verify checks a run's ledger and its reads, and prints the number of
// contradictions.
func (m *meter) verify(ctx context.Context, g ident.Group, name string, r *load.Report) error {
	v, err := load.Verify(ctx, m.stage.access(g), r.Ledger)
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

// warm sends a short load whose results count nowhere, so that connections,
// loans and shares are in place when a latency is measured.
func (m *meter) warm(ctx context.Context, cfg load.Config) error {
	cfg.Seed, cfg.Duration = m.stage.nextSeed(), warmUp
	_, err := load.Run(ctx, cfg)
	return err
}

// run prepares a group, sends a load and verifies it.
func (m *meter) run(ctx context.Context, g ident.Group, name string, cfg load.Config) (*load.Report, error) {
	if err := load.Prepare(ctx, m.stage.access(g)); err != nil {
		return nil, err
	}
	r, err := load.Run(ctx, cfg)
	if err != nil {
		return nil, err
	}
	return r, m.verify(ctx, g, name, r)
}
