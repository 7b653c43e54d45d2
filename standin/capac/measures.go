package capac

import (
	"context"
	"fmt"
	"time"

	"github.com/jackc/pgx/v5"
)

const (
	idleDuration = 10 * time.Second
	editCount    = 10
	editInterval = 500 * time.Millisecond
)

// measureIdle measures fleets without callers, for the slopes over the numbers of
// daemons and groups. Startup calls are those that the store received until the
// fleet was idle.
func (m *measurement) measureIdle(ctx context.Context) error {
	for _, size := range []struct{ daemons, groups int }{{3, 1}, {3, 3}, {6, 1}, {6, 3}, {12, 1}, {12, 3}} {
		if m.cfg.Daemons != 0 && m.cfg.Daemons != size.daemons {
			continue
		}
		if err := m.withFleet(ctx, "idle", size.daemons, size.groups, measureIdleFleet); err != nil {
			return err
		}
	}
	return nil
}

func measureIdleFleet(ctx context.Context, e *experiment) error {
	first, err := readStoreCalls(ctx, e.fleet)
	if err != nil {
		return err
	}
	r, err := e.measureRates(ctx, idleDuration)
	if err != nil {
		return err
	}
	last, err := readStoreCalls(ctx, e.fleet)
	if err != nil {
		return err
	}
	all, err := e.readAllUsage()
	if err != nil {
		return err
	}
	resident := 0.0
	for _, u := range all {
		resident += float64(u.residentBytes) / float64(len(all))
	}
	inUse, err := heapAndStackBytes(ctx, e.fleet.Daemons[0])
	if err != nil {
		return err
	}
	s := idleDuration.Seconds()
	for _, l := range []struct {
		unit  string
		value float64
	}{
		{"startup_store_calls", float64(first.Total)},
		{"cpu_ms_per_s_per_daemon", r.cpu * 1000},
		{"sent_bytes_per_s_per_daemon", r.sent},
		{"received_bytes_per_s_per_daemon", r.received},
		{"store_reads_per_s", float64(last.Reads-first.Reads) / s},
		{"store_writes_per_s", float64(last.Writes-first.Writes) / s},
		{"store_watches", float64(last.Watches)},
		{"resident_MB", resident / 1e6},
		{"heap_and_stack_MB", float64(inUse) / 1e6},
	} {
		if err := e.print(l.unit, 0, l.value); err != nil {
			return err
		}
	}
	return nil
}

// measureConnections measures the memory of idle client connections over TLS.
func (m *measurement) measureConnections(ctx context.Context) error {
	return m.withFleet(ctx, "connections", 3, 1, func(ctx context.Context, e *experiment) error {
		var open []*pgx.Conn
		defer func() {
			for _, c := range open {
				_ = c.Close(ctx)
			}
		}()
		d := e.fleet.Daemons[0]
		for _, n := range []int{0, 100, 1000, 4000} {
			for len(open) < n {
				c, err := e.fleet.Connect(ctx, d, e.firstWorkspace(), e.firstRoute())
				if err != nil {
					return wrapError(fmt.Sprint("open connection ", len(open)), KindLoad, err)
				}
				open = append(open, c)
			}
			if err := e.printMemory(ctx, n); err != nil {
				return err
			}
		}
		r, err := e.measureRates(ctx, loadDuration)
		if err != nil {
			return err
		}
		return e.print("mean_cpu_ms_per_s_per_daemon_while_idle", len(open), r.cpu*1000)
	})
}

func (e *experiment) printMemory(ctx context.Context, n int) error {
	u, err := readUsage(e.fleet.Daemons[0].Proc())
	if err != nil {
		return err
	}
	used, err := heapAndStackBytes(ctx, e.fleet.Daemons[0])
	if err != nil {
		return err
	}
	if err := e.print("resident_MB", n, float64(u.residentBytes)/1e6); err != nil {
		return err
	}
	return e.print("heap_and_stack_MB", n, float64(used)/1e6)
}

// measureEdits measures the bytes and store calls of a change of one workspace's
// rate beyond those of the idle fleet.
func (m *measurement) measureEdits(ctx context.Context) error {
	for _, daemons := range []int{3, 6, 12} {
		if m.cfg.Daemons != 0 && m.cfg.Daemons != daemons {
			continue
		}
		if err := m.withFleet(ctx, "edits", daemons, 1, measureEditFleet); err != nil {
			return err
		}
	}
	return nil
}

func measureEditFleet(ctx context.Context, e *experiment) error {
	span := editCount * editInterval
	quiet, err := e.measureTotals(ctx, span, func(int) error { return nil })
	if err != nil {
		return err
	}
	busy, err := e.measureTotals(ctx, span, func(i int) error {
		_, err := e.edit(ctx, i)
		return err
	})
	if err != nil {
		return err
	}
	n := float64(editCount)
	if err := e.print("sent_bytes_per_edit_of_all_daemons", 0, (busy.sent-quiet.sent)/n); err != nil {
		return err
	}
	return e.print("store_calls_per_edit", 0, (busy.calls-quiet.calls)/n)
}

// fleetTotals holds the bytes that all daemons sent and the calls that the store
// received.
type fleetTotals struct{ sent, calls float64 }

// measureTotals runs f editCount times with pauses of editInterval and returns
// the totals until at least one interval after the span.
func (e *experiment) measureTotals(ctx context.Context, span time.Duration, f func(i int) error) (t fleetTotals, err error) {
	before, err := e.readAllUsage()
	if err != nil {
		return t, err
	}
	first, err := readStoreCalls(ctx, e.fleet)
	if err != nil {
		return t, err
	}
	end := time.Now().Add(span + editInterval)
	for i := range editCount {
		if err := f(i); err != nil {
			return t, wrapError("edit", KindLoad, err)
		}
		if err := sleep(ctx, editInterval); err != nil {
			return t, err
		}
	}
	if err := sleep(ctx, time.Until(end)); err != nil {
		return t, err
	}
	after, err := e.readAllUsage()
	if err != nil {
		return t, err
	}
	last, err := readStoreCalls(ctx, e.fleet)
	for i := range after {
		t.sent += float64(after[i].sent - before[i].sent)
	}
	t.calls = float64(last.Total - first.Total)
	return t, err
}
