package engine_test

import (
	"context"
	"errors"
	"io"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"chervilspan.example/internal/dbpool"
	"chervilspan.example/internal/engine"
	"chervilspan.example/internal/lead"
	"chervilspan.example/internal/linktest"
	"chervilspan.example/pkg/access"
	"chervilspan.example/pkg/catal"
	"chervilspan.example/pkg/dbop"
	"chervilspan.example/pkg/ident"
	"chervilspan.example/pkg/place"
	"chervilspan.example/pkg/roster"
)

// caller is a Caller that passes statements and answers through channels.
type caller struct {
	in chan dbop.Statement
	// rejected has errors that Receive returns.
	rejected    chan error
	out         chan dbop.Answer
	interrupted chan struct{}
	closed      chan struct{}
	once        sync.Once
}

func newCaller() *caller {
	return &caller{in: make(chan dbop.Statement), rejected: make(chan error), out: make(chan dbop.Answer, 1), interrupted: make(chan struct{}, 1), closed: make(chan struct{})}
}

func (c *caller) Receive(deadline time.Time) (dbop.Statement, error) {
	var timeout <-chan time.Time
	if !deadline.IsZero() {
		t := time.NewTimer(time.Until(deadline))
		defer t.Stop()
		timeout = t.C
	}
	select {
	case st, ok := <-c.in:
		if !ok {
			return st, io.EOF
		}
		return st, nil
	case err := <-c.rejected:
		return dbop.Statement{}, err
	case <-timeout:
		return dbop.Statement{}, engine.ErrNoMessage
	case <-c.interrupted:
		return dbop.Statement{}, engine.ErrNoMessage
	}
}

func (c *caller) Send(a *dbop.Answer) error { c.out <- *a; return nil }
func (c *caller) Pending() bool             { return false }
func (c *caller) ClearInterrupt()           {}
func (c *caller) Close() error              { c.once.Do(func() { close(c.closed) }); return nil }
func (c *caller) Interrupt() {
	select {
	case c.interrupted <- struct{}{}:
	default:
	}
}

// fixture is an engine in front of a cluster of three databases: a in zone z1 of region 1,
// b and c in zone z2 of region 2. The group h has the databases d and e in zone z1.
type fixture struct {
	c *linktest.Cluster
	h *linktest.Cluster
	e *engine.Engine
	// lender reports delays and lends nothing.
	lender *pressedLender
	mu     sync.Mutex
	index  *access.KeyIndex
	// newer, unless nil, is the index that a wait for a newer catalogue brings.
	newer *access.KeyIndex
	// overRate makes the limiter refuse all operations.
	overRate bool
	admitted int
	// status has the zones that are evacuated.
	status map[ident.Zone]place.Status
}

// Dial implements dbpool.Dialer.
func (f *fixture) Dial(deadline time.Time, m *roster.Member, ws ident.Workspace) (dbpool.Link, dbop.Answer, error) {
	if m.Group == f.h.Group {
		return f.h.Dial(deadline, m, ws)
	}
	return f.c.Dial(deadline, m, ws)
}

func (f *fixture) zoneStatus(z ident.Zone) place.Status {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.status[z]
}

// evacuate sets the status of a zone.
func (f *fixture) evacuate(z ident.Zone, s place.Status) {
	f.set(func(f *fixture) { f.status[z] = s })
}

func (f *fixture) Index() *access.KeyIndex {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.index
}

// awaitCatalogue puts the newer index in force, if there is one.
func (f *fixture) awaitCatalogue() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.newer == nil {
		return false
	}
	f.index, f.newer = f.newer, nil
	return true
}

var errOverRate = errors.New("rate")

func (f *fixture) Admit(context.Context, ident.Workspace) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.overRate {
		return errOverRate
	}
	f.admitted++
	return nil
}

func (f *fixture) set(change func(*fixture)) {
	f.mu.Lock()
	defer f.mu.Unlock()
	change(f)
}

// catalogue returns a catalogue with a route of each kind and a workspace with a
// key.
func catalogue(version ident.Version, key string) *catal.Catalogue {
	k, err := catal.HashKey(key)
	if err != nil {
		panic(err)
	}
	return &catal.Catalogue{
		Version: version, Groups: map[ident.Group]catal.Group{"g": {}, "h": {}},
		Classes:    map[ident.Class]catal.Class{"c": {DeadlineMS: 1000}},
		Workspaces: map[ident.Workspace]catal.Workspace{"w": {Keys: map[string]catal.Key{"k": k}}},
		Routes: map[ident.Route]catal.Route{
			"primary": {Group: "g", Class: "c", Reads: catal.ConsistencyPrimary},
			"bounded": {Group: "g", Class: "c", Reads: catal.ConsistencyBounded, MaxAgeMS: 1500},
			"session": {Group: "g", Class: "c", Reads: catal.ConsistencySession, MaxAgeMS: 1500},
			"open":    {Group: "g", Class: "c", Reads: catal.ConsistencyPrimary, Open: true},
		},
		Sessions: catal.Sessions{IdleTransactionMS: 3000},
	}
}

// session is an open session.
type session struct {
	t *testing.T
	*caller
	n int
}

func (f *fixture) open(t *testing.T, route ident.Route) *session {
	t.Helper()
	return f.openWithKey(t, route, "key")
}

func (f *fixture) openWithKey(t *testing.T, route ident.Route, key string) *session {
	t.Helper()
	c := newCaller()
	s, refusal := f.e.Open(engine.Login{Route: route, Key: key}, c)
	if refusal != nil {
		t.Fatalf("login: %+v", refusal)
	}
	go s.Serve()
	return &session{t: t, caller: c}
}

func (s *session) run(k dbop.Kind, edit ...func(*dbop.Statement)) dbop.Answer {
	s.t.Helper()
	s.n++
	st := dbop.Statement{ID: "id", Kind: k, Text: "text"}
	for _, e := range edit {
		e(&st)
	}
	s.in <- st
	return <-s.out
}

// reject makes the session's codec reject a message.
func (s *session) reject(k engine.Kind) dbop.Answer {
	s.t.Helper()
	s.rejected <- &engine.Error{Op: "receive", Kind: k}
	return <-s.out
}

func (s *session) end() {
	close(s.in)
	<-s.closed
}

// run calls f in a synctest bubble, 2 s after the engine's start.
func run(t *testing.T, f func(*testing.T, *fixture)) {
	t.Helper()
	runWith(t, false, f)
}

// runUnfenced is like run, on a platform where a replaced primary goes on until it is
// demoted.
func runUnfenced(t *testing.T, f func(*testing.T, *fixture)) {
	t.Helper()
	runWith(t, true, f)
}

func runWith(t *testing.T, unfenced bool, f func(*testing.T, *fixture)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		fx := &fixture{c: linktest.New("g", "a", "b", "c"), index: access.NewKeyIndex(catalogue(1, "key")), status: map[ident.Zone]place.Status{}}
		for id, z := range map[ident.Target]ident.Zone{"a": "z1", "b": "z2", "c": "z2"} {
			fx.c.Update(id, func(d *linktest.DB) { d.Zone = z })
		}
		time.Sleep(time.Millisecond) // reports are ordered by time
		fx.c.UpdateRoster()
		fx.addOtherGroup()
		pools := &dbpool.Pools{Dialer: fx, Roster: fx.c.Roster(), ConnLimit: func(*roster.Member) int { return 4 }}
		monitor := lead.New(lead.Config{Roster: fx.c.Roster(), Pools: pools, Store: downStore(), Promoter: &linktest.Promoter{Cluster: fx.c}, Unfenced: unfenced})
		fx.lender = &pressedLender{}
		pools.Lender = fx.lender
		fx.c.SetFormerGoesOn(unfenced)
		ctx, cancel := context.WithCancel(t.Context())
		monitor.Watch([]ident.Group{"g", "h"})
		var wg sync.WaitGroup
		wg.Go(func() { monitor.Run(ctx) })
		fx.e = engine.New(engine.Config{
			ZoneStatus: fx.zoneStatus,
			Access:     fx, AwaitCatalogue: fx.awaitCatalogue, Limiter: fx, Primaries: monitor, Pools: pools, Roster: fx.c.Roster(),
			Place: engine.Place{Zone: "z", RegionOf: func(z ident.Zone) ident.Region { return ident.Region(strings.TrimPrefix(string(z), "z")) }},
		})
		time.Sleep(2 * time.Second)
		f(t, fx)
		cancel()
		wg.Wait()
		time.Sleep(2 * time.Second) // rollbacks in the background
	})
}

// addOtherGroup adds the group h and lists its databases.
func (f *fixture) addOtherGroup() {
	f.h = linktest.New("h", "d", "e")
	var entries []roster.Entry
	for _, id := range []ident.Target{"d", "e"} {
		entries = append(entries, roster.Entry{ID: id, Group: "h", Address: string(id), Zone: "z1", Slots: 4, Primary: id == "d", ProcessStart: 1, Sequence: 1})
	}
	f.c.Roster().Merge(entries, time.Now())
}

// downStore returns an unavailable store, which prevents failovers.
func downStore() *linktest.Store {
	s := &linktest.Store{}
	s.SetDown(true)
	return s
}
