package strsrv

import (
	"context"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"chervilspan.example/internal/proto/storepb"
)

// Faults are the faults in force.
type Faults struct {
	// Outage makes every call fail and breaks the watches.
	Outage bool `json:"outage"`
	// DelayMS is a delay added to each call, in milliseconds.
	DelayMS int `json:"delay_ms"`
	// AnswerLossRate is the fraction of writes, 0 to 1, whose answer is lost
	// after the write took effect.
	AnswerLossRate float64 `json:"lose_answers"`
	// StaleReads makes Get return the entry that the last write replaced.
	StaleReads bool `json:"stale_reads"`
}

// Server implements the store service.
type Server struct {
	storepb.UnimplementedStoreServer
	state  state
	faults atomic.Pointer[Faults]
	// outageBegan is closed and replaced when an outage begins.
	outageBegan atomic.Pointer[chan struct{}]
	vms         atomic.Pointer[[]*storepb.VM]
	calls       atomic.Int64
	writes      atomic.Int64
	reads       atomic.Int64
}

// New returns an empty store without faults.
func New() *Server {
	s := &Server{}
	s.state.init()
	s.faults.Store(&Faults{})
	ch := make(chan struct{})
	s.outageBegan.Store(&ch)
	s.vms.Store(&[]*storepb.VM{})
	return s
}

// SetFaults replaces the faults in force. The start of an outage ends all
// watches with an error.
func (s *Server) SetFaults(f Faults) {
	s.faults.Store(&f)
	if f.Outage {
		ch := make(chan struct{})
		close(*s.outageBegan.Swap(&ch))
	}
}

// SetVMs replaces the platform's list of VMs.
func (s *Server) SetVMs(vms []*storepb.VM) { s.vms.Store(&vms) }

// CallCounts holds the numbers of calls so far.
type CallCounts struct {
	Total   int64 `json:"total"`
	Reads   int64 `json:"reads"`
	Writes  int64 `json:"writes"`
	Watches int   `json:"watches"`
}

// CallCounts returns the numbers of calls so far; Watches is the number of
// watches open now.
func (s *Server) CallCounts() CallCounts {
	s.state.mu.Lock()
	n := len(s.state.watchers)
	s.state.mu.Unlock()
	return CallCounts{Total: s.calls.Load(), Reads: s.reads.Load(), Writes: s.writes.Load(), Watches: n}
}

var errOutage = status.Error(codes.Unavailable, "the store is down")

// applyFaults counts a call and applies the faults that act before it takes
// effect; kind is the counter of reads or of writes.
func (s *Server) applyFaults(ctx context.Context, kind *atomic.Int64) error {
	s.calls.Add(1)
	kind.Add(1)
	f := s.faults.Load()
	if f.DelayMS > 0 {
		select {
		case <-time.After(time.Duration(f.DelayMS) * time.Millisecond):
		case <-ctx.Done():
			return status.FromContextError(ctx.Err()).Err()
		}
	}
	if s.faults.Load().Outage {
		return errOutage
	}
	return nil
}

// loseAnswer returns an error at random in the place of the answer to a write
// that took effect, as often as Faults.AnswerLossRate says.
func (s *Server) loseAnswer() error {
	if p := s.faults.Load().AnswerLossRate; p > 0 && rand.Float64() < p {
		return status.Error(codes.Unavailable, "the answer was lost")
	}
	return nil
}

// lockAndExpire locks the state, removes what has expired and returns the
// function that unlocks it.
func (s *Server) lockAndExpire() func() {
	s.state.mu.Lock()
	s.state.expire(time.Now())
	return s.state.mu.Unlock
}

// Get returns the entry of a key.
func (s *Server) Get(ctx context.Context, req *storepb.GetRequest) (*storepb.GetReply, error) {
	if err := s.applyFaults(ctx, &s.reads); err != nil {
		return nil, err
	}
	defer s.lockAndExpire()()
	e := s.state.entries[req.Key]
	if old := s.state.previous[req.Key]; old != nil && s.faults.Load().StaleReads {
		e = old
	}
	return &storepb.GetReply{Entry: e}, nil
}

// List returns the entries below a prefix.
func (s *Server) List(ctx context.Context, req *storepb.ListRequest) (*storepb.ListReply, error) {
	if err := s.applyFaults(ctx, &s.reads); err != nil {
		return nil, err
	}
	defer s.lockAndExpire()()
	return &storepb.ListReply{Entries: s.state.list(req.Prefix), Revision: s.state.revision}, nil
}

// Put writes a key by compare-and-swap.
func (s *Server) Put(ctx context.Context, req *storepb.PutRequest) (*storepb.PutReply, error) {
	if err := s.applyFaults(ctx, &s.writes); err != nil {
		return nil, err
	}
	if len(req.Value) > MaxValueBytes {
		return nil, status.Error(codes.InvalidArgument, "value is above one megabyte")
	}
	defer s.lockAndExpire()()
	if req.LeaseId != 0 && s.state.leases[req.LeaseId] == nil {
		return nil, status.Error(codes.FailedPrecondition, "the lease has ended")
	}
	cur := s.state.entries[req.Key]
	if cur.GetRevision() != req.Expected {
		return &storepb.PutReply{Revision: cur.GetRevision(), Current: cur}, nil
	}
	e := s.state.put(req)
	return &storepb.PutReply{Done: true, Revision: e.Revision}, s.loseAnswer()
}

// Delete removes a key by compare-and-swap.
func (s *Server) Delete(ctx context.Context, req *storepb.DeleteRequest) (*storepb.DeleteReply, error) {
	if err := s.applyFaults(ctx, &s.writes); err != nil {
		return nil, err
	}
	defer s.lockAndExpire()()
	cur := s.state.entries[req.Key]
	if cur.GetRevision() != req.Expected {
		return &storepb.DeleteReply{Current: cur}, nil
	}
	s.state.remove(req.Key)
	return &storepb.DeleteReply{Done: true}, s.loseAnswer()
}

// Watch streams the events below a prefix after a revision.
func (s *Server) Watch(req *storepb.WatchRequest, stream grpc.ServerStreamingServer[storepb.WatchEvent]) error {
	if err := s.applyFaults(stream.Context(), &s.reads); err != nil {
		return err
	}
	broken := *s.outageBegan.Load()
	unlock := s.lockAndExpire()
	w, missed := s.state.watch(req.Prefix, req.FromRevision)
	unlock()
	defer func() {
		defer s.lockAndExpire()()
		delete(s.state.watchers, w)
	}()
	for _, ev := range missed {
		if err := stream.Send(ev); err != nil {
			return err
		}
	}
	for {
		select {
		case ev, ok := <-w.events:
			if !ok {
				return status.Error(codes.ResourceExhausted, "the watch did not keep up")
			}
			if err := stream.Send(ev); err != nil {
				return err
			}
		case <-broken:
			return errOutage
		case <-stream.Context().Done():
			return nil
		}
	}
}

// LeaseGrant creates a lease.
func (s *Server) LeaseGrant(ctx context.Context, req *storepb.LeaseGrantRequest) (*storepb.LeaseGrantReply, error) {
	if err := s.applyFaults(ctx, &s.writes); err != nil {
		return nil, err
	}
	defer s.lockAndExpire()()
	s.state.lastLeaseID++
	ttl := time.Duration(req.TtlMs) * time.Millisecond
	s.state.leases[s.state.lastLeaseID] = &lease{ttl: ttl, expires: time.Now().Add(ttl)}
	return &storepb.LeaseGrantReply{LeaseId: s.state.lastLeaseID, TtlMs: req.TtlMs}, s.loseAnswer()
}

// LeaseRenew extends a lease by its lifetime from now.
func (s *Server) LeaseRenew(ctx context.Context, req *storepb.LeaseRenewRequest) (*storepb.LeaseRenewReply, error) {
	if err := s.applyFaults(ctx, &s.writes); err != nil {
		return nil, err
	}
	defer s.lockAndExpire()()
	l := s.state.leases[req.LeaseId]
	if l == nil {
		return &storepb.LeaseRenewReply{}, nil
	}
	l.expires = time.Now().Add(l.ttl)
	return &storepb.LeaseRenewReply{Alive: true, TtlMs: l.ttl.Milliseconds()}, s.loseAnswer()
}

// LeaseRevoke ends a lease and removes its keys.
func (s *Server) LeaseRevoke(ctx context.Context, req *storepb.LeaseRevokeRequest) (*storepb.LeaseRevokeReply, error) {
	if err := s.applyFaults(ctx, &s.writes); err != nil {
		return nil, err
	}
	defer s.lockAndExpire()()
	s.state.revoke(req.LeaseId)
	return &storepb.LeaseRevokeReply{}, s.loseAnswer()
}

// ListVMs returns the list set by SetVMs.
func (s *Server) ListVMs(ctx context.Context, _ *storepb.ListVMsRequest) (*storepb.ListVMsReply, error) {
	if err := s.applyFaults(ctx, &s.reads); err != nil {
		return nil, err
	}
	return &storepb.ListVMsReply{Vms: *s.vms.Load()}, nil
}
