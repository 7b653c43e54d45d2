package spread

import (
	"time"

	"chervilspan.example/internal/proto/peerpb"
	"chervilspan.example/pkg/fresh"
	"chervilspan.example/pkg/ident"
	"chervilspan.example/pkg/member"
	"chervilspan.example/pkg/topo"
)

// incarnation returns the incarnation of a process that starts at t.
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

// fromDigest converts the membership part of a digest. It drops events with
// unknown states, which a newer release may send.
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

// roundDownMS converts an age to milliseconds, rounded down: contact with the store
// is evidence against serving, so its age must not increase in transit. A negative
// age, such as fresh.AgeNever, becomes -1.
func roundDownMS(d time.Duration) int64 {
	if d < 0 {
		return -1
	}
	return d.Milliseconds()
}

// roundUpMS converts an age to milliseconds, rounded up: the age of a proof or of a
// contact with a zone must not decrease in transit. A negative age becomes -1.
func roundUpMS(d time.Duration) int64 {
	if d < 0 {
		return -1
	}
	return (d + time.Millisecond - 1).Milliseconds()
}

// fromMS is the inverse of roundDownMS and roundUpMS, except for the rounding.
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

// buildDigest builds the digest of a message. While the proof of freshness is at
// most half of MaxStaleness old, the digest has only the ages of this VM's own
// zone: the receiver uses the proof, and the ages of other zones matter only
// without one. The caller holds stateMu.
func (s *Distributor) buildDigest(m member.Message, full bool, now time.Time) *peerpb.Digest {
	r := s.fresh.Report(now)
	d := &peerpb.Digest{
		Vm: string(m.From), MembersHash: m.TableHash, Serving: s.serving,
		Version: uint64(r.Version), Known: uint64(r.HighestKnown),
		ConfirmedMs: roundUpMS(r.ConfirmedAge), ConfirmedVersion: uint64(r.ConfirmedVersion),
	}
	recentProof := r.ConfirmedAge >= 0 && r.ConfirmedAge <= s.cfg.MaxStaleness/2
	for _, z := range r.Zones {
		if !recentProof || z.Zone == s.cfg.Self.Zone {
			d.Zones = append(d.Zones, &peerpb.ZoneAge{Zone: string(z.Zone), HeardMs: roundUpMS(z.HeardAge), StoreMs: roundDownMS(z.StoreAge)})
		}
	}
	for _, i := range m.Events {
		d.Events = append(d.Events, toEvent(i))
	}
	for _, h := range s.hints.selectHints(s.cfg.Topo, full, s.node.RetransmitLimit()) {
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

// hintCounts counts how often the hint of each group was sent. Like a membership
// event, a hint is piggybacked on a limited number of pings, enough for all VMs
// to receive it.
type hintCounts struct {
	byGroup map[ident.Group]hintCount
}

type hintCount struct {
	term ident.Term
	sent int
}

// maxHints is the greatest number of hints in a message that is not full.
const maxHints = 16

// selectHints returns the hints for a message: all of them for a full message,
// otherwise up to maxHints of those that were sent less than limit times.
func (h *hintCounts) selectHints(t *topo.Table, full bool, limit int) []topo.Hint {
	if t == nil {
		return nil
	}
	if h.byGroup == nil {
		h.byGroup = map[ident.Group]hintCount{}
	}
	all := t.Hints()
	if full {
		return all
	}
	var out []topo.Hint
	for _, hint := range all {
		n := h.byGroup[hint.Group]
		if n.term != hint.Term {
			n = hintCount{term: hint.Term}
		}
		if n.sent < limit && len(out) < maxHints {
			out = append(out, hint)
			n.sent++
		}
		h.byGroup[hint.Group] = n
	}
	return out
}
