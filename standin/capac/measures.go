package capac

import (
	"context"
	"fmt"
	"os"
	"strings"
	"time"

	"github.com/jackc/pgx/v5"

	"chervilspan.example/standin/load"
)

// Sizes and times of the measures.
const (
	idleTime  = 10 * time.Second
	loadTime  = 5 * time.Second
	cpuRuns   = 3
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

// statements measures the processor time of one daemon under load.
func (m *meter) statements(ctx context.Context) error {
	return m.with(ctx, "statements", 3, 1, func(ctx context.Context, p *point) error {
		raw, err := os.ReadFile(p.f.Daemons[0].Settings.Targets.PasswordFile)
		if err != nil {
			return fail("read the password", KindLoad, err)
		}
		var targets []string
		for _, t := range p.f.Targets {
			targets = append(targets, t.Address)
		}
		access := load.Access{Addresses: targets, User: "proxy", Password: strings.TrimSpace(string(raw))}
		if err := load.Prepare(ctx, access); err != nil {
			return fail("create the table", KindLoad, err)
		}
		for _, rate := range []int{75, 150, 300, 600} {
			if err := p.least(ctx, rate); err != nil {
				return err
			}
		}
		return nil
	})
}

// least prints the least processor time of several runs at a rate.
func (p *point) least(ctx context.Context, rate int) error {
	cfg, err := p.f.ConnConfig(p.f.Daemons[0], "", "", "")
	if err != nil {
		return fail("configure the load", KindLoad, err)
	}
	c := load.Config{
		Addresses: []string{p.f.Daemons[0].Callers}, Route: string(p.route()), TLS: cfg.TLSConfig,
		Rate: float64(rate), Duration: loadTime, WriteShare: 0.1, Seed: uint64(rate),
	}
	for _, ws := range p.f.Workspaces() {
		c.Workspaces = append(c.Workspaces, load.Workspace{Name: string(ws), Key: p.f.Keys[ws], Weight: 1})
	}
	var best, bytes float64
	for i := range cpuRuns {
		before, err := read(p.f.Daemons[0].Proc())
		if err != nil {
			return err
		}
		r, err := load.Run(ctx, c)
		if err != nil {
			return fail("send statements", KindLoad, err)
		}
		after, err := read(p.f.Daemons[0].Proc())
		if err != nil {
			return err
		}
		if r.Total.Done < r.Total.Sent*99/100 {
			return fail("send statements", KindLoad, fmt.Errorf("%d of %d done: %v", r.Total.Done, r.Total.Sent, r.Total.Codes))
		}
		cpu := float64((after.cpu - before.cpu).Microseconds()) / float64(r.Total.Done)
		if i == 0 || cpu < best {
			best, bytes = cpu, float64(after.sent-before.sent)/float64(r.Total.Done)
		}
	}
	if err := p.print("cpu_us_per_statement", rate, best); err != nil {
		return err
	}
	return p.print("sent_bytes_per_statement", rate, bytes)
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
