package capac

import (
	"context"
	"fmt"
	"time"

	"github.com/jackc/pgx/v5"
)

// Sizes and times of the measures.
const (
	idleTime  = 10 * time.Second
	editCount = 10
	editPause = 500 * time.Millisecond
)

// idle measures fleets that serve nobody: the slopes over the daemons and over
// the groups. Startup calls are those that the store got until the fleet was
// idle.
func (m *meter) idle(ctx context.Context) error {
	for _, size := range []struct{ daemons, groups int }{{3, 1}, {3, 3}, {6, 1}, {6, 3}, {12, 1}, {12, 3}} {
		if m.cfg.Daemons != 0 && m.cfg.Daemons != size.daemons {
			continue
		}
		if err := m.with(ctx, "idle", size.daemons, size.groups, idleFleet); err != nil {
			return err
		}
	}
	return nil
}

func idleFleet(ctx context.Context, p *point) error {
	first, err := calls(ctx, p.f)
	if err != nil {
		return err
	}
	r, err := p.during(ctx, idleTime)
	if err != nil {
		return err
	}
	last, err := calls(ctx, p.f)
	if err != nil {
		return err
	}
	all, err := p.all()
	if err != nil {
		return err
	}
	resident := 0.0
	for _, u := range all {
		resident += float64(u.residentB) / float64(len(all))
	}
	used, err := inUse(ctx, p.f.Daemons[0])
	if err != nil {
		return err
	}
	s := idleTime.Seconds()
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
		{"heap_and_stack_MB", float64(used) / 1e6},
	} {
		if err := p.print(l.unit, 0, l.value); err != nil {
			return err
		}
	}
	return nil
}

// connections measures the memory of idle client connections over TLS.
func (m *meter) connections(ctx context.Context) error {
	return m.with(ctx, "connections", 3, 1, func(ctx context.Context, p *point) error {
		var open []*pgx.Conn
		defer func() {
			for _, c := range open {
				_ = c.Close(ctx)
			}
		}()
		d := p.f.Daemons[0]
		for _, n := range []int{0, 100, 1000, 4000} {
			for len(open) < n {
				c, err := p.f.Connect(ctx, d, p.workspace(), p.route())
				if err != nil {
					return fail(fmt.Sprint("open connection ", len(open)), KindLoad, err)
				}
				open = append(open, c)
			}
			if err := p.printMemory(ctx, n); err != nil {
				return err
			}
		}
		r, err := p.during(ctx, loadTime)
		if err != nil {
			return err
		}
		return p.print("mean_cpu_ms_per_s_per_daemon_while_idle", len(open), r.cpu*1000)
	})
}

func (p *point) printMemory(ctx context.Context, n int) error {
	u, err := read(p.f.Daemons[0].Proc())
	if err != nil {
		return err
	}
	used, err := inUse(ctx, p.f.Daemons[0])
	if err != nil {
		return err
	}
	if err := p.print("resident_MB", n, float64(u.residentB)/1e6); err != nil {
		return err
	}
	return p.print("heap_and_stack_MB", n, float64(used)/1e6)
}

// edits measures the bytes and store calls of a change of one workspace's rate
// above those of the idle fleet.
func (m *meter) edits(ctx context.Context) error {
	for _, daemons := range []int{3, 6, 12} {
		if m.cfg.Daemons != 0 && m.cfg.Daemons != daemons {
			continue
		}
		if err := m.with(ctx, "edits", daemons, 1, editFleet); err != nil {
			return err
		}
	}
	return nil
}

func editFleet(ctx context.Context, p *point) error {
	span := editCount * editPause
	quiet, err := p.measured(ctx, span, func(int) error { return nil })
	if err != nil {
		return err
	}
	busy, err := p.measured(ctx, span, func(i int) error {
		_, err := p.edit(ctx, i)
		return err
	})
	if err != nil {
		return err
	}
	n := float64(editCount)
	if err := p.print("sent_bytes_per_edit_of_all_daemons", 0, (busy.sent-quiet.sent)/n); err != nil {
		return err
	}
	return p.print("store_calls_per_edit", 0, (busy.calls-quiet.calls)/n)
}

// total has what all daemons sent and what the store was asked.
type total struct{ sent, calls float64 }

// measured runs f at even times in a span and returns the totals of it.
func (p *point) measured(ctx context.Context, span time.Duration, f func(i int) error) (t total, err error) {
	before, err := p.all()
	if err != nil {
		return t, err
	}
	first, err := calls(ctx, p.f)
	if err != nil {
		return t, err
	}
	end := time.Now().Add(span + editPause)
	for i := range editCount {
		if err := f(i); err != nil {
			return t, fail("edit", KindLoad, err)
		}
		if err := wait(ctx, editPause); err != nil {
			return t, err
		}
	}
	if err := wait(ctx, time.Until(end)); err != nil {
		return t, err
	}
	after, err := p.all()
	if err != nil {
		return t, err
	}
	last, err := calls(ctx, p.f)
	for i := range after {
		t.sent += float64(after[i].sent - before[i].sent)
	}
	t.calls = float64(last.Total - first.Total)
	return t, err
}
