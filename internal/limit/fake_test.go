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

	"chervilspan.example/internal/proto/peerpb"
	"chervilspan.example/pkg/catal"
	"chervilspan.example/pkg/ident"
	"chervilspan.example/pkg/member"
	"chervilspan.example/pkg/store"
)

var errDown = errors.New("no answer")

// world is a fleet in one process.
type world struct {
	// batches tells that the store does several writes in one.
	batches bool
	mu      sync.Mutex
	store   *memory
	cat     *catal.Catalogue
	changed chan struct{}
	vms     []*node
	sent    int // requests for tokens
	static  bool
	lease   time.Duration
}

type node struct {
	*Limiter
	w       *world
	info    member.Info
	store   *access
	dead    bool
	hidden  bool // others don't count it as live
	cancel  context.CancelFunc
	stopped chan struct{}
}

func (w *world) Catalogue() *catal.Catalogue {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.cat
}

func (w *world) Changed() <-chan struct{} {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.changed
}

func (w *world) edit(c *catal.Catalogue) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.cat = c
	close(w.changed)
	w.changed = make(chan struct{})
}

func (n *node) Self() member.Info { return n.info }

func (n *node) Live() []member.Info {
	n.w.mu.Lock()
	defer n.w.mu.Unlock()
	var out []member.Info
	for _, o := range n.w.vms {
		if !o.dead && (!o.hidden || o == n) {
			out = append(out, o.info)
		}
	}
	return out
}

func (n *node) Client(vm ident.VM) (peerpb.PeerClient, error) {
	n.w.mu.Lock()
	defer n.w.mu.Unlock()
	for _, o := range n.w.vms {
		if o.info.VM == vm && !o.dead {
			return &client{to: o, delay: n.delay(o)}, nil
		}
	}
	return nil, errDown
}

// delay is the one-way latency of section 1.
func (n *node) delay(o *node) time.Duration {
	if n.info.Region == o.info.Region {
		return time.Millisecond
	}
	return 30 * time.Millisecond
}

type client struct {
	peerpb.PeerClient
	to    *node
	delay time.Duration
}

func (c *client) Borrow(ctx context.Context, req *peerpb.BorrowRequest, _ ...grpc.CallOption) (*peerpb.BorrowReply, error) {
	time.Sleep(c.delay)
	c.to.w.mu.Lock()
	dead := c.to.dead
	c.to.w.sent++
	c.to.w.mu.Unlock()
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
	s := &stream{ctx: ctx, up: make(chan late[*peerpb.SlotDemand], 64), down: make(chan late[*peerpb.SlotLoan], 64), delay: c.delay}
	go func() {
		defer cancel()
		_ = c.to.limiter().Slots(serverSide{stream: s})
	}()
	return clientSide{stream: s}, nil
}

type stream struct {
	ctx   context.Context
	up    chan late[*peerpb.SlotDemand]
	down  chan late[*peerpb.SlotLoan]
	delay time.Duration
}

// late is a message that arrives at a time.
type late[M any] struct {
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

func pass[M any](s *stream, c chan late[M], m M) error {
	select {
	case c <- late[M]{m, time.Now().Add(s.delay)}:
		return nil
	case <-s.ctx.Done():
		return io.EOF
	}
}

func get[M any](s *stream, c chan late[M]) (m M, err error) {
	select {
	case l := <-c:
		time.Sleep(time.Until(l.at))
		return l.m, nil
	case <-s.ctx.Done():
		return m, io.EOF
	}
}

func (s clientSide) Send(m *peerpb.SlotDemand) error { return pass(s.stream, s.up, m) }

func (s clientSide) Recv() (*peerpb.SlotLoan, error) { return get(s.stream, s.down) }

func (s serverSide) Send(m *peerpb.SlotLoan) error { return pass(s.stream, s.down, m) }

func (s serverSide) Recv() (*peerpb.SlotDemand, error) { return get(s.stream, s.up) }

// newWorld starts a fleet of n VMs in three zones, as in section 1.
func newWorld(n int, cat *catal.Catalogue, options ...func(*world)) *world {
	w := &world{store: newMemory(), cat: cat, changed: make(chan struct{}), lease: DefaultLeaseTTL}
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
		w.vms = append(w.vms, &node{w: w, info: member.Info{VM: ident.VM(fmt.Sprintf("vm%d", i)), Zone: z.z, Region: z.r}})
	}
	// All are made before one runs and calls the others.
	for _, v := range w.vms {
		w.make(v)
	}
	for _, v := range w.vms {
		w.run(v)
	}
	return w
}

// start starts a VM that was killed.
func (w *world) start(v *node) {
	w.make(v)
	w.run(v)
}

func (w *world) make(v *node) {
	v.store = &access{memory: w.store}
	var s store.Store = v.store
	if w.batches {
		s = batcher{v.store}
	}
	l := New(Config{Catalogue: w, Fleet: v, Peers: v, Store: s, StaticSplit: w.static, LeaseTTL: w.lease})
	w.mu.Lock()
	defer w.mu.Unlock()
	v.dead, v.Limiter = false, l
}

// limiter returns the VM's present Limiter.
func (n *node) limiter() *Limiter {
	n.w.mu.Lock()
	defer n.w.mu.Unlock()
	return n.Limiter
}

func (w *world) run(v *node) {
	ctx, cancel := context.WithCancel(context.Background())
	v.cancel, v.stopped = cancel, make(chan struct{})
	go func(l *Limiter, stopped chan struct{}) {
		defer close(stopped)
		l.Run(ctx)
	}(v.Limiter, v.stopped)
}

// messages returns the number of requests for tokens so far.
func (w *world) messages() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.sent
}

// kill ends a VM without a word.
func (w *world) kill(v *node) {
	w.mu.Lock()
	v.dead = true
	w.mu.Unlock()
	v.cancel()
	<-v.stopped
}

func (w *world) stop() {
	for _, v := range w.vms {
		if !v.dead {
			w.kill(v)
		}
	}
	time.Sleep(time.Second) // messages on their way
}

func rates(limits map[ident.Workspace][2]int) *catal.Catalogue {
	c := &catal.Catalogue{Version: 1, Workspaces: map[ident.Workspace]catal.Workspace{}}
	for ws, l := range limits {
		c.Workspaces[ws] = catal.Workspace{Rate: float64(l[0]), Burst: uint32(l[1])}
	}
	return c
}

// holders counts, for each slice, the VMs that would mint from it now.
func (w *world) holders(t *testing.T) map[string]int {
	t.Helper()
	out := map[string]int{}
	for _, v := range w.vms {
		if v.dead || !time.Now().Before(v.deadline()) {
			continue
		}
		v.shares.mu.Lock()
		for _, h := range v.shares.holdings.Held() {
			out[strings.TrimPrefix(h.Slice.Key(), "slice/")]++
		}
		v.shares.mu.Unlock()
	}
	return out
}
