package main

import (
	"context"
	"errors"
	"fmt"
	"syscall"
	"time"

	"github.com/jackc/pgx/v5"
	"github.com/jackc/pgx/v5/pgconn"

	"chervilspan.example/pkg/ident"
	"chervilspan.example/standin/fleet"
)

// execer is implemented by connections and transactions.
type execer interface {
	Exec(ctx context.Context, sql string, args ...any) (pgconn.CommandTag, error)
}

type step struct {
	name string
	run  func(context.Context) (string, error)
}

// script is the order flow and its progress.
type script struct {
	fleet   *fleet.Fleet
	started time.Time
	ws      ident.Workspace
	route   ident.Route
	placed  int
}

func (s *script) steps() []step {
	return []step{
		{"start store, targets and daemons", s.start},
		{"create the order table", s.create},
		{"place orders through one daemon", s.place},
		{"read them through another daemon", s.readElsewhere},
		{"a wrong key is refused", s.wrongKey},
		{"kill the primary, orders go on", s.failover},
		{"an edit takes effect on all daemons", s.edit},
		{"a withdrawn key stops everywhere", s.withdraw},
		{"a daemon drains and cuts nothing", s.drain},
		{"each order is there once", s.count},
	}
}

func (s *script) start(ctx context.Context) (string, error) {
	if err := s.fleet.Start(ctx); err != nil {
		return "", err
	}
	if err := s.fleet.Publish(ctx); err != nil {
		return "", err
	}
	return fmt.Sprintf("%d targets, %d daemons in %d zones", len(s.fleet.Targets), len(s.fleet.Daemons), len(s.fleet.Catalogue.Zones)), nil
}

// withConn runs f on a new connection through a daemon.
func (s *script) withConn(ctx context.Context, daemon int, f func(*pgx.Conn) error) error {
	c, err := s.fleet.Connect(ctx, s.fleet.Daemons[daemon], s.ws, s.route)
	if err != nil {
		return err
	}
	defer func() { _ = c.Close(ctx) }()
	return f(c)
}

func (s *script) create(ctx context.Context) (string, error) {
	err := s.retry(ctx, func() error {
		return s.withConn(ctx, 0, func(c *pgx.Conn) error {
			_, err := c.Exec(ctx, "CREATE TABLE IF NOT EXISTS orders (id TEXT PRIMARY KEY, pole TEXT, cm INTEGER)")
			return err
		})
	})
	return "table orders", err
}

func (s *script) insert(ctx context.Context, c execer) error {
	id := fmt.Sprintf("order-%04d", s.placed)
	if _, err := c.Exec(ctx, "INSERT INTO orders (id, pole, cm) VALUES ($1, $2, $3)", id, "curtain pole", 180+s.placed); err != nil {
		return err
	}
	s.placed++
	return nil
}

func (s *script) place(ctx context.Context) (string, error) {
	err := s.withConn(ctx, 0, func(c *pgx.Conn) error {
		for range 20 {
			if err := s.insert(ctx, c); err != nil {
				return err
			}
		}
		return nil
	})
	return fmt.Sprintf("%d orders through %s", s.placed, s.fleet.Daemons[0].Settings.VM), err
}

func (s *script) readElsewhere(ctx context.Context) (string, error) {
	seen := 0
	for i := 1; i < len(s.fleet.Daemons); i++ {
		err := s.withConn(ctx, i, func(c *pgx.Conn) error {
			return c.QueryRow(ctx, "SELECT count(*) FROM orders").Scan(&seen)
		})
		if err != nil {
			return "", err
		}
		if seen != s.placed {
			return "", fmt.Errorf("%d of %d orders seen through %s", seen, s.placed, s.fleet.Daemons[i].Settings.VM)
		}
	}
	return fmt.Sprintf("all %d seen through %d other daemons", seen, len(s.fleet.Daemons)-1), nil
}

func (s *script) wrongKey(ctx context.Context) (string, error) {
	key := s.fleet.Keys[s.ws]
	cfg, err := s.fleet.ConnConfig(s.fleet.Daemons[0], s.ws, s.route, key[:len(key)-1]+"x")
	if err != nil {
		return "", err
	}
	c, err := pgx.ConnectConfig(ctx, cfg)
	if err == nil {
		_ = c.Close(ctx)
		return "", errors.New("a wrong key was accepted")
	}
	var pg *pgconn.PgError
	if !errors.As(err, &pg) || pg.Code != "28P01" {
		return "", fmt.Errorf("refused with another error than 28P01: %w", err)
	}
	return pg.Code + " " + pg.Message, nil
}

func (s *script) failover(ctx context.Context) (string, error) {
	primary, err := s.fleet.Primary(ctx, ident.Group(s.route))
	if err != nil {
		return "", err
	}
	killed := time.Now()
	primary.Proc().Kill()
	attempts := 0
	err = s.retry(ctx, func() error {
		attempts++
		return s.withConn(ctx, 1, func(c *pgx.Conn) error { return s.insertOnce(ctx, c) })
	})
	if err != nil {
		return "", err
	}
	gap := time.Since(killed)
	for range 5 {
		if err := s.withConn(ctx, 2, func(c *pgx.Conn) error { return s.insertOnce(ctx, c) }); err != nil {
			return "", err
		}
	}
	return fmt.Sprintf("%s was killed; first order after %.2f s, attempt %d", primary.ID, gap.Seconds(), attempts), nil
}

// insertOnce places an order under an idempotency key, so that a retry after a
// lost answer does not insert it twice.
func (s *script) insertOnce(ctx context.Context, c *pgx.Conn) error {
	if _, err := c.Exec(ctx, fmt.Sprintf("SET chervil.idempotency_key = 'order-%04d'", s.placed)); err != nil {
		return err
	}
	return s.insert(ctx, c)
}

// retry repeats f until it succeeds or ctx ends.
func (s *script) retry(ctx context.Context, f func() error) error {
	for {
		err := f()
		if err == nil {
			return nil
		}
		select {
		case <-ctx.Done():
			return err
		case <-time.After(50 * time.Millisecond):
		}
	}
}

func (s *script) count(ctx context.Context) (string, error) {
	var n, distinct int
	err := s.withConn(ctx, 0, func(c *pgx.Conn) error {
		return c.QueryRow(ctx, "SELECT count(*), count(DISTINCT id) FROM orders").Scan(&n, &distinct)
	})
	if err != nil {
		return "", err
	}
	if n != s.placed || distinct != s.placed {
		return "", fmt.Errorf("%d rows with %d ids for %d orders", n, distinct, s.placed)
	}
	return fmt.Sprintf("%d orders placed, %d rows", s.placed, n), nil
}

// edit raises a workspace's rate and waits until the edit is in force on each
// daemon.
func (s *script) edit(ctx context.Context) (string, error) {
	ws := s.fleet.Catalogue.Workspaces[s.ws]
	ws.Rate *= 2
	s.fleet.Catalogue.Workspaces[s.ws] = ws
	v, err := s.fleet.Apply(ctx, s.fleet.Daemons[3])
	if err != nil {
		return "", err
	}
	took, err := s.fleet.WaitInForce(ctx, v)
	return fmt.Sprintf("version %d in force on %d daemons after %.3f s", v, len(s.fleet.Daemons), took.Seconds()), err
}

// withdraw withdraws the key of another workspace while that workspace has a
// session open on each daemon.
func (s *script) withdraw(ctx context.Context) (string, error) {
	victim := s.fleet.OtherWorkspace(s.ws)
	var open []*pgx.Conn
	defer func() {
		for _, c := range open {
			_ = c.Close(ctx)
		}
	}()
	for _, d := range s.fleet.Daemons {
		c, err := s.fleet.Connect(ctx, d, victim, s.route)
		if err != nil {
			return "", err
		}
		open = append(open, c)
		if _, err := c.Exec(ctx, "SELECT count(*) FROM orders"); err != nil {
			return "", err
		}
	}
	s.fleet.WithdrawKeys(victim)
	v, err := s.fleet.Apply(ctx, s.fleet.Daemons[0])
	if err != nil {
		return "", err
	}
	start := time.Now()
	for i, c := range open {
		if err := s.untilRefused(ctx, c); err != nil {
			return "", fmt.Errorf("through %s: %w", s.fleet.Daemons[i].Settings.VM, err)
		}
	}
	took := time.Since(start)
	if took > maxWithdrawTime {
		return "", fmt.Errorf("open sessions ended only after %s", took)
	}
	return fmt.Sprintf("version %d, %d open sessions ended within %.3f s", v, len(open), took.Seconds()), nil
}

// maxWithdrawTime limits the time from the withdrawal of a key until its open
// sessions end.
const maxWithdrawTime = 9 * time.Second

// untilRefused runs statements until one is refused because of the key.
func (s *script) untilRefused(ctx context.Context, c *pgx.Conn) error {
	for {
		_, err := c.Exec(ctx, "SELECT count(*) FROM orders")
		var pg *pgconn.PgError
		switch {
		case errors.As(err, &pg) && pg.Code == "28P01":
			return nil
		case err != nil:
			return err
		}
		select {
		case <-ctx.Done():
			return errors.New("the withdrawn key is still accepted")
		case <-time.After(20 * time.Millisecond):
		}
	}
}

// drain stops a daemon while a transaction is open on it. The transaction must
// still commit.
func (s *script) drain(ctx context.Context) (string, error) {
	last := len(s.fleet.Daemons) - 1
	c, err := s.fleet.Connect(ctx, s.fleet.Daemons[last], s.ws, s.route)
	if err != nil {
		return "", err
	}
	defer func() { _ = c.Close(ctx) }()
	tx, err := c.Begin(ctx)
	if err != nil {
		return "", err
	}
	if err := s.insert(ctx, tx); err != nil {
		return "", err
	}
	d := s.fleet.Daemons[last]
	if err := d.Proc().Signal(syscall.SIGTERM); err != nil {
		return "", err
	}
	time.Sleep(d.Settings.Drain.NoticePeriod() + 200*time.Millisecond)
	if err := s.insert(ctx, tx); err != nil {
		return "", err
	}
	if err := tx.Commit(ctx); err != nil {
		return "", err
	}
	if !d.Proc().WaitExit(5 * time.Second) {
		return "", errors.New("the daemon did not stop")
	}
	if code := d.Proc().ExitCode(); code != 0 {
		return "", fmt.Errorf("exit status %d, sessions were cut", code)
	}
	return fmt.Sprintf("%s finished an open transaction and stopped", d.Settings.VM), nil
}
