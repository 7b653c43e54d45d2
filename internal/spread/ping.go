package spread

import (
	"context"
	"time"

	"chervilspan.example/internal/evlog"
	"chervilspan.example/internal/proto/peerpb"
	"chervilspan.example/pkg/ident"
	"chervilspan.example/pkg/member"
)

// callTimeout bounds a ping; an answer after the ping timeout still counts.
const callTimeout = 700 * time.Millisecond

// memberLoop runs the membership.
func (s *Distributor) memberLoop(ctx context.Context) {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
		case <-s.wake:
		}
		s.state.Lock()
		a := s.node.Tick(time.Now())
		s.state.Unlock()
		s.act(a)
		s.noteMembers()
		s.state.Lock()
		next := s.node.NextTick()
		s.state.Unlock()
		timer.Reset(max(time.Millisecond, time.Until(next)))
	}
}

func (s *Distributor) act(a member.Actions) {
	for _, p := range a.Pings {
		s.background(func(ctx context.Context) { s.sendPing(ctx, p) })
	}
	for _, r := range a.PingReqs {
		s.background(func(ctx context.Context) { s.sendPingReq(ctx, r) })
	}
	if len(a.Pings) > 0 {
		s.poke() // the loop has to learn of the pings' deadlines
	}
}

func (s *Distributor) sendPing(ctx context.Context, p member.Ping) {
	s.state.Lock()
	d := s.digest(p.Message, p.Full, time.Now())
	s.state.Unlock()
	reply, sent, err := s.call(ctx, p.To.Address, &peerpb.PingRequest{Digest: d, Full: p.Full})
	if err != nil {
		return
	}
	s.state.Lock()
	a := s.node.HandleAck(p.Seq, fromDigest(reply), time.Now())
	s.state.Unlock()
	s.answer(reply, p.To.Address, sent)
	s.act(a)
}

// call pings an address.
func (s *Distributor) call(ctx context.Context, address string, r *peerpb.PingRequest) (*peerpb.Digest, time.Time, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	client, err := s.cfg.Peers.Client(address)
	if err != nil {
		return nil, time.Time{}, err
	}
	sent := time.Now()
	reply, err := client.Ping(ctx, r)
	if err != nil {
		return nil, time.Time{}, err
	}
	return reply.GetDigest(), sent, nil
}

// ask pings a VM for its ages, beside the membership's own pings.
func (s *Distributor) ask(ctx context.Context, address string, full bool) {
	s.state.Lock()
	m := member.Message{From: s.cfg.Self.VM, TableHash: s.node.TableHash()}
	if full {
		m.Events = []member.Info{s.node.Self()}
	}
	d := s.digest(m, false, time.Now())
	s.state.Unlock()
	reply, sent, err := s.call(ctx, address, &peerpb.PingRequest{Digest: d, Full: full})
	if err != nil {
		return
	}
	s.state.Lock()
	s.node.HandleAnswer(fromDigest(reply), full, time.Now())
	s.state.Unlock()
	s.answer(reply, address, sent)
}

// answer takes the digest of an answer to a request that was sent to address.
func (s *Distributor) answer(d *peerpb.Digest, address string, sent time.Time) {
	now := time.Now()
	s.state.Lock()
	s.lastPeer = now
	from, ok := s.node.Lookup(ident.VM(d.GetVm()))
	// A VM that is still starting doesn't know what its zone knows.
	if ok && d.GetServing() {
		s.fresh.HandlePeerAnswer(reportOf(d), from.Zone, sent, now)
	} else {
		s.fresh.HandlePeerRequest(reportOf(d), now)
	}
	if d.GetServing() {
		for _, seed := range s.cfg.Seeds {
			if seed == address && seed != s.cfg.Self.Address {
				s.boot.RecordPeerAnswer(address, s.known(d))
			}
		}
	}
	serving := s.serving
	s.state.Unlock()
	s.learnHints(d)
	s.noteVersion(ident.VM(d.GetVm()), address, ident.Version(d.GetVersion()))
	if !serving {
		s.tryStart()
	}
}

func (*Distributor) known(d *peerpb.Digest) ident.Version {
	return ident.Version(max(d.GetVersion(), d.GetKnown()))
}

func (s *Distributor) sendPingReq(ctx context.Context, r member.PingReq) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	client, err := s.cfg.Peers.Client(r.Via.Address)
	if err != nil {
		return
	}
	reply, err := client.PingReq(ctx, &peerpb.PingReqRequest{Vm: string(r.Target.VM), Address: r.Target.Address})
	if err != nil {
		return
	}
	s.state.Lock()
	s.node.HandleIndirectResult(r.Seq, reply.GetReached())
	s.state.Unlock()
}

// Ping implements peer.Membership.
func (s *Distributor) Ping(_ context.Context, r *peerpb.PingRequest) (*peerpb.PingReply, error) {
	d := r.GetDigest()
	now := time.Now()
	s.state.Lock()
	m := s.node.HandlePing(fromDigest(d), r.GetFull(), now)
	s.fresh.HandlePeerRequest(reportOf(d), now)
	s.lastPeer = now
	reply := s.digest(m, r.GetFull(), now)
	from, ok := s.node.Lookup(ident.VM(d.GetVm()))
	s.state.Unlock()
	s.learnHints(d)
	if ok {
		s.noteVersion(from.VM, from.Address, ident.Version(d.GetVersion()))
	}
	s.poke()
	return &peerpb.PingReply{Digest: reply}, nil
}

// PingReq implements peer.Membership.
func (s *Distributor) PingReq(ctx context.Context, r *peerpb.PingReqRequest) (*peerpb.PingReqReply, error) {
	s.state.Lock()
	d := s.digest(member.Message{From: s.cfg.Self.VM, TableHash: s.node.TableHash()}, false, time.Now())
	s.state.Unlock()
	reply, sent, err := s.call(ctx, r.GetAddress(), &peerpb.PingRequest{Digest: d})
	if err != nil || reply.GetVm() != r.GetVm() {
		return &peerpb.PingReqReply{}, nil
	}
	s.answer(reply, r.GetAddress(), sent)
	return &peerpb.PingReqReply{Reached: true}, nil
}

var stateEvents = map[member.State]evlog.Event{
	member.StateAlive:   evlog.MemberAlive,
	member.StateSuspect: evlog.MemberSuspect,
	member.StateLeaving: evlog.MemberLeaving,
	member.StateDead:    evlog.MemberDead,
}

// noteMembers logs changes of the membership.
func (s *Distributor) noteMembers() {
	s.state.Lock()
	defer s.state.Unlock()
	if s.node.ChangeCount() == s.changes {
		return
	}
	s.changes = s.node.ChangeCount()
	live := 0
	for _, i := range s.node.Members() {
		if i.State != member.StateDead {
			live++
		}
		old, known := s.seen[i.VM]
		if i.VM == s.cfg.Self.VM || known && old == i.State || !known && i.State == member.StateDead {
			continue
		}
		s.seen[i.VM] = i.State
		evlog.At(s.cfg.Log, stateEvents[i.State]).Str("vm", string(i.VM)).Str("zone", string(i.Zone)).Str("address", i.Address).Send()
	}
	if s.node.ConflictCount() > 0 {
		evlog.At(s.cfg.Log, evlog.MemberConflict).Str("vm", string(s.cfg.Self.VM)).Send()
	}
	s.cfg.Scope.Gauge("members_live").Update(float64(live))
}
