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

// statements returns how many statements a target has been sent.
func (r *rig) statements(t *fleet.Target) (n int64) {
	r.t.Helper()
	r.until(func() error {
		c, err := t.ConnectAdmin(r.ctx)
		if err != nil {
			return err
		}
		defer func() { _ = c.Close(r.ctx) }()
		rows, err := c.Query(r.ctx, "SELECT * FROM standin_stats()")
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

// leave marks a target as leaving and waits until that is in force everywhere.
func (r *rig) leave(t *fleet.Target) {
	r.t.Helper()
	g := r.f.Catalogue.Groups[t.Group]
	cfg := g.Targets[t.ID]
	cfg.Leaving = true
	g.Targets[t.ID] = cfg
	r.is.NoErr(r.f.Publish(r.ctx))
}

// TestLeavingTarget guards against new work for a leaving target, and against a
// leaving primary that is not replaced by another target or loses an order.
func TestLeavingTarget(t *testing.T) {
	r := newRig(t)
	r.order(0, "before")
	old, err := r.f.Primary(r.ctx, ident.Group(route))
	r.is.NoErr(err)
	r.leave(old)
	r.until(func() error {
		now, err := r.f.Primary(r.ctx, ident.Group(route))
		if err == nil && now.ID == old.ID {
			err = errors.New("the leaving primary is still the primary")
		}
		return err
	})
	for d := range r.f.Daemons {
		r.order(d, fmt.Sprintf("after-%d", d)) // each daemon has met the new primary then
	}
	count := r.statements(old)
	for d := range r.f.Daemons {
		for range 20 {
			r.is.Equal(r.count(d, "%"), 4)
		}
	}
	r.is.Equal(r.statements(old), count)
}

// TestDrainDuringFailover guards against a planned stop that cuts an order
// which waits for a new primary.
func TestDrainDuringFailover(t *testing.T) {
	r := newRig(t)
	primary, err := r.f.Primary(r.ctx, ident.Group(route))
	r.is.NoErr(err)
	c := r.connect(0)
	_, err = c.Exec(r.ctx, "INSERT INTO orders (id) VALUES ('before')")
	r.is.NoErr(err)
	primary.Proc().Kill()
	done := make(chan error, 1)
	go func() {
		_, err := c.Exec(context.Background(), "INSERT INTO orders (id) VALUES ('during')")
		done <- err
	}()
	d := r.f.Daemons[0]
	r.until(func() error { // the order has reached the daemon
		s, err := r.f.Status(r.ctx, d)
		if err != nil {
			return err
		}
		for _, w := range s.Workspaces {
			if w.Workspace == string(r.ws) && w.Admitted >= 2 {
				return nil
			}
		}
		return errors.New("the order is not admitted yet")
	})
	r.is.NoErr(d.Proc().Signal(syscall.SIGTERM))
	r.is.NoErr(<-done)
	r.is.True(d.Proc().WaitExit(limit))
	r.is.Equal(d.Proc().ExitCode(), 0) // no session was cut
	r.is.Equal(r.count(1, "%"), 2)
}

// TestSecondSignal guards against an operator who cannot end a stop that waits
// for an open transaction, and against a cut that is not counted.
func TestSecondSignal(t *testing.T) {
	r := newRig(t)
	tx, err := r.connect(0).Begin(r.ctx)
	r.is.NoErr(err)
	_, err = tx.Exec(r.ctx, "INSERT INTO orders (id) VALUES ('cut')")
	r.is.NoErr(err)
	d := r.f.Daemons[0]
	r.is.NoErr(d.Proc().Signal(syscall.SIGTERM))
	r.until(func() error { return r.logged(d, `"event":110`) })
	r.is.NoErr(d.Proc().Signal(syscall.SIGTERM))
	r.is.True(d.Proc().WaitExit(limit))
	r.is.Equal(d.Proc().ExitCode(), 1)
	r.is.NoErr(r.logged(d, `"event":112,"name":"drain_cut","cut":1`))
	r.is.Equal(r.count(1, "%"), 0)
}

// logged returns an error unless a daemon's log has the text.
func (r *rig) logged(d *fleet.Daemon, text string) error {
	log, err := os.ReadFile(d.Proc().LogFile)
	if err == nil && !strings.Contains(string(log), text) {
		err = fmt.Errorf("%s has not logged %s", d.Settings.VM, text)
	}
	return err
}
