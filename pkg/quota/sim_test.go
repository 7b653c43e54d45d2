package quota

import (
	"cmp"
	"fmt"
	"slices"
	"testing"
	"time"

	"chervilspan.example/pkg/ident"
	"chervilspan.example/pkg/member"
)

// simTTL is the lease length in the simulation, short so that leases lapse
// often.
const simTTL = 6 * time.Second

type simLease struct {
	vm  ident.VM
	end time.Time
}

type simKey struct {
	lease int
	vm    ident.VM
	boot  int
}

type simMessage struct {
	at       time.Time
	from, to ident.VM
	deliver  func()
}

type simVM struct {
	info     member.Info
	up       bool
	boot     int
	paused   time.Time
	lease    int
	next     time.Time // of the lease's renewal
	holdings SliceSet
	account  *Account
	since    map[Ticket]time.Time
}

// sim is a fleet with one workspace, a store and a network, driven in steps.
type sim struct {
	t        *testing.T
	now      time.Time
	slices   int
	zones    []ident.Zone
	vms      []*simVM
	network  []simMessage
	leases   map[int]simLease
	keys     map[Slice]simKey
	down     bool
	lose     bool // the next store answer is lost
	cut      ident.Zone
	limit    Limit
	pending  []func() // catalogue edits on their way
	admitted []time.Time
	refused  int
	boots    int
	messages int
	lossy    func() (drop, twice bool)
}

func newSim(vms, zones, slices int, l Limit) *sim {
	s := &sim{
		now: time.Unix(1_000, 0), slices: slices, limit: l, leases: map[int]simLease{}, keys: map[Slice]simKey{},
		lossy: func() (bool, bool) { return false, false },
	}
	for z := range zones {
		s.zones = append(s.zones, ident.Zone(fmt.Sprint("z", z)))
	}
	for i := range vms {
		z := i % zones
		info := member.Info{VM: ident.VM(fmt.Sprint("vm", i)), Zone: s.zones[z], Region: ident.Region(fmt.Sprint("r", z/2))}
		v := &simVM{info: info}
		s.vms = append(s.vms, v)
		s.start(v)
	}
	for range 40 {
		s.step(100 * time.Millisecond)
	}
	return s
}

// live is what a VM sees: neither dead nor paused ones, nor those beyond a cut.
func (s *sim) live(viewer *simVM) []member.Info {
	var out []member.Info
	for _, v := range s.vms {
		if v == viewer || s.running(v) && !s.severed(v, viewer) {
			out = append(out, v.info)
		}
	}
	return out
}

func (s *sim) start(v *simVM) {
	s.boots++
	first := GrantID(s.boots) << 40
	*v = simVM{info: v.info, up: true, boot: s.boots, since: map[Ticket]time.Time{}, account: NewAccount(Config{Self: v.info.VM, FirstGrantID: first})}
}

func (s *sim) configure(v *simVM) {
	var holders []ident.VM
	for _, o := range s.vms {
		holders = append(holders, o.info.VM)
	}
	v.account.Configure(Setup{
		Limit: s.limit, SliceCount: s.slices, HeldSlices: v.holdings.Held(),
		Holders: NewPlacement(s.zones, s.live(v)).SortByDistance("shard/0", v.info, holders),
	}, s.now)
}

func (s *sim) reachable(v *simVM) bool { return !s.down && s.cut != v.info.Zone }

// maintain renews the lease and claims and releases slices.
func (s *sim) maintain(v *simVM) {
	for id, l := range s.leases {
		if !s.now.Before(l.end) {
			delete(s.leases, id)
			for k, e := range s.keys {
				if e.lease == id {
					delete(s.keys, k)
				}
			}
		}
	}
	if !s.reachable(v) || s.now.Before(v.next) {
		return
	}
	v.next = s.now.Add(time.Second)
	if _, ok := s.leases[v.lease]; !ok {
		v.lease = s.boots*1000 + len(s.leases) + int(s.now.UnixMilli()%1_000_000)*100
		v.holdings.RecordLapse()
		s.configure(v)
	}
	s.leases[v.lease] = simLease{v.info.VM, s.now.Add(simTTL)}
	lost := s.lose
	s.lose = false
	if lost {
		return
	}
	v.holdings.RecordRenewal(s.now, simTTL)
	s.claim(v)
}

func (s *sim) claim(v *simVM) {
	var wanted []Slice
	place := NewPlacement(s.zones, s.live(v))
	for i := range s.slices {
		sl := Slice{0, Index(i)}
		if vm, _ := place.PreferredHolder(sl); vm == v.info.VM {
			wanted = append(wanted, sl)
		}
	}
	claim, release := v.holdings.Diff(wanted)
	for _, sl := range release {
		v.holdings.BeginRelease(sl)
		if s.keys[sl].boot == v.boot {
			delete(s.keys, sl)
		}
		v.holdings.RecordRelease(sl)
	}
	for _, sl := range claim {
		k, taken := s.keys[sl]
		if taken && k.vm != v.info.VM {
			continue
		}
		s.keys[sl] = simKey{v.lease, v.info.VM, v.boot}
		v.holdings.RecordClaim(sl, s.now)
	}
	s.configure(v)
}

func (s *sim) running(v *simVM) bool { return v.up && !s.now.Before(v.paused) }

func (s *sim) vm(id ident.VM) *simVM {
	return s.vms[slices.IndexFunc(s.vms, func(v *simVM) bool { return v.info.VM == id })]
}

// delay is the one-way latency: 1 ms in a region, 30 ms between regions.
func (s *sim) delay(a, b *simVM) time.Duration {
	if a.info.Region == b.info.Region {
		return time.Millisecond
	}
	return 30 * time.Millisecond
}

func (s *sim) send(from, to *simVM, f func()) {
	drop, twice := s.lossy()
	if drop || s.severed(from, to) {
		return
	}
	m := simMessage{s.now.Add(s.delay(from, to)), from.info.VM, to.info.VM, f}
	s.network = append(s.network, m)
	if twice {
		m.at = m.at.Add(300 * time.Millisecond)
		s.network = append(s.network, m)
	}
}

func (s *sim) severed(a, b *simVM) bool {
	return s.cut != "" && (a.info.Zone == s.cut) != (b.info.Zone == s.cut)
}

func (s *sim) deliver() {
	due := s.network
	s.network = nil
	slices.SortStableFunc(due, func(a, b simMessage) int { return a.at.Compare(b.at) })
	for _, m := range due {
		to := s.vm(m.to)
		switch {
		case m.at.After(s.now) || to.up && !s.running(to):
			s.network = append(s.network, m)
		case to.up:
			m.deliver()
		}
	}
}

func (s *sim) poll(v *simVM) {
	out := v.account.Poll(s.now, v.holdings.Deadline())
	for range out.Admitted {
		s.admitted = append(s.admitted, s.now)
	}
	s.refused += len(out.Refused)
	for _, a := range out.Borrows {
		s.messages++
		to, boot := s.vm(a.To), v.boot
		s.send(v, to, func() {
			r := to.account.Lend(a.BorrowRequest, s.now, to.holdings.Deadline())
			s.send(to, v, func() {
				if v.boot == boot {
					v.account.HandleReply(a.ID, r, s.now)
				}
			})
		})
	}
}

func (s *sim) step(d time.Duration) {
	s.now = s.now.Add(d)
	for _, v := range s.vms {
		if s.running(v) {
			s.maintain(v)
		}
	}
	s.deliver()
	for _, v := range s.vms {
		if s.running(v) {
			s.poll(v)
		}
	}
}

func (s *sim) arrive(v *simVM) {
	lease := v.holdings.Deadline()
	if v.account.Admit(s.now, lease) {
		s.admitted = append(s.admitted, s.now)
		if v.account.ShouldPoll(s.now, lease) {
			s.poll(v)
		}
		return
	}
	v.account.Enqueue(s.now)
	s.poll(v)
}

// excess returns the most tokens by which any window exceeds the limit: a
// token bucket that starts full and never refuses goes below zero by as much.
func excess(times []time.Time, limit func(time.Time) Limit) float64 {
	slices.SortFunc(times, func(a, b time.Time) int { return a.Compare(b) })
	worst, level := 0.0, 0.0
	var last time.Time
	for i, t := range times {
		l := limit(t)
		if i == 0 {
			level = float64(l.Burst)
		} else {
			level = min(float64(l.Burst), level+l.Rate*t.Sub(last).Seconds())
		}
		last = t
		level--
		worst = max(worst, -level)
	}
	return cmp.Or(worst, 0)
}
