package watch

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"time"

	"google.golang.org/grpc"

	"chervilspan.example/internal/proto/peerpb"
	"chervilspan.example/pkg/catal"
	"chervilspan.example/pkg/elect"
	"chervilspan.example/pkg/ident"
	"chervilspan.example/pkg/member"
	"chervilspan.example/pkg/store"
	"chervilspan.example/pkg/topo"
)

// fakeGroup is a group whose databases replicate without delay. diedAt holds the
// times at which databases stopped answering.
type fakeGroup struct {
	mu          sync.Mutex
	dbs         map[ident.Target]*topo.Status
	diedAt      map[ident.Target]time.Time
	hasAnswer   bool
	promotions  atomic.Int64
	statusReads atomic.Int64
	latency     time.Duration
}

func newFakeGroup(primary ident.Target) *fakeGroup {
	g := &fakeGroup{dbs: map[ident.Target]*topo.Status{}, diedAt: map[ident.Target]time.Time{}, latency: time.Millisecond}
	for _, id := range []ident.Target{"a", "b", "c"} {
		p := ident.Position{Term: 1, Index: 5}
		s := &topo.Status{Target: id, Term: 1, Role: topo.RoleReplica, Log: p, MatchTerm: 1, Primary: primary}
		if id == primary {
			s.Role, s.Quorum = topo.RolePrimary, p
		}
		g.dbs[id] = s
	}
	return g
}

func (g *fakeGroup) kill(id ident.Target) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.diedAt[id] = time.Now()
}

// update changes a database's status.
func (g *fakeGroup) update(id ident.Target, f func(s *topo.Status)) {
	g.mu.Lock()
	defer g.mu.Unlock()
	f(g.dbs[id])
}

type fakeConn struct {
	g  *fakeGroup
	id ident.Target
}

func (c fakeConn) Close()                  {}
func (c fakeConn) CloseIdle(time.Duration) {}

// call runs f after the latency; when the database is dead it blocks until the
// deadline.
func (c fakeConn) call(ctx context.Context, f func(s *topo.Status) error) error {
	time.Sleep(c.g.latency)
	c.g.mu.Lock()
	_, dead := c.g.diedAt[c.id]
	if dead {
		c.g.mu.Unlock()
		<-ctx.Done()
		return ctx.Err()
	}
	defer c.g.mu.Unlock()
	return f(c.g.dbs[c.id])
}

// visibleStatus returns s with the time since the primary died as ContactAge. The
// caller holds mu.
func (c fakeConn) visibleStatus(s *topo.Status) topo.Status {
	out := *s
	if died, ok := c.g.diedAt[s.Primary]; ok {
		out.ContactAge = time.Since(died)
	}
	return out
}

func (c fakeConn) Status(ctx context.Context) (out topo.Status, err error) {
	err = c.call(ctx, func(s *topo.Status) error {
		c.g.statusReads.Add(1)
		out = c.visibleStatus(s)
		return nil
	})
	return out, err
}

type refusedError struct{}

func (refusedError) Error() string { return "refused" }
func (refusedError) Refused() bool { return true }

func (c fakeConn) RaiseTerm(ctx context.Context, t ident.Term) (out topo.Status, err error) {
	err = c.call(ctx, func(s *topo.Status) error {
		if t <= s.Term {
			return refusedError{}
		}
		s.Term, s.Role = t, topo.RoleReplica
		out = c.visibleStatus(s)
		return nil
	})
	return out, err
}

func (c fakeConn) Promote(ctx context.Context, t ident.Term, _ []elect.Member) error {
	return c.call(ctx, func(s *topo.Status) error {
		if t != s.Term || s.Role == topo.RolePrimary {
			return refusedError{}
		}
		c.g.promotions.Add(1)
		s.Role, s.Primary = topo.RolePrimary, c.id
		s.Log = ident.Position{Term: t, Index: s.Log.Index + 1}
		s.Quorum = s.Log
		return nil
	})
}

func (c fakeConn) Follow(ctx context.Context, t ident.Term, primary ident.Target, _ string) error {
	return c.call(ctx, func(s *topo.Status) error {
		if t < s.Term {
			return refusedError{}
		}
		s.Term, s.Primary, s.MatchTerm, s.Role = t, primary, t, topo.RoleReplica
		s.Log = c.g.dbs[primary].Log
		return nil
	})
}

func (c fakeConn) Has(ctx context.Context, _ ident.Position) (has bool, err error) {
	err = c.call(ctx, func(*topo.Status) error {
		has = c.g.hasAnswer
		return nil
	})
	return has, err
}

// fakeFleet is a fixed list of VMs.
type fakeFleet []member.Info

func (f fakeFleet) Live() []member.Info { return f }

// fakePeers passes calls to Watchers in the same process; Client fails for VMs
// that are not in the map.
type fakePeers map[ident.VM]*Watcher

func (p fakePeers) Client(vm ident.VM) (peerpb.PeerClient, error) {
	if w := p[vm]; w != nil {
		return fakePeer{w: w}, nil
	}
	return nil, errors.New("no such VM")
}

type fakePeer struct {
	peerpb.PeerClient
	w *Watcher
}

func (p fakePeer) Suspect(ctx context.Context, r *peerpb.SuspectRequest, _ ...grpc.CallOption) (*peerpb.SuspectReply, error) {
	return p.w.ServeSuspect(ctx, r)
}

// fakeStore keeps its entries in a map; its calls block until their deadline
// while it is down.
type fakeStore struct {
	store.Store
	mu   sync.Mutex
	down bool
	data map[string]store.Entry
}

func (s *fakeStore) blockWhileDown(ctx context.Context) error {
	s.mu.Lock()
	down := s.down
	s.mu.Unlock()
	if down {
		<-ctx.Done()
		return &store.Error{Op: "get", Kind: store.KindUnavailable}
	}
	return nil
}

func (s *fakeStore) Get(ctx context.Context, key string) (store.Entry, error) {
	if err := s.blockWhileDown(ctx); err != nil {
		return store.Entry{}, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.data[key], nil
}

func (s *fakeStore) List(ctx context.Context, _ string) ([]store.Entry, error) {
	if err := s.blockWhileDown(ctx); err != nil {
		return nil, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	var out []store.Entry
	for _, e := range s.data {
		out = append(out, e)
	}
	return out, nil
}

func (s *fakeStore) Put(ctx context.Context, w store.Write) (store.Result, error) {
	if err := s.blockWhileDown(ctx); err != nil {
		return store.Result{}, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	e := s.data[w.Key]
	if e.Revision != w.Expected {
		return store.Result{Current: e}, nil
	}
	e = store.Entry{Key: w.Key, Value: w.Value, Revision: e.Revision + 1}
	s.data[w.Key] = e
	return store.Result{Done: true, Current: e}, nil
}

func newTable() *topo.Table {
	var t topo.Table
	t.Configure(&catal.Catalogue{Groups: map[ident.Group]catal.Group{"g": {Targets: map[ident.Target]catal.Target{
		"a": {Address: "127.0.0.1:1"}, "b": {Address: "127.0.0.1:2"}, "c": {Address: "127.0.0.1:3"},
	}}}})
	return &t
}

// newWatcher returns a Watcher with a table of its own that dials the databases
// of g.
func newWatcher(g *fakeGroup, self ident.VM, fleet Fleet, peers Peers, s store.Store) *Watcher {
	return New(Config{
		Self: self, Table: newTable(), Fleet: fleet, Peers: peers, Store: s, Seed: 7,
		Dial: func(_ ident.Group, id ident.Target, _ string) Conn { return fakeConn{g, id} },
	})
}
