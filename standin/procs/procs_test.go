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

// testTimeout ends a test that hangs. No test depends on how long a step takes.
const testTimeout = 3 * time.Minute

var binDir string

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
	binDir = dir
	return m.Run()
}

const route = ident.Route("taller-1")

// fixture is a running fleet of one group with a table of orders.
type fixture struct {
	t     *testing.T
	is    *is.I
	ctx   context.Context
	fleet *fleet.Fleet
	ws    ident.Workspace
}

func newFixture(t *testing.T) *fixture {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	t.Cleanup(cancel)
	layout := fleet.Workshop()
	layout.Groups = layout.Groups[:1]
	for i := range layout.Zones {
		layout.Zones[i].Daemons = 1
	}
	layout.Rate, layout.Burst = 1000, 1000
	f, err := fleet.New(fleet.Config{Bin: binDir, Layout: layout})
	fx := &fixture{t: t, is: is.New(t), ctx: ctx, fleet: f, ws: layout.Workspaces[0]}
	fx.is.NoErr(err)
	t.Cleanup(func() { fx.is.NoErr(f.Stop()) })
	fx.is.NoErr(f.Start(ctx))
	fx.is.NoErr(f.Publish(ctx))
	fx.retryUntilDone(func() error {
		return fx.withConn(0, func(c *pgx.Conn) error {
			_, err := c.Exec(ctx, "CREATE TABLE IF NOT EXISTS orders (id TEXT PRIMARY KEY)")
			return err
		})
	})
	return fx
}

// retryUntilDone repeats f until it succeeds.
func (fx *fixture) retryUntilDone(f func() error) {
	fx.t.Helper()
	for {
		err := f()
		if err == nil {
			return
		}
		select {
		case <-fx.ctx.Done():
			fx.t.Fatal(err)
		case <-time.After(20 * time.Millisecond):
		}
	}
}

func (fx *fixture) connect(daemon int) *pgx.Conn {
	fx.t.Helper()
	c, err := fx.fleet.Connect(fx.ctx, fx.fleet.Daemons[daemon], fx.ws, route)
	fx.is.NoErr(err)
	return c
}

func (fx *fixture) withConn(daemon int, f func(*pgx.Conn) error) error {
	c, err := fx.fleet.Connect(fx.ctx, fx.fleet.Daemons[daemon], fx.ws, route)
	if err != nil {
		return err
	}
	defer func() { _ = c.Close(fx.ctx) }()
	return f(c)
}

// placeOrder inserts an order with an idempotency key through a daemon, and
// repeats that until it succeeds.
func (fx *fixture) placeOrder(daemon int, id string) {
	fx.t.Helper()
	fx.retryUntilDone(func() error {
		return fx.withConn(daemon, func(c *pgx.Conn) error {
			if _, err := c.Exec(fx.ctx, "SET chervil.idempotency_key = '"+id+"'"); err != nil {
				return err
			}
			_, err := c.Exec(fx.ctx, "INSERT INTO orders (id) VALUES ($1)", id)
			return err
		})
	})
}

func (fx *fixture) countOrders(daemon int, pattern string) (n int) {
	fx.t.Helper()
	fx.retryUntilDone(func() error {
		return fx.withConn(daemon, func(c *pgx.Conn) error {
			return c.QueryRow(fx.ctx, "SELECT count(*) FROM orders WHERE id LIKE $1", pattern).Scan(&n)
		})
	})
	return n
}

// TestDaemonKilled guards against a transaction that stays open or is committed
// when its daemon is killed, and against a slot or lock that is not released.
func TestDaemonKilled(t *testing.T) {
	fx := newFixture(t)
	c := fx.connect(0)
	tx, err := c.Begin(fx.ctx)
	fx.is.NoErr(err)
	_, err = tx.Exec(fx.ctx, "INSERT INTO orders (id) VALUES ('half')")
	fx.is.NoErr(err)
	fx.fleet.Daemons[0].Proc().Kill()
	_, err = tx.Exec(fx.ctx, "INSERT INTO orders (id) VALUES ('half-2')")
	fx.is.True(err != nil)
	fx.placeOrder(1, "half") // the row is not locked
	fx.is.Equal(fx.countOrders(2, "half%"), 1)
}

// TestPrimaryStopped guards against a group that waits for a primary paused by
// SIGSTOP, and against a primary that, after SIGCONT, acknowledges a write or
// keeps one that the group does not have.
func TestPrimaryStopped(t *testing.T) {
	fx := newFixture(t)
	fx.placeOrder(0, "before")
	old, err := fx.fleet.Primary(fx.ctx, ident.Group(route))
	fx.is.NoErr(err)
	fx.is.NoErr(old.Proc().Signal(syscall.SIGSTOP))
	fx.placeOrder(1, "during")
	fx.is.NoErr(old.Proc().Signal(syscall.SIGCONT))
	fx.placeOrder(2, "after")
	current, err := fx.fleet.Primary(fx.ctx, ident.Group(route))
	fx.is.NoErr(err)
	fx.is.True(current.ID != old.ID)
	for d := range fx.fleet.Daemons {
		fx.is.Equal(fx.countOrders(d, "%"), 3)
	}
	fx.waitForOrders(old, 3)
}

// waitForOrders waits until a target, queried directly, has n orders.
func (fx *fixture) waitForOrders(t *fleet.Target, n int) {
	fx.t.Helper()
	fx.retryUntilDone(func() error {
		c, err := t.ConnectAdmin(fx.ctx)
		if err != nil {
			return err
		}
		defer func() { _ = c.Close(fx.ctx) }()
		var have int
		if err := c.QueryRow(fx.ctx, "SELECT count(*) FROM orders").Scan(&have); err != nil {
			return err
		}
		if have != n {
			return fmt.Errorf("%s has %d rows", t.ID, have)
		}
		return nil
	})
}

// TestDaemonStopped guards against a daemon that serves a key after a pause during
// which the key was withdrawn: its proof that its catalogue is the latest has
// become too old meanwhile.
func TestDaemonStopped(t *testing.T) {
	fx := newFixture(t)
	c := fx.connect(0)
	_, err := c.Exec(fx.ctx, "SELECT count(*) FROM orders")
	fx.is.NoErr(err)
	d := fx.fleet.Daemons[0]
	fx.is.NoErr(d.Proc().Signal(syscall.SIGSTOP))
	fx.fleet.WithdrawKeys(fx.ws)
	_, err = fx.fleet.Apply(fx.ctx, fx.fleet.Daemons[1])
	fx.is.NoErr(err)
	// The pause must exceed the time that a daemon may serve without a new proof.
	time.Sleep(d.Settings.Freshness.MaxStaleness() + time.Second)
	fx.is.NoErr(d.Proc().Signal(syscall.SIGCONT))
	_, err = c.Exec(fx.ctx, "SELECT count(*) FROM orders")
	var pg *pgconn.PgError
	fx.is.True(errors.As(err, &pg))
	fx.is.True(pg.Code == "57P03" || pg.Code == "28P01") // cut off, or it has received the withdrawal
}

// TestStoreDown guards against statements or a failover that depend on the store.
func TestStoreDown(t *testing.T) {
	fx := newFixture(t)
	fx.is.NoErr(fx.fleet.SetStoreFaults(fx.ctx, strsrv.Faults{Outage: true}))
	fx.placeOrder(0, "a")
	primary, err := fx.fleet.Primary(fx.ctx, ident.Group(route))
	fx.is.NoErr(err)
	primary.Proc().Kill()
	fx.placeOrder(1, "b")
	fx.is.Equal(fx.countOrders(2, "%"), 2)
	fx.is.NoErr(fx.fleet.SetStoreFaults(fx.ctx, strsrv.Faults{}))
	fx.is.NoErr(fx.fleet.Publish(fx.ctx)) // edits of the catalogue work again
}

// TestReload guards against new certificates that take effect only after a
// restart, and against invalid settings that stop a daemon or are applied in
// part on SIGHUP.
func TestReload(t *testing.T) {
	fx := newFixture(t)
	d := fx.fleet.Daemons[0]
	first := fx.certificateSerial(d)
	fx.is.NoErr(fx.fleet.ReissueCertificate(d))
	fx.is.NoErr(d.Proc().Signal(syscall.SIGHUP))
	fx.retryUntilDone(func() error {
		if fx.certificateSerial(d) == first {
			return errors.New("the daemon still presents the former certificate")
		}
		return nil
	})
	second := fx.certificateSerial(d)
	fx.is.NoErr(os.WriteFile(d.SettingsFile(), []byte(`{"vm": "truncated`), 0o600))
	fx.is.NoErr(fx.fleet.ReissueCertificate(d))
	fx.is.NoErr(d.Proc().Signal(syscall.SIGHUP))
	fx.retryUntilDone(func() error { return fx.checkLogged(d, `"event":121`) })
	fx.is.Equal(fx.certificateSerial(d), second)
	fx.placeOrder(0, "served")
}

// certificateSerial returns the serial number of the certificate that a daemon
// presents to callers.
func (fx *fixture) certificateSerial(d *fleet.Daemon) string {
	fx.t.Helper()
	cfg, err := fx.fleet.ConnConfig(d, fx.ws, route, fx.fleet.Keys[fx.ws])
	fx.is.NoErr(err)
	var serial string
	cfg.TLSConfig.VerifyConnection = func(cs tls.ConnectionState) error {
		serial = cs.PeerCertificates[0].SerialNumber.String()
		return nil
	}
	fx.retryUntilDone(func() error {
		c, err := pgx.ConnectConfig(fx.ctx, cfg)
		if err == nil {
			err = c.Close(fx.ctx)
		}
		return err
	})
	return serial
}
