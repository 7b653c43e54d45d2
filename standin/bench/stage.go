package bench

import (
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"os"
	"strings"
	"sync"
	"time"

	"github.com/jackc/pgx/v5"

	"chervilspan.example/pkg/catal"
	"chervilspan.example/pkg/ident"
	"chervilspan.example/standin/fleet"
	"chervilspan.example/standin/load"
	"chervilspan.example/standin/target"
)

const (
	// agedRoute is a route whose reads may be up to agedMaxAgeMS old.
	agedRoute = "aged"
	// agedMaxAgeMS is well above replicationLag.
	agedMaxAgeMS = 1000
	// settleTimeout bounds the waits for groups and daemons that become ready.
	settleTimeout = 15 * time.Second
	// rate and burst are those of each workspace, in statements per second and
	// statements.
	rate  = 50
	burst = 50
)

// testbed is a running fleet with the credentials and seeds that the cases use.
type testbed struct {
	fleet    *fleet.Fleet
	tls      *tls.Config
	password string

	mu   sync.Mutex
	seed uint64
}

// nextSeed returns the seed of the next run.
func (tb *testbed) nextSeed() uint64 {
	tb.mu.Lock()
	defer tb.mu.Unlock()
	tb.seed++
	return tb.seed
}

// startAttempts limits how often a fleet is started when one of its processes
// exits: another process may take a port between its choice and its use.
const startAttempts = 3

// newTestbed starts a fleet and waits until all groups and daemons serve. adjust,
// unless nil, changes the settings of each daemon.
func newTestbed(ctx context.Context, bin string, seed uint64, adjust func(*fleet.Daemon)) (*testbed, error) {
	layout := fleet.Workshop()
	layout.Rate, layout.Burst = rate, burst
	for n := 1; ; n++ {
		f, err := fleet.New(fleet.Config{Bin: bin, Layout: layout, Adjust: adjust})
		if err != nil {
			return nil, &Error{Op: "prepare the fleet", Kind: KindFleet, Text: err.Error()}
		}
		tb := &testbed{fleet: f, seed: seed}
		if err = tb.start(ctx); err == nil {
			return tb, nil
		}
		retry := n < startAttempts && tb.anyProcessExited()
		_ = f.Stop()
		if !retry {
			return nil, &Error{Op: "start the fleet", Kind: KindFleet, Text: err.Error()}
		}
	}
}

// anyProcessExited reports whether a target or daemon of the fleet has exited.
func (tb *testbed) anyProcessExited() bool {
	for _, t := range tb.fleet.Targets {
		if t.Proc() != nil && t.Proc().Exited() {
			return true
		}
	}
	for _, d := range tb.fleet.Daemons {
		if d.Proc() != nil && d.Proc().Exited() {
			return true
		}
	}
	return false
}

func (tb *testbed) start(ctx context.Context) error {
	f := tb.fleet
	f.Catalogue.Routes[agedRoute] = catal.Route{Owner: "operators", Group: "taller-2", MaxAgeMS: agedMaxAgeMS}
	raw, err := os.ReadFile(f.Daemons[0].Settings.Targets.PasswordFile)
	if err != nil {
		return err
	}
	tb.password = strings.TrimSpace(string(raw))
	if err := f.Start(ctx); err != nil {
		return err
	}
	if tb.anyProcessExited() {
		return errors.New("a process exited during startup")
	}
	if err := f.Publish(ctx); err != nil {
		return err
	}
	cfg, err := f.ConnConfig(f.Daemons[0], "", "", "")
	if err != nil {
		return err
	}
	tb.tls = cfg.TLSConfig
	for _, g := range []ident.Group{"taller-1", "taller-2", "taller-3"} {
		if err := tb.waitSettled(ctx, g); err != nil {
			return err
		}
		if err := load.Prepare(ctx, tb.groupAccess(g)); err != nil {
			return err
		}
	}
	return tb.waitServing(ctx)
}

// waitServing waits until each daemon answers statements of callers.
func (tb *testbed) waitServing(ctx context.Context) error {
	for _, d := range tb.fleet.Daemons {
		err := retryUntil(ctx, settleTimeout, func(ctx context.Context) error {
			conn, err := tb.fleet.Connect(ctx, d, "taller-ws-a", "taller-1")
			if err != nil {
				return err
			}
			defer func() { _ = conn.Close(ctx) }()
			_, err = conn.Exec(ctx, "SELECT count(*) FROM orders")
			return err
		})
		if err != nil {
			return fmt.Errorf("daemon %s: %w", d.Settings.VM, err)
		}
	}
	return nil
}

// retryUntil repeats f until it succeeds or the time limit has passed.
func retryUntil(ctx context.Context, limit time.Duration, f func(context.Context) error) error {
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	for {
		err := tryOnce(ctx, f)
		if err == nil {
			return nil
		}
		select {
		case <-ctx.Done():
			return err
		case <-time.After(20 * time.Millisecond):
		}
	}
}

// tryOnce runs f with a time limit, so that a connection without answers does not
// block it.
func tryOnce(ctx context.Context, f func(context.Context) error) error {
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	return f(ctx)
}

func (tb *testbed) groupTargets(g ident.Group) []*fleet.Target {
	var out []*fleet.Target
	for _, t := range tb.fleet.Targets {
		if t.Group == g {
			out = append(out, t)
		}
	}
	return out
}

// groupAccess returns direct access to a group's targets as their administrator,
// whose statements take no slot.
func (tb *testbed) groupAccess(g ident.Group) load.Access {
	a := load.Access{User: target.AdminUser, Password: tb.password}
	for _, t := range tb.groupTargets(g) {
		a.Addresses = append(a.Addresses, t.Address)
	}
	return a
}

// targetStatus is the part of a target's status that the cases use.
type targetStatus struct {
	role      string
	term      int64
	matchTerm int64
	log       [2]int64
}

// withAdminConn runs f on a new administrator's connection to a target.
func (tb *testbed) withAdminConn(ctx context.Context, t *fleet.Target, f func(context.Context, *pgx.Conn) error) error {
	return tryOnce(ctx, func(ctx context.Context) error {
		conn, err := t.ConnectAdmin(ctx)
		if err != nil {
			return err
		}
		defer func() { _ = conn.Close(ctx) }()
		return f(ctx, conn)
	})
}

func (tb *testbed) readStatus(ctx context.Context, t *fleet.Target) (st targetStatus, err error) {
	err = tb.withAdminConn(ctx, t, func(ctx context.Context, conn *pgx.Conn) error {
		return conn.QueryRow(ctx, "SELECT role, term, match_term, log_term, log_index FROM chervil_status()").
			Scan(&st.role, &st.term, &st.matchTerm, &st.log[0], &st.log[1])
	})
	return st, err
}

// waitSettled waits until a group has a primary and all its targets have the
// primary's log.
func (tb *testbed) waitSettled(ctx context.Context, g ident.Group) error {
	err := retryUntil(ctx, settleTimeout, func(ctx context.Context) error {
		var primary *targetStatus
		var rest []targetStatus
		for _, t := range tb.groupTargets(g) {
			st, err := tb.readStatus(ctx, t)
			if err != nil {
				return err
			}
			if st.role == "primary" {
				primary = &st
			}
			rest = append(rest, st)
		}
		if primary == nil {
			return fmt.Errorf("the group has no primary")
		}
		for _, st := range rest {
			if st.role == "rebuild" || st.term != primary.term || st.matchTerm != primary.term || st.log != primary.log {
				return fmt.Errorf("a follower is behind")
			}
		}
		return nil
	})
	if err != nil {
		return fmt.Errorf("group %s did not settle: %w", g, err)
	}
	return nil
}

// highestTerm returns the highest promised term of a group.
func (tb *testbed) highestTerm(ctx context.Context, g ident.Group) (int64, error) {
	var most int64
	for _, t := range tb.groupTargets(g) {
		st, err := tb.readStatus(ctx, t)
		if err != nil {
			return 0, err
		}
		most = max(most, st.term)
	}
	return most, nil
}

func (tb *testbed) injectFault(ctx context.Context, t *fleet.Target, name, value string) error {
	return tb.withAdminConn(ctx, t, func(ctx context.Context, conn *pgx.Conn) error {
		_, err := conn.Exec(ctx, "SELECT standin_fault($1, $2)", name, value)
		return err
	})
}

// readStats returns a target's counts of statements and reads.
func (tb *testbed) readStats(ctx context.Context, t *fleet.Target) (statements, reads int64, err error) {
	err = tb.withAdminConn(ctx, t, func(ctx context.Context, conn *pgx.Conn) error {
		return conn.QueryRow(ctx, "SELECT statements, reads FROM standin_stats()").Scan(&statements, &reads)
	})
	return statements, reads, err
}

// loadConfig returns the settings of a load over all daemons and workspaces, with
// equal weights.
func (m *measurement) loadConfig(route string, total float64, d time.Duration, writes float64) load.Config {
	tb := m.testbed
	cfg := load.Config{
		Route: route, Seed: tb.nextSeed(), Rate: total, Duration: d, WriteShare: writes, TLS: tb.tls, SessionsPerWorkspace: 4,
		GracePeriod: m.gracePeriod(),
	}
	for _, daemon := range tb.fleet.Daemons {
		cfg.Addresses = append(cfg.Addresses, daemon.CallerAddress)
	}
	for _, ws := range tb.fleet.Workspaces() {
		cfg.Workspaces = append(cfg.Workspaces, load.Workspace{Name: string(ws), Key: tb.fleet.Keys[ws], Weight: 1})
	}
	return cfg
}
