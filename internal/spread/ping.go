package spread

import (
	"context"
	"time"

	"chervilspan.example/internal/evlog"
	"chervilspan.example/internal/proto/peerpb"
	"chervilspan.example/pkg/ident"
	"chervilspan.example/pkg/member"
)

// pingCallTimeout bounds the call of a ping. An answer that arrives after the
// ping timeout of the membership protocol is still used.
const pingCallTimeout = 700 * time.Millisecond

// memberLoop runs the membership protocol.
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
		s.stateMu.Lock()
		a := s.node.Tick(time.Now())
		s.stateMu.Unlock()
		s.executeActions(a)
		s.logMemberChanges()
		s.stateMu.Lock()
		next := s.node.NextTick()
		s.stateMu.Unlock()
		timer.Reset(max(time.Millisecond, time.Until(next)))
	}
}

// executeActions starts the pings and indirect pings that a tick asks for.
func (s *Distributor) executeActions(a member.Actions) {
	for _, p := range a.Pings {
		s.background(func(ctx context.Context) { s.sendPing(ctx, p) })
	}
	for _, r := range a.PingReqs {
		s.background(func(ctx context.Context) { s.sendPingReq(ctx, r) })
	}
	if len(a.Pings) > 0 {
		s.wakeMemberLoop() // the next tick depends on the deadlines of the pings
	}
}

func (s *Distributor) sendPing(ctx context.Context, p member.Ping) {
	s.stateMu.Lock()
	d := s.buildDigest(p.Message, p.Full, time.Now())
	s.stateMu.Unlock()
	reply, sent, err := s.ping(ctx, p.To.Address, &peerpb.PingRequest{Digest: d, Full: p.Full})
	if err != nil {
		return
	}
	s.stateMu.Lock()
	a := s.node.HandleAck(p.Seq, fromDigest(reply), time.Now())
	s.stateMu.Unlock()
	s.handleAnswer(reply, p.To.Address, sent)
	s.executeActions(a)
}

// ping sends a ping to an address. It returns the digest of the answer and the
// time at which the ping was sent.
func (s *Distributor) ping(ctx context.Context, address string, r *peerpb.PingRequest) (*peerpb.Digest, time.Time, error) {
	ctx, cancel := context.WithTimeout(ctx, pingCallTimeout)
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

// requestAges pings a VM for its ages, independently of the pings of the
// membership protocol. A full request also announces this VM and requests the
// full member list.
func (s *Distributor) requestAges(ctx context.Context, address string, full bool) {
	s.stateMu.Lock()
	m := member.Message{From: s.cfg.Self.VM, TableHash: s.node.TableHash()}
	if full {
		m.Events = []member.Info{s.node.Self()}
	}
	d := s.buildDigest(m, false, time.Now())
	s.stateMu.Unlock()
	reply, sent, err := s.ping(ctx, address, &peerpb.PingRequest{Digest: d, Full: full})
	if err != nil {
		return
	}
	s.stateMu.Lock()
	s.node.HandleAnswer(fromDigest(reply), full, time.Now())
	s.stateMu.Unlock()
	s.handleAnswer(reply, address, sent)
}

// handleAnswer processes the digest in the answer to a request that was sent to
// address at the time sent.
func (s *Distributor) handleAnswer(d *peerpb.Digest, address string, sent time.Time) {
	now := time.Now()
	s.stateMu.Lock()
	s.lastPeerContact = now
	from, ok := s.node.Lookup(ident.VM(d.GetVm()))
	// An answer from a VM that is still starting does not count as contact with
	// its zone, because that VM does not know what its zone knows.
	if ok && d.GetServing() {
		s.fresh.HandlePeerAnswer(reportOf(d), from.Zone, sent, now)
	} else {
		s.fresh.HandlePeerRequest(reportOf(d), now)
	}
	if d.GetServing() {
		for _, seed := range s.cfg.Seeds {
			if seed == address && seed != s.cfg.Self.Address {
				s.startupCheck.RecordPeerAnswer(address, s.highestKnown(d))
			}
		}
	}
	serving := s.serving
	s.stateMu.Unlock()
	s.learnHints(d)
	s.handlePeerVersion(ident.VM(d.GetVm()), address, ident.Version(d.GetVersion()))
	if !serving {
		s.tryPublish()
	}
}

// highestKnown returns the highest version that the sender of d knows of.
func (*Distributor) highestKnown(d *peerpb.Digest) ident.Version {
	return ident.Version(max(d.GetVersion(), d.GetKnown()))
}

func (s *Distributor) sendPingReq(ctx context.Context, r member.PingReq) {
	ctx, cancel := context.WithTimeout(ctx, pingCallTimeout)
	defer cancel()
	client, err := s.cfg.Peers.Client(r.Via.Address)
	if err != nil {
		return
	}
	reply, err := client.PingReq(ctx, &peerpb.PingReqRequest{Vm: string(r.Target.VM), Address: r.Target.Address})
	if err != nil {
		return
	}
	s.stateMu.Lock()
	s.node.HandleIndirectResult(r.Seq, reply.GetReached())
	s.stateMu.Unlock()
}

// Ping implements peer.Membership.
func (s *Distributor) Ping(_ context.Context, r *peerpb.PingRequest) (*peerpb.PingReply, error) {
	d := r.GetDigest()
	now := time.Now()
	s.stateMu.Lock()
	m := s.node.HandlePing(fromDigest(d), r.GetFull(), now)
	s.fresh.HandlePeerRequest(reportOf(d), now)
	s.lastPeerContact = now
	reply := s.buildDigest(m, r.GetFull(), now)
	from, ok := s.node.Lookup(ident.VM(d.GetVm()))
	s.stateMu.Unlock()
	s.learnHints(d)
	if ok {
		s.handlePeerVersion(from.VM, from.Address, ident.Version(d.GetVersion()))
	}
	s.wakeMemberLoop()
	return &peerpb.PingReply{Digest: reply}, nil
}

// PingReq implements peer.Membership.
func (s *Distributor) PingReq(ctx context.Context, r *peerpb.PingReqRequest) (*peerpb.PingReqReply, error) {
	s.stateMu.Lock()
	d := s.buildDigest(member.Message{From: s.cfg.Self.VM, TableHash: s.node.TableHash()}, false, time.Now())
	s.stateMu.Unlock()
	reply, sent, err := s.ping(ctx, r.GetAddress(), &peerpb.PingRequest{Digest: d})
	if err != nil || reply.GetVm() != r.GetVm() {
		return &peerpb.PingReqReply{}, nil
	}
	s.handleAnswer(reply, r.GetAddress(), sent)
	return &peerpb.PingReqReply{Reached: true}, nil
}

var stateEvents = map[member.State]evlog.Event{
	member.StateAlive:   evlog.MemberAlive,
	member.StateSuspect: evlog.MemberSuspect,
	member.StateLeaving: evlog.MemberLeaving,
	member.StateDead:    evlog.MemberDead,
}

// logMemberChanges logs the changes of members' states since its last call.
func (s *Distributor) logMemberChanges() {
	s.stateMu.Lock()
	defer s.stateMu.Unlock()
	if s.node.ChangeCount() == s.loggedChangeCount {
		return
	}
	s.loggedChangeCount = s.node.ChangeCount()
	live := 0
	for _, i := range s.node.Members() {
		if i.State != member.StateDead {
			live++
		}
		old, known := s.loggedStates[i.VM]
		if i.VM == s.cfg.Self.VM || known && old == i.State || !known && i.State == member.StateDead {
			continue
		}
		s.loggedStates[i.VM] = i.State
		evlog.At(s.cfg.Log, stateEvents[i.State]).Str("vm", string(i.VM)).Str("zone", string(i.Zone)).Str("address", i.Address).Send()
	}
	if s.node.ConflictCount() > 0 {
		evlog.At(s.cfg.Log, evlog.MemberConflict).Str("vm", string(s.cfg.Self.VM)).Send()
	}
	s.cfg.Scope.Gauge("members_live").Update(float64(live))
}
