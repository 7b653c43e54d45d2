package procs

import (
	"context"
	"errors"
	"fmt"
	"os"
	"strings"
	"syscall"
	"testing"

	"github.com/jackc/pgx/v5"

	"chervilspan.example/pkg/ident"
	"chervilspan.example/standin/fleet"
)

// statementCount returns the number of statements that a target has received.
func (fx *fixture) statementCount(t *fleet.Target) (n int64) {
	fx.t.Helper()
	fx.retryUntilDone(func() error {
		c, err := t.ConnectAdmin(fx.ctx)
		if err != nil {
			return err
		}
		defer func() { _ = c.Close(fx.ctx) }()
		rows, err := c.Query(fx.ctx, "SELECT * FROM standin_stats()")
		if err != nil {
			return err
		}
		stats, err := pgx.CollectExactlyOneRow(rows, pgx.RowToMap)
		if err != nil {
			return err
		}
		var ok bool
		if n, ok = stats["statements"].(int64); !ok {
			return fmt.Errorf("no count of statements in %v", stats)
		}
		return nil
	})
	return n
}

// markLeaving marks a target as leaving in the catalogue and waits until that
// version is in force on all daemons.
func (fx *fixture) markLeaving(t *fleet.Target) {
	fx.t.Helper()
	g := fx.fleet.Catalogue.Groups[t.Group]
	cfg := g.Targets[t.ID]
	cfg.Leaving = true
	g.Targets[t.ID] = cfg
	fx.is.NoErr(fx.fleet.Publish(fx.ctx))
}

// TestLeavingTarget guards against statements sent to a leaving target, and
// against a leaving primary that is not replaced or loses an order.
func TestLeavingTarget(t *testing.T) {
	fx := newFixture(t)
	fx.placeOrder(0, "before")
	old, err := fx.fleet.Primary(fx.ctx, ident.Group(route))
	fx.is.NoErr(err)
	fx.markLeaving(old)
	fx.retryUntilDone(func() error {
		current, err := fx.fleet.Primary(fx.ctx, ident.Group(route))
		if err == nil && current.ID == old.ID {
			err = errors.New("the leaving target is still the primary")
		}
		return err
	})
	for d := range fx.fleet.Daemons {
		fx.placeOrder(d, fmt.Sprintf("after-%d", d)) // afterwards each daemon knows the new primary
	}
	count := fx.statementCount(old)
	for d := range fx.fleet.Daemons {
		for range 20 {
			fx.is.Equal(fx.countOrders(d, "%"), 4)
		}
	}
	fx.is.Equal(fx.statementCount(old), count)
}

// TestDrainDuringFailover guards against a drain that cuts the session of an
// order that waits for a new primary.
func TestDrainDuringFailover(t *testing.T) {
	fx := newFixture(t)
	primary, err := fx.fleet.Primary(fx.ctx, ident.Group(route))
	fx.is.NoErr(err)
	c := fx.connect(0)
	_, err = c.Exec(fx.ctx, "INSERT INTO orders (id) VALUES ('before')")
	fx.is.NoErr(err)
	primary.Proc().Kill()
	done := make(chan error, 1)
	go func() {
		_, err := c.Exec(context.Background(), "INSERT INTO orders (id) VALUES ('during')")
		done <- err
	}()
	d := fx.fleet.Daemons[0]
	fx.retryUntilDone(func() error { // the order has reached the daemon
		s, err := fx.fleet.Status(fx.ctx, d)
		if err != nil {
			return err
		}
		for _, w := range s.Workspaces {
			if w.Workspace == string(fx.ws) && w.Admitted >= 2 {
				return nil
			}
		}
		return errors.New("the order is not admitted yet")
	})
	fx.is.NoErr(d.Proc().Signal(syscall.SIGTERM))
	fx.is.NoErr(<-done)
	fx.is.True(d.Proc().WaitExit(testTimeout))
	fx.is.Equal(d.Proc().ExitCode(), 0) // no session was cut
	fx.is.Equal(fx.countOrders(1, "%"), 2)
}

// TestSecondSignal guards against a drain that waits for an open transaction and
// cannot be ended by a second SIGTERM, and against a cut session that is not
// counted.
func TestSecondSignal(t *testing.T) {
	fx := newFixture(t)
	tx, err := fx.connect(0).Begin(fx.ctx)
	fx.is.NoErr(err)
	_, err = tx.Exec(fx.ctx, "INSERT INTO orders (id) VALUES ('cut')")
	fx.is.NoErr(err)
	d := fx.fleet.Daemons[0]
	fx.is.NoErr(d.Proc().Signal(syscall.SIGTERM))
	fx.retryUntilDone(func() error { return fx.checkLogged(d, `"event":110`) })
	fx.is.NoErr(d.Proc().Signal(syscall.SIGTERM))
	fx.is.True(d.Proc().WaitExit(testTimeout))
	fx.is.Equal(d.Proc().ExitCode(), 1)
	fx.is.NoErr(fx.checkLogged(d, `"event":112,"name":"drain_cut","cut":1`))
	fx.is.Equal(fx.countOrders(1, "%"), 0)
}

// checkLogged returns an error unless a daemon's log contains the text.
func (fx *fixture) checkLogged(d *fleet.Daemon, text string) error {
	log, err := os.ReadFile(d.Proc().LogFile)
	if err == nil && !strings.Contains(string(log), text) {
		err = fmt.Errorf("%s has not logged %s", d.Settings.VM, text)
	}
	return err
}
