package procs

import (
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"os"
	"os/exec"
	"syscall"
	"testing"
	"time"

	"github.com/jackc/pgx/v5"
	"github.com/jackc/pgx/v5/pgconn"
	"github.com/matryer/is"

	"chervilspan.example/pkg/ident"
	"chervilspan.example/standin/fleet"
	"chervilspan.example/standin/strsrv"
)

// limit ends a test that hangs. No test depends on how long a step takes.
const limit = 3 * time.Minute

var bin string

func TestMain(m *testing.M) {
	os.Exit(run(m))
}

func run(m *testing.M) int {
	dir, err := os.MkdirTemp("", "chervilspan-bin-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer func() { _ = os.RemoveAll(dir) }()
	out, err := exec.Command("go", "build", "-o", dir,
		"chervilspan.example/cmd/chervild",
		"chervilspan.example/standin/cmd/standin-store",
		"chervilspan.example/standin/cmd/standin-target").CombinedOutput()
	if err != nil {
		fmt.Fprintln(os.Stderr, string(out), err)
		return 1
	}
	bin = dir
	return m.Run()
}

const route = ident.Route("taller-1")

// rig is a running fleet of one group with a table.
type rig struct {
	t   *testing.T
	is  *is.I
	ctx context.Context
	f   *fleet.Fleet
	ws  ident.Workspace
}

func newRig(t *testing.T) *rig {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	t.Cleanup(cancel)
	l := fleet.Workshop()
	l.Groups = l.Groups[:1]
	for i := range l.Zones {
		l.Zones[i].Daemons = 1
	}
	l.Rate, l.Burst = 1000, 1000
	f, err := fleet.New(fleet.Config{Bin: bin, Layout: l})
	r := &rig{t: t, is: is.New(t), ctx: ctx, f: f, ws: l.Workspaces[0]}
	r.is.NoErr(err)
	t.Cleanup(func() { r.is.NoErr(f.Stop()) })
	r.is.NoErr(f.Start(ctx))
	r.is.NoErr(f.Publish(ctx))
	r.until(func() error {
		return r.with(0, func(c *pgx.Conn) error {
			_, err := c.Exec(ctx, "CREATE TABLE IF NOT EXISTS orders (id TEXT PRIMARY KEY)")
			return err
		})
	})
	return r
}

// until repeats f until it succeeds.
func (r *rig) until(f func() error) {
	r.t.Helper()
	for {
		err := f()
		if err == nil {
			return
		}
		select {
		case <-r.ctx.Done():
			r.t.Fatal(err)
		case <-time.After(20 * time.Millisecond):
		}
	}
}

func (r *rig) connect(daemon int) *pgx.Conn {
	r.t.Helper()
	c, err := r.f.Connect(r.ctx, r.f.Daemons[daemon], r.ws, route)
	r.is.NoErr(err)
	return c
}

func (r *rig) with(daemon int, f func(*pgx.Conn) error) error {
	c, err := r.f.Connect(r.ctx, r.f.Daemons[daemon], r.ws, route)
	if err != nil {
		return err
	}
	defer func() { _ = c.Close(r.ctx) }()
	return f(c)
}

// order places an order under an idempotency key, through any daemon, until it
// is done.
func (r *rig) order(daemon int, id string) {
	r.t.Helper()
	r.until(func() error {
		return r.with(daemon, func(c *pgx.Conn) error {
			if _, err := c.Exec(r.ctx, "SET chervil.idempotency_key = '"+id+"'"); err != nil {
				return err
			}
			_, err := c.Exec(r.ctx, "INSERT INTO orders (id) VALUES ($1)", id)
			return err
		})
	})
}

func (r *rig) count(daemon int, where string) (n int) {
	r.t.Helper()
	r.until(func() error {
		return r.with(daemon, func(c *pgx.Conn) error {
			return c.QueryRow(r.ctx, "SELECT count(*) FROM orders WHERE id LIKE $1", where).Scan(&n)
		})
	})
	return n
}

// TestDaemonKilled guards against a transaction that stays open, or is
// committed, when the daemon in the middle of it is killed, and against a slot
// or lock that stays taken.
func TestDaemonKilled(t *testing.T) {
	r := newRig(t)
	c := r.connect(0)
	tx, err := c.Begin(r.ctx)
	r.is.NoErr(err)
	_, err = tx.Exec(r.ctx, "INSERT INTO orders (id) VALUES ('half')")
	r.is.NoErr(err)
	r.f.Daemons[0].Proc().Kill()
	_, err = tx.Exec(r.ctx, "INSERT INTO orders (id) VALUES ('half-2')")
	r.is.True(err != nil)
	r.order(1, "half") // the row's key is free again
	r.is.Equal(r.count(2, "half%"), 1)
}

// TestPrimaryStopped guards against a group that waits for a primary which was
// stopped by SIGSTOP, and against a stopped primary that acknowledges or keeps
// anything once it goes on.
func TestPrimaryStopped(t *testing.T) {
	r := newRig(t)
	r.order(0, "before")
	old, err := r.f.Primary(r.ctx, ident.Group(route))
	r.is.NoErr(err)
	r.is.NoErr(old.Proc().Signal(syscall.SIGSTOP))
	r.order(1, "during")
	r.is.NoErr(old.Proc().Signal(syscall.SIGCONT))
	r.order(2, "after")
	now, err := r.f.Primary(r.ctx, ident.Group(route))
	r.is.NoErr(err)
	r.is.True(now.ID != old.ID)
	for d := range r.f.Daemons {
		r.is.Equal(r.count(d, "%"), 3)
	}
	r.rows(old, 3)
}

// rows waits until a target itself, asked past all daemons, has n orders.
func (r *rig) rows(t *fleet.Target, n int) {
	r.t.Helper()
	r.until(func() error {
		c, err := t.ConnectAdmin(r.ctx)
		if err != nil {
			return err
		}
		defer func() { _ = c.Close(r.ctx) }()
		var have int
		if err := c.QueryRow(r.ctx, "SELECT count(*) FROM orders").Scan(&have); err != nil {
			return err
		}
		if have != n {
			return fmt.Errorf("%s has %d rows", t.ID, have)
		}
		return nil
	})
}

// TestDaemonStopped guards against a daemon that serves a withdrawn key when it
// goes on after a pause in which the key was withdrawn: its proof that the
// catalogue is the latest has grown too old meanwhile.
func TestDaemonStopped(t *testing.T) {
	r := newRig(t)
	c := r.connect(0)
	_, err := c.Exec(r.ctx, "SELECT count(*) FROM orders")
	r.is.NoErr(err)
	d := r.f.Daemons[0]
	r.is.NoErr(d.Proc().Signal(syscall.SIGSTOP))
	r.f.WithdrawKeys(r.ws)
	_, err = r.f.Apply(r.ctx, r.f.Daemons[1])
	r.is.NoErr(err)
	// The daemon must be paused for longer than it may serve without a proof.
	time.Sleep(d.Settings.Freshness.MaxStaleness() + time.Second)
	r.is.NoErr(d.Proc().Signal(syscall.SIGCONT))
	_, err = c.Exec(r.ctx, "SELECT count(*) FROM orders")
	var pg *pgconn.PgError
	r.is.True(errors.As(err, &pg))
	r.is.True(pg.Code == "57P03" || pg.Code == "28P01") // cut off, or the withdrawal has arrived
}

// TestStoreDown guards against traffic, or a failover, that needs the store.
func TestStoreDown(t *testing.T) {
	r := newRig(t)
	r.is.NoErr(r.f.SetStoreFaults(r.ctx, strsrv.Faults{Outage: true}))
	r.order(0, "a")
	primary, err := r.f.Primary(r.ctx, ident.Group(route))
	r.is.NoErr(err)
	primary.Proc().Kill()
	r.order(1, "b")
	r.is.Equal(r.count(2, "%"), 2)
	r.is.NoErr(r.f.SetStoreFaults(r.ctx, strsrv.Faults{}))
	r.is.NoErr(r.f.Publish(r.ctx)) // edits work again
}

// TestReload guards against certificates that need a restart, and against wrong
// settings that stop a daemon or are taken in part on SIGHUP.
func TestReload(t *testing.T) {
	r := newRig(t)
	d := r.f.Daemons[0]
	first := r.serial(d)
	r.is.NoErr(r.f.ReissueCertificate(d))
	r.is.NoErr(d.Proc().Signal(syscall.SIGHUP))
	r.until(func() error {
		if r.serial(d) == first {
			return errors.New("the former certificate is still shown")
		}
		return nil
	})
	second := r.serial(d)
	r.is.NoErr(os.WriteFile(d.SettingsFile(), []byte(`{"vm": "truncated`), 0o600))
	r.is.NoErr(r.f.ReissueCertificate(d))
	r.is.NoErr(d.Proc().Signal(syscall.SIGHUP))
	r.until(func() error { return r.logged(d, `"event":121`) })
	r.is.Equal(r.serial(d), second)
	r.order(0, "served")
}

// serial returns the serial number of the certificate that a daemon shows to
// callers.
func (r *rig) serial(d *fleet.Daemon) string {
	r.t.Helper()
	cfg, err := r.f.ConnConfig(d, r.ws, route, r.f.Keys[r.ws])
	r.is.NoErr(err)
	var serial string
	cfg.TLSConfig.VerifyConnection = func(cs tls.ConnectionState) error {
		serial = cs.PeerCertificates[0].SerialNumber.String()
		return nil
	}
	r.until(func() error {
		c, err := pgx.ConnectConfig(r.ctx, cfg)
		if err == nil {
			err = c.Close(r.ctx)
		}
		return err
	})
	return serial
}
