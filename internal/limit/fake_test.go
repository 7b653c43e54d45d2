package limit

import (
	"context"
	"errors"
	"fmt"
	"io"
	"strings"
	"sync"
	"testing"
	"time"

	"google.golang.org/grpc"

	"chervilspan.example/internal/linktest"
	"chervilspan.example/internal/proto/peerpb"
	"chervilspan.example/pkg/catal"
	"chervilspan.example/pkg/ident"
	"chervilspan.example/pkg/member"
	"chervilspan.example/pkg/quota"
	"chervilspan.example/pkg/store"
)

var errNoAnswer = errors.New("no answer")

// testFleet is a fleet in one process.
type testFleet struct {
	// batches makes the store accept several writes in one call.
	batches        bool
	mu             sync.Mutex
	store          *memory
	cat            *catal.Catalogue
	changed        chan struct{}
	vms            []*testVM
	borrowRequests int
	staticSplit    bool
	// restorable, unless nil, is the store that the VMs use instead of store, with
	// restorations. epochs is each VM's Config.Epochs with it.
	restorable *linktest.Store
	epochs     func(store.Store) Epochs
	leaseTTL   time.Duration
	// targets and excess are each VM's Config.Targets and Config.Excess.
	targets  func(*catal.Catalogue) map[ident.Target]quota.Limit
	excess   Excess
	lifetime time.Duration
}

type testVM struct {
	*Limiter
	fleet *testFleet
	info  member.Info
	store *storeAccess
	// restorable is used instead of store with testFleet.restorable.
	restorable *restorableAccess
	dead       bool
	hidden     bool // the other VMs do not see it as live
	cancel     context.CancelFunc
	stopped    chan struct{}
}

func (w *testFleet) Catalogue() *catal.Catalogue {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.cat
}

func (w *testFleet) Changed() <-chan struct{} {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.changed
}

func (w *testFleet) setCatalogue(c *catal.Catalogue) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.cat = c
	close(w.changed)
	w.changed = make(chan struct{})
}

func (n *testVM) Self() member.Info { return n.info }

func (n *testVM) Live() []member.Info {
	n.fleet.mu.Lock()
	defer n.fleet.mu.Unlock()
	var out []member.Info
	for _, o := range n.fleet.vms {
		if !o.dead && (!o.hidden || o == n) {
			out = append(out, o.info)
		}
	}
	return out
}

func (n *testVM) Client(vm ident.VM) (peerpb.PeerClient, error) {
	n.fleet.mu.Lock()
	defer n.fleet.mu.Unlock()
	for _, o := range n.fleet.vms {
		if o.info.VM == vm && !o.dead {
			return &client{to: o, delay: n.delay(o)}, nil
		}
	}
	return nil, errNoAnswer
}

// delay returns the one-way latency: 1 ms within a region, 30 ms between regions.
func (n *testVM) delay(o *testVM) time.Duration {
	if n.info.Region == o.info.Region {
		return time.Millisecond
	}
	return 30 * time.Millisecond
}

type client struct {
	peerpb.PeerClient
	to    *testVM
	delay time.Duration
}

func (c *client) Borrow(ctx context.Context, req *peerpb.BorrowRequest, _ ...grpc.CallOption) (*peerpb.BorrowReply, error) {
	time.Sleep(c.delay)
	c.to.fleet.mu.Lock()
	dead := c.to.dead
	c.to.fleet.borrowRequests++
	c.to.fleet.mu.Unlock()
	if dead {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	r, err := c.to.limiter().Borrow(ctx, req)
	time.Sleep(c.delay)
	return r, err
}

func (c *client) Slots(ctx context.Context, _ ...grpc.CallOption) (grpc.BidiStreamingClient[peerpb.SlotDemand, peerpb.SlotLoan], error) {
	ctx, cancel := context.WithCancel(ctx)
	s := &stream{ctx: ctx, up: make(chan delayed[*peerpb.SlotDemand], 64), down: make(chan delayed[*peerpb.SlotLoan], 64), delay: c.delay}
	go func() {
		defer cancel()
		_ = c.to.limiter().Slots(serverSide{stream: s})
	}()
	return clientSide{stream: s}, nil
}

type stream struct {
	ctx   context.Context
	up    chan delayed[*peerpb.SlotDemand]
	down  chan delayed[*peerpb.SlotLoan]
	delay time.Duration
}

// delayed is a message with its time of arrival.
type delayed[M any] struct {
	m  M
	at time.Time
}

type clientSide struct {
	grpc.ClientStream
	*stream
}

type serverSide struct {
	grpc.ServerStream
	*stream
}

func (s clientSide) Context() context.Context { return s.ctx }
func (s serverSide) Context() context.Context { return s.ctx }

func sendDelayed[M any](s *stream, c chan delayed[M], m M) error {
	select {
	case c <- delayed[M]{m, time.Now().Add(s.delay)}:
		return nil
	case <-s.ctx.Done():
		return io.EOF
	}
}

func receiveDelayed[M any](s *stream, c chan delayed[M]) (m M, err error) {
	select {
	case l := <-c:
		time.Sleep(time.Until(l.at))
		return l.m, nil
	case <-s.ctx.Done():
		return m, io.EOF
	}
}

func (s clientSide) Send(m *peerpb.SlotDemand) error { return sendDelayed(s.stream, s.up, m) }

func (s clientSide) Recv() (*peerpb.SlotLoan, error) { return receiveDelayed(s.stream, s.down) }

func (s serverSide) Send(m *peerpb.SlotLoan) error { return sendDelayed(s.stream, s.down, m) }

func (s serverSide) Recv() (*peerpb.SlotDemand, error) { return receiveDelayed(s.stream, s.up) }

// newTestFleet starts a fleet of n VMs in three zones, two of them in one region.
func newTestFleet(n int, cat *catal.Catalogue, options ...func(*testFleet)) *testFleet {
	w := &testFleet{store: newMemoryStore(), cat: cat, changed: make(chan struct{}), leaseTTL: DefaultLeaseTTL}
	for _, o := range options {
		o(w)
	}
	zones := []struct {
		z ident.Zone
		r ident.Region
	}{{"norte", "andina"}, {"sur", "andina"}, {"costa", "caribe"}}
	cat.Zones = map[ident.Zone]catal.Zone{}
	for _, z := range zones {
		cat.Zones[z.z] = catal.Zone{Region: z.r}
	}
	for i := range n {
		z := zones[i%len(zones)]
		w.vms = append(w.vms, &testVM{fleet: w, info: member.Info{VM: ident.VM(fmt.Sprintf("vm%d", i)), Zone: z.z, Region: z.r}})
	}
	// All Limiters are created before one of them runs and calls others.
	for _, v := range w.vms {
		w.newLimiter(v)
	}
	for _, v := range w.vms {
		w.run(v)
	}
	return w
}

// start restarts a VM that was killed.
func (w *testFleet) start(v *testVM) {
	w.newLimiter(v)
	w.run(v)
}

func (w *testFleet) newLimiter(v *testVM) {
	v.store = &storeAccess{memory: w.store}
	var s store.Store = v.store
	if w.batches {
		s = batchAccess{v.store}
	}
	var epochs Epochs
	if w.restorable != nil {
		v.restorable = &restorableAccess{Store: w.restorable}
		s, epochs = v.restorable, w.epochs(v.restorable)
	}
	l := New(Config{
		Catalogue: w, Fleet: v, Peers: v, Store: s, Epochs: epochs, StaticSplit: w.staticSplit, LeaseTTL: w.leaseTTL,
		Targets: w.targets, Excess: w.excess, Lifetime: w.lifetime, PermitLifetime: 100 * time.Millisecond,
	})
	w.mu.Lock()
	defer w.mu.Unlock()
	v.dead, v.Limiter = false, l
}

// limiter returns the VM's current Limiter.
func (n *testVM) limiter() *Limiter {
	n.fleet.mu.Lock()
	defer n.fleet.mu.Unlock()
	return n.Limiter
}

func (w *testFleet) run(v *testVM) {
	ctx, cancel := context.WithCancel(context.Background())
	v.cancel, v.stopped = cancel, make(chan struct{})
	go func(l *Limiter, stopped chan struct{}) {
		defer close(stopped)
		l.Run(ctx)
	}(v.Limiter, v.stopped)
}

// requestCount returns the number of requests for tokens so far.
func (w *testFleet) requestCount() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.borrowRequests
}

// kill stops a VM without releasing its slices.
func (w *testFleet) kill(v *testVM) {
	w.mu.Lock()
	v.dead = true
	w.mu.Unlock()
	v.cancel()
	<-v.stopped
}

func (w *testFleet) stop() {
	for _, v := range w.vms {
		if !v.dead {
			w.kill(v)
		}
	}
	time.Sleep(time.Second) // lets messages in transit arrive
}

func rates(limits map[ident.Workspace][2]int) *catal.Catalogue {
	c := &catal.Catalogue{Version: 1, Workspaces: map[ident.Workspace]catal.Workspace{}}
	for ws, l := range limits {
		c.Workspaces[ws] = catal.Workspace{Rate: float64(l[0]), Burst: uint32(l[1])}
	}
	return c
}

// holders returns, for each slice, the number of VMs that may mint from it now.
func (w *testFleet) holders(t *testing.T) map[string]int {
	t.Helper()
	out := map[string]int{}
	for _, v := range w.vms {
		if v.dead || !time.Now().Before(v.deadline()) {
			continue
		}
		v.slices.mu.Lock()
		for _, h := range v.slices.set.Held() {
			out[strings.TrimPrefix(h.Slice.Key(), "slice/")]++
		}
		v.slices.mu.Unlock()
	}
	return out
}
