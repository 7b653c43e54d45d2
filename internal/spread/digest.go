package spread

import (
	"time"

	"chervilspan.example/internal/proto/peerpb"
	"chervilspan.example/pkg/fresh"
	"chervilspan.example/pkg/ident"
	"chervilspan.example/pkg/member"
	"chervilspan.example/pkg/topo"
)

func incarnation(t time.Time) ident.Incarnation { return ident.Incarnation(t.UnixMilli()) }

var toState = map[member.State]peerpb.State{
	member.StateAlive:   peerpb.State_STATE_ALIVE,
	member.StateSuspect: peerpb.State_STATE_SUSPECT,
	member.StateLeaving: peerpb.State_STATE_LEAVING,
	member.StateDead:    peerpb.State_STATE_DEAD,
}

var fromState = map[peerpb.State]member.State{
	peerpb.State_STATE_ALIVE:   member.StateAlive,
	peerpb.State_STATE_SUSPECT: member.StateSuspect,
	peerpb.State_STATE_LEAVING: member.StateLeaving,
	peerpb.State_STATE_DEAD:    member.StateDead,
}

func toEvent(i member.Info) *peerpb.MemberEvent {
	return &peerpb.MemberEvent{
		Vm: string(i.VM), Zone: string(i.Zone), Region: string(i.Region), Address: i.Address,
		Incarnation: uint64(i.Incarnation), State: toState[i.State], Number: i.Number,
	}
}

// fromDigest reads the membership's part; events of unknown states, which a
// newer program may send, are dropped.
func fromDigest(d *peerpb.Digest) member.Message {
	m := member.Message{From: ident.VM(d.GetVm()), TableHash: d.GetMembersHash()}
	for _, e := range d.GetEvents() {
		state, ok := fromState[e.GetState()]
		if !ok {
			continue
		}
		m.Events = append(m.Events, member.Info{
			VM: ident.VM(e.GetVm()), Zone: ident.Zone(e.GetZone()), Region: ident.Region(e.GetRegion()), Address: e.GetAddress(),
			Incarnation: ident.Incarnation(e.GetIncarnation()), State: state, Number: e.GetNumber(),
		})
	}
	return m
}

func toMS(d time.Duration) int64 {
	if d < 0 {
		return -1
	}
	return d.Milliseconds()
}

// agesUp rounds durations up: a proof or a contact with a zone must not grow
// younger on its way.
func agesUp(d time.Duration) int64 {
	if d < 0 {
		return -1
	}
	return (d + time.Millisecond - 1).Milliseconds()
}

func fromMS(ms int64) time.Duration {
	if ms < 0 {
		return fresh.AgeNever
	}
	return time.Duration(ms) * time.Millisecond
}

func reportOf(d *peerpb.Digest) fresh.Report {
	r := fresh.Report{
		Version:          ident.Version(d.GetVersion()),
		HighestKnown:     ident.Version(d.GetKnown()),
		ConfirmedAge:     fromMS(d.GetConfirmedMs()),
		ConfirmedVersion: ident.Version(d.GetConfirmedVersion()),
	}
	for _, z := range d.GetZones() {
		r.Zones = append(r.Zones, fresh.ZoneAge{Zone: ident.Zone(z.GetZone()), HeardAge: fromMS(z.GetHeardMs()), StoreAge: fromMS(z.GetStoreMs())})
	}
	return r
}

// digest builds the digest of a message. While the proof is young only the own
// zone's ages are sent: a receiver takes the proof, and the ages of other zones
// matter only when there is none. The caller holds the state lock.
func (s *Distributor) digest(m member.Message, full bool, now time.Time) *peerpb.Digest {
	r := s.fresh.Report(now)
	d := &peerpb.Digest{
		Vm: string(m.From), MembersHash: m.TableHash, Serving: s.serving,
		Version: uint64(r.Version), Known: uint64(r.HighestKnown),
		ConfirmedMs: agesUp(r.ConfirmedAge), ConfirmedVersion: uint64(r.ConfirmedVersion),
	}
	young := r.ConfirmedAge >= 0 && r.ConfirmedAge <= s.cfg.MaxStaleness/2
	for _, z := range r.Zones {
		if !young || z.Zone == s.cfg.Self.Zone {
			d.Zones = append(d.Zones, &peerpb.ZoneAge{Zone: string(z.Zone), HeardMs: agesUp(z.HeardAge), StoreMs: toMS(z.StoreAge)})
		}
	}
	for _, i := range m.Events {
		d.Events = append(d.Events, toEvent(i))
	}
	for _, h := range s.hints.take(s.cfg.Topo, full, s.node.RetransmitLimit()) {
		d.Groups = append(d.Groups, &peerpb.GroupHint{Group: string(h.Group), Term: uint64(h.Term), Primary: string(h.Primary)})
	}
	return d
}

func (s *Distributor) learnHints(d *peerpb.Digest) {
	if s.cfg.Topo == nil {
		return
	}
	for _, h := range d.GetGroups() {
		s.cfg.Topo.Learn(topo.Hint{Group: ident.Group(h.GetGroup()), Term: ident.Term(h.GetTerm()), Primary: ident.Target(h.GetPrimary())})
	}
}

// hints counts how often each group's hint was sent: like the membership's
// events, a hint rides on pings until everyone has it.
type hints struct {
	sent map[ident.Group]hintSent
}

type hintSent struct {
	term  ident.Term
	times int
}

// maxHints bounds the hints on a message that isn't a full one.
const maxHints = 16

// take returns the hints for a message. A full message has all of them.
func (h *hints) take(t *topo.Table, full bool, limit int) []topo.Hint {
	if t == nil {
		return nil
	}
	if h.sent == nil {
		h.sent = map[ident.Group]hintSent{}
	}
	all := t.Hints()
	if full {
		return all
	}
	var out []topo.Hint
	for _, hint := range all {
		n := h.sent[hint.Group]
		if n.term != hint.Term {
			n = hintSent{term: hint.Term}
		}
		if n.times < limit && len(out) < maxHints {
			out = append(out, hint)
			n.times++
		}
		h.sent[hint.Group] = n
	}
	return out
}
