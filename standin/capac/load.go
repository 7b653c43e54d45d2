package capac

import (
	"context"
	"fmt"
	"os"
	"strings"
	"time"

	"chervilspan.example/standin/fleet"
	"chervilspan.example/standin/load"
)

// Sizes and times of the measures with statements.
const (
	loadTime = 5 * time.Second
	cpuRuns  = 3
)

// statements measures the processor time of one daemon under load.
func (m *meter) statements(ctx context.Context) error {
	return m.with(ctx, "statements", 3, 1, func(ctx context.Context, p *point) error {
		if err := p.prepare(ctx); err != nil {
			return err
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
	c, err := p.load(rate)
	if err != nil {
		return err
	}
	c.Addresses = c.Addresses[:1]
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

// prepare creates the table that the load writes to.
func (p *point) prepare(ctx context.Context) error {
	raw, err := os.ReadFile(p.f.Daemons[0].Settings.Targets.PasswordFile)
	if err != nil {
		return fail("read the password", KindLoad, err)
	}
	var targets []string
	for _, t := range p.f.Targets {
		targets = append(targets, t.Address)
	}
	access := load.Access{Addresses: targets, User: fleet.Proxy, Password: strings.TrimSpace(string(raw))}
	return fail("create the table", KindLoad, load.Prepare(ctx, access))
}

// load returns a load of so many statements a second over all daemons.
func (p *point) load(rate int) (load.Config, error) {
	cfg, err := p.f.ConnConfig(p.f.Daemons[0], "", "", "")
	if err != nil {
		return load.Config{}, fail("configure the load", KindLoad, err)
	}
	c := load.Config{
		Route: string(p.route()), TLS: cfg.TLSConfig, Rate: float64(rate), Duration: loadTime, WriteShare: 0.1, Seed: uint64(rate),
	}
	for _, d := range p.f.Daemons {
		c.Addresses = append(c.Addresses, d.Callers)
	}
	for _, ws := range p.f.Workspaces() {
		c.Workspaces = append(c.Workspaces, load.Workspace{Name: string(ws), Key: p.f.Keys[ws], Weight: 1})
	}
	return c, nil
}

// serving measures the statements that end well when so many daemons serve one
// group, whose targets accept 30 connections each.
func (m *meter) serving(ctx context.Context) error {
	for _, daemons := range []int{6, 9, 12, 15} {
		if m.cfg.Daemons != 0 && m.cfg.Daemons != daemons {
			continue
		}
		if err := m.with(ctx, "serving", daemons, 1, servingFleet); err != nil {
			return err
		}
	}
	return nil
}

// servingRate is the rate of all daemons together in statements a second, the
// same for each size.
const servingRate = 360

func servingFleet(ctx context.Context, p *point) error {
	if err := p.prepare(ctx); err != nil {
		return err
	}
	c, err := p.load(servingRate)
	if err != nil {
		return err
	}
	c.RoamEvery = 1
	r, err := load.Run(ctx, c)
	if err != nil {
		return fail("send statements", KindLoad, err)
	}
	for _, l := range []struct {
		unit  string
		value float64
	}{
		{"sent", float64(r.Total.Sent)},
		{"share_done", float64(r.Total.Done) / float64(max(r.Total.Sent, 1))},
		{"read_p99_ms", r.Latency["/read"].P99},
		{"write_p99_ms", r.Latency["/write"].P99},
	} {
		if err := p.print(l.unit, servingRate, l.value); err != nil {
			return err
		}
	}
	for code, n := range r.Total.Codes {
		if err := p.print("refused_"+code, 0, float64(n)); err != nil {
			return err
		}
	}
	return nil
}
