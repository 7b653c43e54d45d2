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

const (
	loadDuration = 5 * time.Second
	cpuRuns      = 3
)

// measureStatements measures the CPU time per statement of one daemon.
func (m *measurement) measureStatements(ctx context.Context) error {
	return m.withFleet(ctx, "statements", 3, 1, func(ctx context.Context, e *experiment) error {
		if err := e.createTable(ctx); err != nil {
			return err
		}
		for _, rate := range []int{75, 150, 300, 600} {
			if err := e.measureLeastCPU(ctx, rate); err != nil {
				return err
			}
		}
		return nil
	})
}

// measureLeastCPU prints the least CPU time per statement of several runs at a
// rate, and the bytes sent in that run.
func (e *experiment) measureLeastCPU(ctx context.Context, rate int) error {
	c, err := e.loadConfig(rate)
	if err != nil {
		return err
	}
	c.Addresses = c.Addresses[:1]
	var best, bytes float64
	for i := range cpuRuns {
		before, err := readUsage(e.fleet.Daemons[0].Proc())
		if err != nil {
			return err
		}
		r, err := load.Run(ctx, c)
		if err != nil {
			return wrapError("send statements", KindLoad, err)
		}
		after, err := readUsage(e.fleet.Daemons[0].Proc())
		if err != nil {
			return err
		}
		if r.Total.Done < r.Total.Sent*99/100 {
			return wrapError("send statements", KindLoad, fmt.Errorf("%d of %d done: %v", r.Total.Done, r.Total.Sent, r.Total.Codes))
		}
		cpu := float64((after.cpu - before.cpu).Microseconds()) / float64(r.Total.Done)
		if i == 0 || cpu < best {
			best, bytes = cpu, float64(after.sent-before.sent)/float64(r.Total.Done)
		}
	}
	if err := e.print("cpu_us_per_statement", rate, best); err != nil {
		return err
	}
	return e.print("sent_bytes_per_statement", rate, bytes)
}

// createTable creates the table that the load writes to.
func (e *experiment) createTable(ctx context.Context) error {
	raw, err := os.ReadFile(e.fleet.Daemons[0].Settings.Targets.PasswordFile)
	if err != nil {
		return wrapError("read the password", KindLoad, err)
	}
	var targets []string
	for _, t := range e.fleet.Targets {
		targets = append(targets, t.Address)
	}
	access := load.Access{Addresses: targets, User: fleet.ProxyUser, Password: strings.TrimSpace(string(raw))}
	return wrapError("create the table", KindLoad, load.Prepare(ctx, access))
}

// loadConfig returns the settings of a load over all daemons, with rate in
// statements per second.
func (e *experiment) loadConfig(rate int) (load.Config, error) {
	cfg, err := e.fleet.ConnConfig(e.fleet.Daemons[0], "", "", "")
	if err != nil {
		return load.Config{}, wrapError("configure the load", KindLoad, err)
	}
	c := load.Config{
		Route: string(e.firstRoute()), TLS: cfg.TLSConfig, Rate: float64(rate), Duration: loadDuration, WriteShare: 0.1, Seed: uint64(rate),
	}
	for _, d := range e.fleet.Daemons {
		c.Addresses = append(c.Addresses, d.CallerAddress)
	}
	for _, ws := range e.fleet.Workspaces() {
		c.Workspaces = append(c.Workspaces, load.Workspace{Name: string(ws), Key: e.fleet.Keys[ws], Weight: 1})
	}
	return c, nil
}

// measureServing measures the share of statements that succeed when many daemons
// serve one group whose targets accept 30 connections each.
func (m *measurement) measureServing(ctx context.Context) error {
	for _, daemons := range []int{6, 9, 12, 15} {
		if m.cfg.Daemons != 0 && m.cfg.Daemons != daemons {
			continue
		}
		if err := m.withFleet(ctx, "serving", daemons, 1, measureServingFleet); err != nil {
			return err
		}
	}
	return nil
}

// servingRate is the total rate over all daemons in statements per second, the
// same for each size of the fleet.
const servingRate = 360

func measureServingFleet(ctx context.Context, e *experiment) error {
	if err := e.createTable(ctx); err != nil {
		return err
	}
	c, err := e.loadConfig(servingRate)
	if err != nil {
		return err
	}
	c.RoamEvery = 1
	r, err := load.Run(ctx, c)
	if err != nil {
		return wrapError("send statements", KindLoad, err)
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
		if err := e.print(l.unit, servingRate, l.value); err != nil {
			return err
		}
	}
	for code, n := range r.Total.Codes {
		if err := e.print("refused_"+code, 0, float64(n)); err != nil {
			return err
		}
	}
	return nil
}
