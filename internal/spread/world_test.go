package spread

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/rs/zerolog"
	"google.golang.org/grpc"

	"chervilspan.example/internal/linktest"
	"chervilspan.example/internal/proto/peerpb"
	"chervilspan.example/pkg/catal"
	"chervilspan.example/pkg/ident"
	"chervilspan.example/pkg/member"
	"chervilspan.example/pkg/store"
)

var errNoAnswer = errors.New("no answer")

// world is a fleet in one process, with a store in memory and a network that can
// be partitioned.
type world struct {
	t         *testing.T
	mu        sync.Mutex
	byAddress map[string]*vm
	vms       []*vm
	// partition reports whether two zones can't reach each other. The store counts
	// as the zone "store".
	partition func(a, b ident.Zone) bool
	// replayCatalogue, if set, replaces answers of GetCatalogue.
	replayCatalogue func(*peerpb.GetCatalogueReply) *peerpb.GetCatalogueReply

	entries     map[string]store.Entry
	previous    map[string]store.Entry // the value before the last write
	revision    store.Revision
	watches     map[int]chan store.Entry
	storeCalls  int
	loseAnswers int  // number of writes that take effect without an answer
	dropWrites  int  // number of writes that are lost before they take effect
	staleReads  bool // reads return the value before the last write
	logs        linktest.LogBuffer
}

type vm struct {
	*Distributor
	cancel context.CancelFunc
	done   chan struct{}
}

func newWorld(t *testing.T) *world {
	return &world{
		t: t, byAddress: map[string]*vm{}, partition: func(ident.Zone, ident.Zone) bool { return false },
		entries: map[string]store.Entry{}, previous: map[string]store.Entry{}, watches: map[int]chan store.Entry{},
	}
}

func (w *world) isPartitioned(a, b ident.Zone) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.partition(a, b)
}

func (w *world) setPartition(f func(a, b ident.Zone) bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.partition = f
}

// isolate returns a partition between the given zones and all others.
func isolate(names ...ident.Zone) func(a, b ident.Zone) bool {
	return func(a, b ident.Zone) bool {
		isolated := func(z ident.Zone) bool {
			for _, n := range names {
				if n == z {
					return true
				}
			}
			return false
		}
		return isolated(a) != isolated(b)
	}
}

var testZones = []struct{ zone, region string }{{"norte", "andina"}, {"sur", "andina"}, {"costa", "caribe"}}

// start runs the i-th of n VMs, which are distributed over three zones.
func (w *world) start(i, n int) *vm {
	location := testZones[i%3]
	seeds := make([]string, n)
	for k := range n {
		seeds[k] = fmt.Sprintf("10.0.0.%d:1", k)
	}
	zone := ident.Zone(location.zone)
	s := New(Config{
		Self: member.Info{
			VM: ident.VM(fmt.Sprintf("vm-%d", i)), Zone: zone, Region: ident.Region(location.region),
			Address: seeds[i], Number: uint32(i + 1),
		},
		Seeds: seeds, Store: &zoneStore{w, zone}, Peers: &linkClients{w, zone}, Log: zerolog.New(&w.logs), Seed: uint64(i + 1),
	})
	ctx, cancel := context.WithCancel(w.t.Context())
	v := &vm{Distributor: s, cancel: cancel, done: make(chan struct{})}
	w.mu.Lock()
	w.byAddress[seeds[i]] = v
	w.vms = append(w.vms, v)
	w.mu.Unlock()
	go func() {
		s.Run(ctx)
		close(v.done)
	}()
	return v
}

func (w *world) stop(v *vm) {
	w.mu.Lock()
	for a, x := range w.byAddress {
		if x == v {
			delete(w.byAddress, a)
		}
	}
	w.mu.Unlock()
	v.cancel()
	<-v.done
}

// startFleet starts n VMs with version 1 of the catalogue. It returns the key in
// that version.
func startFleet(t *testing.T, n int) (*world, string) {
	w := newWorld(t)
	for i := range n {
		w.start(i, n)
	}
	time.Sleep(5 * time.Second)
	doc, key := testDocument(t)
	out, err := w.vms[0].Edit(t.Context(), Edit{Document: doc, Operator: "ana"})
	is.New(t).NoErr(err)
	is.New(t).True(out.Accepted)
	time.Sleep(5 * time.Second)
	for _, v := range w.vms {
		is.New(t).Equal(v.Status().Version, ident.Version(1))
	}
	return w, key
}

func (w *world) stopAll() {
	for _, v := range w.vms {
		w.stop(v)
	}
}

func testDocument(t *testing.T) (doc []byte, key string) {
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
	for _, p := range testZones {
		c.Zones[ident.Zone(p.zone)] = catal.Zone{Region: ident.Region(p.region)}
	}
	doc, err = catal.Encode(c)
	is.New(t).NoErr(err)
	return doc, key
}

// edit submits to v an edit that applies change to the catalogue in force on v.
func (w *world) edit(v *vm, change func(*catal.Catalogue)) (Outcome, error) {
	return v.Edit(w.t.Context(), Edit{BaseVersion: v.Catalogue().Version, Document: modifiedDocument(w.t, v.Catalogue(), change), Operator: "ana"})
}

func modifiedDocument(t *testing.T, c *catal.Catalogue, change func(*catal.Catalogue)) []byte {
	raw, err := catal.Encode(c)
	is.New(t).NoErr(err)
	next, err := catal.Read(raw)
	is.New(t).NoErr(err)
	change(next)
	raw, err = catal.Encode(next)
	is.New(t).NoErr(err)
	return raw
}

func withdrawKey(c *catal.Catalogue) {
	k := c.Workspaces["w"].Keys["k1"]
	k.Withdrawn = true
	c.Workspaces["w"].Keys["k1"] = k
}

func setRate(n float64) func(*catal.Catalogue) {
	return func(c *catal.Catalogue) {
		ws := c.Workspaces["w"]
		ws.Rate = n
		c.Workspaces["w"] = ws
	}
}

// timeUntil waits until done returns true and returns the time that it took, or -1
// after limit.
func timeUntil(limit time.Duration, done func() bool) time.Duration {
	begin := time.Now()
	for time.Since(begin) < limit {
		if done() {
			return time.Since(begin)
		}
		time.Sleep(10 * time.Millisecond)
	}
	return -1
}

// allInForce returns a condition for timeUntil: version v is in force on all VMs.
func (w *world) allInForce(v ident.Version) func() bool {
	return func() bool {
		for _, x := range w.vms {
			if x.Status().Version != v {
				return false
			}
		}
		return true
	}
}

// linkClients provides clients that call the handlers of VMs from a zone.
type linkClients struct {
	w    *world
	zone ident.Zone
}

// Client implements Clients.
func (d *linkClients) Client(address string) (peerpb.PeerClient, error) {
	return &linkClient{d: d, address: address}, nil
}

type linkClient struct {
	peerpb.PeerClient
	d       *linkClients
	address string
}

// crossLink waits for the latency between two zones, or until ctx ends when they
// are partitioned.
func (w *world) crossLink(ctx context.Context, a, b ident.Zone) error {
	if w.isPartitioned(a, b) {
		<-ctx.Done()
		return errNoAnswer
	}
	latency := time.Millisecond
	if (a == "costa") != (b == "costa") {
		latency = 30 * time.Millisecond
	}
	time.Sleep(latency)
	return ctx.Err()
}

// callVM calls a handler of the VM at the client's address, with the latency of
// both ways.
func callVM[Q, A any](ctx context.Context, l *linkClient, q Q, f func(*vm) func(context.Context, Q) (A, error)) (A, error) {
	var none A
	l.d.w.mu.Lock()
	v := l.d.w.byAddress[l.address]
	l.d.w.mu.Unlock()
	if v == nil {
		return none, errNoAnswer
	}
	zone := v.cfg.Self.Zone
	if err := l.d.w.crossLink(ctx, l.d.zone, zone); err != nil {
		return none, err
	}
	a, err := f(v)(ctx, q)
	if err := l.d.w.crossLink(ctx, zone, l.d.zone); err != nil {
		return none, err
	}
	return a, err
}

func (l *linkClient) Ping(ctx context.Context, r *peerpb.PingRequest, _ ...grpc.CallOption) (*peerpb.PingReply, error) {
	return callVM(ctx, l, r, func(v *vm) func(context.Context, *peerpb.PingRequest) (*peerpb.PingReply, error) { return v.Ping })
}

func (l *linkClient) PingReq(ctx context.Context, r *peerpb.PingReqRequest, _ ...grpc.CallOption) (*peerpb.PingReqReply, error) {
	return callVM(ctx, l, r, func(v *vm) func(context.Context, *peerpb.PingReqRequest) (*peerpb.PingReqReply, error) {
		return v.PingReq
	})
}

func (l *linkClient) GetCatalogue(ctx context.Context, r *peerpb.GetCatalogueRequest, _ ...grpc.CallOption) (*peerpb.GetCatalogueReply, error) {
	reply, err := callVM(ctx, l, r, func(v *vm) func(context.Context, *peerpb.GetCatalogueRequest) (*peerpb.GetCatalogueReply, error) {
		return v.GetCatalogue
	})
	l.d.w.mu.Lock()
	replay := l.d.w.replayCatalogue
	l.d.w.mu.Unlock()
	if err == nil && replay != nil {
		reply = replay(reply)
	}
	return reply, err
}

func (l *linkClient) PushCatalogue(ctx context.Context, r *peerpb.PushCatalogueRequest, _ ...grpc.CallOption) (*peerpb.PushCatalogueReply, error) {
	return callVM(ctx, l, r, func(v *vm) func(context.Context, *peerpb.PushCatalogueRequest) (*peerpb.PushCatalogueReply, error) {
		return v.PushCatalogue
	})
}
