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
	// agedRoute accepts reads of a stated age.
	agedRoute = "aged"
	// agedMS is that age, well above the lag.
	agedMS = 1000
	// settleTimeout bounds the wait for a group with a primary and followers.
	settleTimeout = 15 * time.Second
	// rate and burst of each workspace, in statements.
	rate  = 50
	burst = 50
)

// stage is the running fleet with what the cases need to drive it.
type stage struct {
	f        *fleet.Fleet
	tls      *tls.Config
	password string

	mu   sync.Mutex
	seed uint64
}

// nextSeed returns the seed of the next run.
func (s *stage) nextSeed() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.seed++
	return s.seed
}

// startAttempts is how often a fleet is started when one of its processes
// exits at once: its port may have been taken since it was chosen.
const startAttempts = 3

// newStage starts a fleet and waits until all groups work. adjust, unless nil,
// changes the settings of each daemon.
func newStage(ctx context.Context, bin string, seed uint64, adjust func(*fleet.Daemon)) (*stage, error) {
	layout := fleet.Workshop()
	layout.Rate, layout.Burst = rate, burst
	for n := 1; ; n++ {
		f, err := fleet.New(fleet.Config{Bin: bin, Layout: layout, Adjust: adjust})
		if err != nil {
			return nil, &Error{Op: "prepare the fleet", Kind: KindFleet, Text: err.Error()}
		}
		s := &stage{f: f, seed: seed}
		if err = s.start(ctx); err == nil {
			return s, nil
		}
		again := n < startAttempts && s.exited()
		_ = f.Stop()
		if !again {
			return nil, &Error{Op: "start the fleet", Kind: KindFleet, Text: err.Error()}
		}
	}
}

// exited reports whether a process of the fleet has ended by itself.
func (s *stage) exited() bool {
	for _, t := range s.f.Targets {
		if t.Proc() != nil && t.Proc().Exited() {
			return true
		}
	}
	for _, d := range s.f.Daemons {
		if d.Proc() != nil && d.Proc().Exited() {
			return true
		}
	}
	return false
}

func (s *stage) start(ctx context.Context) error {
	f := s.f
	f.Catalogue.Routes[agedRoute] = catal.Route{Owner: "operators", Group: "taller-2", MaxAgeMS: agedMS}
	raw, err := os.ReadFile(f.Daemons[0].Settings.Targets.PasswordFile)
	if err != nil {
		return err
	}
	s.password = strings.TrimSpace(string(raw))
	if err := f.Start(ctx); err != nil {
		return err
	}
	if s.exited() {
		return errors.New("a process ended at its start")
	}
	if err := f.Publish(ctx); err != nil {
		return err
	}
	cfg, err := f.ConnConfig(f.Daemons[0], "", "", "")
	if err != nil {
		return err
	}
	s.tls = cfg.TLSConfig
	for _, g := range []ident.Group{"taller-1", "taller-2", "taller-3"} {
		if err := s.settle(ctx, g); err != nil {
			return err
		}
		if err := load.Prepare(ctx, s.access(g)); err != nil {
			return err
		}
	}
	return s.reachable(ctx)
}

// reachable waits until each daemon serves callers.
func (s *stage) reachable(ctx context.Context) error {
	for _, d := range s.f.Daemons {
		err := until(ctx, settleTimeout, func(ctx context.Context) error {
			conn, err := s.f.Connect(ctx, d, "taller-ws-a", "taller-1")
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

// until repeats f until it succeeds or the time is over.
func until(ctx context.Context, limit time.Duration, f func(context.Context) error) error {
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	for {
		err := attempt(ctx, f)
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

// attempt bounds one try, so that a silent connection is given up.
func attempt(ctx context.Context, f func(context.Context) error) error {
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	return f(ctx)
}

func (s *stage) targets(g ident.Group) []*fleet.Target {
	var out []*fleet.Target
	for _, t := range s.f.Targets {
		if t.Group == g {
			out = append(out, t)
		}
	}
	return out
}

// access reaches a group's targets past the daemons, without a slot.
func (s *stage) access(g ident.Group) load.Access {
	a := load.Access{User: target.AdminUser, Password: s.password}
	for _, t := range s.targets(g) {
		a.Addresses = append(a.Addresses, t.Address)
	}
	return a
}

// state is the part of a target's status that the cases look at.
type state struct {
	role      string
	term      int64
	matchTerm int64
	log       [2]int64
}

// on runs f on an administrator's connection to a target.
func (s *stage) on(ctx context.Context, t *fleet.Target, f func(context.Context, *pgx.Conn) error) error {
	return attempt(ctx, func(ctx context.Context) error {
		conn, err := t.Admin(ctx)
		if err != nil {
			return err
		}
		defer func() { _ = conn.Close(ctx) }()
		return f(ctx, conn)
	})
}

func (s *stage) status(ctx context.Context, t *fleet.Target) (st state, err error) {
	err = s.on(ctx, t, func(ctx context.Context, conn *pgx.Conn) error {
		return conn.QueryRow(ctx, "SELECT role, term, match_term, log_term, log_index FROM chervil_status()").
			Scan(&st.role, &st.term, &st.matchTerm, &st.log[0], &st.log[1])
	})
	return st, err
}

// settle waits until a group has a primary and all others have its log.
func (s *stage) settle(ctx context.Context, g ident.Group) error {
	err := until(ctx, settleTimeout, func(ctx context.Context) error {
		var primary *state
		var rest []state
		for _, t := range s.targets(g) {
			st, err := s.status(ctx, t)
			if err != nil {
				return err
			}
			if st.role == "primary" {
				primary = &st
			}
			rest = append(rest, st)
		}
		if primary == nil {
			return fmt.Errorf("no primary")
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

// term returns the highest promised term of a group.
func (s *stage) term(ctx context.Context, g ident.Group) (int64, error) {
	var most int64
	for _, t := range s.targets(g) {
		st, err := s.status(ctx, t)
		if err != nil {
			return 0, err
		}
		most = max(most, st.term)
	}
	return most, nil
}

func (s *stage) fault(ctx context.Context, t *fleet.Target, name, value string) error {
	return s.on(ctx, t, func(ctx context.Context, conn *pgx.Conn) error {
		_, err := conn.Exec(ctx, "SELECT standin_fault($1, $2)", name, value)
		return err
	})
}

// stats returns a target's counts of statements and reads.
func (s *stage) stats(ctx context.Context, t *fleet.Target) (statements, reads int64, err error) {
	err = s.on(ctx, t, func(ctx context.Context, conn *pgx.Conn) error {
		return conn.QueryRow(ctx, "SELECT statements, reads FROM standin_stats()").Scan(&statements, &reads)
	})
	return statements, reads, err
}

// load returns the settings of a run over all daemons, with equal weights.
func (m *meter) load(route string, total float64, d time.Duration, writes float64) load.Config {
	s := m.stage
	cfg := load.Config{
		Route: route, Seed: s.nextSeed(), Rate: total, Duration: d, WriteShare: writes, TLS: s.tls, SessionsPerWorkspace: 4,
		GracePeriod: m.grace(),
	}
	for _, daemon := range s.f.Daemons {
		cfg.Addresses = append(cfg.Addresses, daemon.Callers)
	}
	for _, ws := range s.f.Workspaces() {
		cfg.Workspaces = append(cfg.Workspaces, load.Workspace{Name: string(ws), Key: s.f.Keys[ws], Weight: 1})
	}
	return cfg
}
