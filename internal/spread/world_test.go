package spread

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/rs/zerolog"
	"google.golang.org/grpc"

	"chervilspan.example/internal/proto/peerpb"
	"chervilspan.example/pkg/catal"
	"chervilspan.example/pkg/ident"
	"chervilspan.example/pkg/member"
	"chervilspan.example/pkg/store"
)

var errLost = errors.New("no answer")

// world is a fleet in one process, with a store in memory and links that can
// be cut.
type world struct {
	t   *testing.T
	mu  sync.Mutex
	vms map[string]*vm
	all []*vm
	// cut tells whether two zones can't reach each other; the store is "store".
	cut func(a, b ident.Zone) bool
	// replay, when set, replaces answers of GetCatalogue.
	replay func(*peerpb.GetCatalogueReply) *peerpb.GetCatalogueReply

	entries map[string]store.Entry
	old     map[string]store.Entry // the value before the last write
	rev     store.Revision
	watches map[int]chan store.Entry
	calls   int
	lose    int  // that many writes take effect without an answer
	drop    int  // that many writes get lost on their way
	stale   bool // reads return the value before the last write
	logs    logBuffer
}

// logBuffer takes the log lines of all VMs.
type logBuffer struct {
	mu sync.Mutex
	b  bytes.Buffer
}

func (l *logBuffer) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.b.Write(p)
}

func (l *logBuffer) String() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.b.String()
}

type vm struct {
	*Distributor
	cancel context.CancelFunc
	done   chan struct{}
}

func newWorld(t *testing.T) *world {
	return &world{
		t: t, vms: map[string]*vm{}, cut: func(ident.Zone, ident.Zone) bool { return false },
		entries: map[string]store.Entry{}, old: map[string]store.Entry{}, watches: map[int]chan store.Entry{},
	}
}

func (w *world) isCut(a, b ident.Zone) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.cut(a, b)
}

func (w *world) setCut(f func(a, b ident.Zone) bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.cut = f
}

// apart cuts the given places from all others, but not from each other.
func apart(names ...ident.Zone) func(a, b ident.Zone) bool {
	return func(a, b ident.Zone) bool {
		in := func(z ident.Zone) bool {
			for _, n := range names {
				if n == z {
					return true
				}
			}
			return false
		}
		return in(a) != in(b)
	}
}

var places = []struct{ zone, region string }{{"norte", "andina"}, {"sur", "andina"}, {"costa", "caribe"}}

// start runs the i-th of n VMs; they are spread over three zones.
func (w *world) start(i, n int) *vm {
	place := places[i%3]
	seeds := make([]string, n)
	for k := range n {
		seeds[k] = fmt.Sprintf("10.0.0.%d:1", k)
	}
	zone := ident.Zone(place.zone)
	s := New(Config{
		Self: member.Info{
			VM: ident.VM(fmt.Sprintf("vm-%d", i)), Zone: zone, Region: ident.Region(place.region),
			Address: seeds[i], Number: uint32(i + 1),
		},
		Seeds: seeds, Store: &zoneStore{w, zone}, Peers: &dialer{w, zone}, Log: zerolog.New(&w.logs), Seed: uint64(i + 1),
	})
	ctx, cancel := context.WithCancel(w.t.Context())
	v := &vm{Distributor: s, cancel: cancel, done: make(chan struct{})}
	w.mu.Lock()
	w.vms[seeds[i]] = v
	w.all = append(w.all, v)
	w.mu.Unlock()
	go func() {
		s.Run(ctx)
		close(v.done)
	}()
	return v
}

func (w *world) stop(v *vm) {
	w.mu.Lock()
	for a, x := range w.vms {
		if x == v {
			delete(w.vms, a)
		}
	}
	w.mu.Unlock()
	v.cancel()
	<-v.done
}

// fleet starts n VMs with a first version of the catalogue and a key.
func fleet(t *testing.T, n int) (*world, string) {
	w := newWorld(t)
	for i := range n {
		w.start(i, n)
	}
	time.Sleep(5 * time.Second)
	doc, key := document(t)
	out, err := w.all[0].Edit(t.Context(), Edit{Document: doc, Operator: "ana"})
	is.New(t).NoErr(err)
	is.New(t).True(out.Accepted)
	time.Sleep(5 * time.Second)
	for _, v := range w.all {
		is.New(t).Equal(v.Status().Version, ident.Version(1))
	}
	return w, key
}

func (w *world) end() {
	for _, v := range w.all {
		w.stop(v)
	}
}

func document(t *testing.T) (doc []byte, key string) {
	key, k, err := catal.NewKey("k1")
	is.New(t).NoErr(err)
	c := &catal.Catalogue{
		Zones: map[ident.Zone]catal.Zone{},
		Groups: map[ident.Group]catal.Group{"g": {Owner: "ops", Targets: map[ident.Target]catal.Target{
			"a": {Address: "127.0.0.1:9", Zone: "norte", Slots: 1, Connections: 1},
		}}},
		Workspaces: map[ident.Workspace]catal.Workspace{"w": {Owner: "ana", Rate: 1, Burst: 1, Keys: map[string]catal.Key{"k1": k}}},
		Routes:     map[ident.Route]catal.Route{"keyed": {Owner: "ana", Group: "g"}, "open": {Owner: "ana", Group: "g", Open: true}},
	}
	for _, p := range places {
		c.Zones[ident.Zone(p.zone)] = catal.Zone{Region: ident.Region(p.region)}
	}
	doc, err = catal.Encode(c)
	is.New(t).NoErr(err)
	return doc, key
}

// edit changes the catalogue in force on v and has v store it.
func (w *world) edit(v *vm, change func(*catal.Catalogue)) (Outcome, error) {
	return v.Edit(w.t.Context(), Edit{BaseVersion: v.Catalogue().Version, Document: changed(w.t, v.Catalogue(), change), Operator: "ana"})
}

func changed(t *testing.T, c *catal.Catalogue, change func(*catal.Catalogue)) []byte {
	raw, err := catal.Encode(c)
	is.New(t).NoErr(err)
	next, err := catal.Read(raw)
	is.New(t).NoErr(err)
	change(next)
	raw, err = catal.Encode(next)
	is.New(t).NoErr(err)
	return raw
}

func withdraw(c *catal.Catalogue) {
	k := c.Workspaces["w"].Keys["k1"]
	k.Withdrawn = true
	c.Workspaces["w"].Keys["k1"] = k
}

func rate(n float64) func(*catal.Catalogue) {
	return func(c *catal.Catalogue) {
		ws := c.Workspaces["w"]
		ws.Rate = n
		c.Workspaces["w"] = ws
	}
}

// until waits for a condition and returns the time it took, or -1.
func until(limit time.Duration, done func() bool) time.Duration {
	begin := time.Now()
	for time.Since(begin) < limit {
		if done() {
			return time.Since(begin)
		}
		time.Sleep(10 * time.Millisecond)
	}
	return -1
}

func (w *world) allAt(v ident.Version) func() bool {
	return func() bool {
		for _, x := range w.all {
			if x.Status().Version != v {
				return false
			}
		}
		return true
	}
}

// dialer gives clients that call the VMs' handlers.
type dialer struct {
	w    *world
	zone ident.Zone
}

// Client implements Clients.
func (d *dialer) Client(address string) (peerpb.PeerClient, error) {
	return &link{d: d, address: address}, nil
}

type link struct {
	peerpb.PeerClient
	d       *dialer
	address string
}

// cross waits for the way between two places; when it is cut, until ctx ends.
func (w *world) cross(ctx context.Context, a, b ident.Zone) error {
	if w.isCut(a, b) {
		<-ctx.Done()
		return errLost
	}
	latency := time.Millisecond
	if (a == "costa") != (b == "costa") {
		latency = 30 * time.Millisecond
	}
	time.Sleep(latency)
	return ctx.Err()
}

func through[Q, A any](ctx context.Context, l *link, q Q, f func(*vm) func(context.Context, Q) (A, error)) (A, error) {
	var none A
	l.d.w.mu.Lock()
	v := l.d.w.vms[l.address]
	l.d.w.mu.Unlock()
	if v == nil {
		return none, errLost
	}
	zone := v.cfg.Self.Zone
	if err := l.d.w.cross(ctx, l.d.zone, zone); err != nil {
		return none, err
	}
	a, err := f(v)(ctx, q)
	if err := l.d.w.cross(ctx, zone, l.d.zone); err != nil {
		return none, err
	}
	return a, err
}

func (l *link) Ping(ctx context.Context, r *peerpb.PingRequest, _ ...grpc.CallOption) (*peerpb.PingReply, error) {
	return through(ctx, l, r, func(v *vm) func(context.Context, *peerpb.PingRequest) (*peerpb.PingReply, error) { return v.Ping })
}

func (l *link) PingReq(ctx context.Context, r *peerpb.PingReqRequest, _ ...grpc.CallOption) (*peerpb.PingReqReply, error) {
	return through(ctx, l, r, func(v *vm) func(context.Context, *peerpb.PingReqRequest) (*peerpb.PingReqReply, error) {
		return v.PingReq
	})
}

func (l *link) GetCatalogue(ctx context.Context, r *peerpb.GetCatalogueRequest, _ ...grpc.CallOption) (*peerpb.GetCatalogueReply, error) {
	reply, err := through(ctx, l, r, func(v *vm) func(context.Context, *peerpb.GetCatalogueRequest) (*peerpb.GetCatalogueReply, error) {
		return v.GetCatalogue
	})
	l.d.w.mu.Lock()
	replay := l.d.w.replay
	l.d.w.mu.Unlock()
	if err == nil && replay != nil {
		reply = replay(reply)
	}
	return reply, err
}

func (l *link) PushCatalogue(ctx context.Context, r *peerpb.PushCatalogueRequest, _ ...grpc.CallOption) (*peerpb.PushCatalogueReply, error) {
	return through(ctx, l, r, func(v *vm) func(context.Context, *peerpb.PushCatalogueRequest) (*peerpb.PushCatalogueReply, error) {
		return v.PushCatalogue
	})
}
