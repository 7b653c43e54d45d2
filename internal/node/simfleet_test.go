package node

import (
	"context"
	"encoding/json"
	"fmt"
	"slices"
	"strconv"
	"sync"
	"time"

	"chervilspan.example/internal/follow"
	"chervilspan.example/pkg/catal"
	"chervilspan.example/pkg/ident"
	"chervilspan.example/pkg/member"
)

// Bounds of the deployments, and times of the simulated fleet.
const (
	simWithin       = 6 * time.Second
	simStableWindow = 6 * time.Second
	simWatchHold    = time.Second
	simLeaseTTL     = 10 * time.Second
	simListPeriod   = 2500 * time.Millisecond
	simWarmup       = 12 * time.Second
	simLength       = 50 * time.Second
	simCheckPeriod  = 100 * time.Millisecond
	simZoneDelay    = 1400 * time.Microsecond
	simRegionDelay  = 30 * time.Millisecond
	// simReplaced is how long a silent connection between VMs is used until it is replaced;
	// peer TestSilentConnection guards it.
	simReplaced = 1500 * time.Millisecond
)

// trouble is the kind of a disruption.
type trouble string

const (
	// turnedAway VMs get a refusal from the store for each call. They stay in touch.
	turnedAway trouble = "turned away by the store"
	// storeCut VMs get no answer from the store, cutOff VMs none from anyone.
	storeCut trouble = "cut from the store"
	cutOff   trouble = "cut off"
	// apart VMs reach the store, but no other VM.
	apart trouble = "cut from other VMs"
	// storeDown is an outage of the store.
	storeDown trouble = "store down"
	// silenced means that all connections that are open go silent, while new ones work.
	silenced trouble = "connections silent"
)

// disruption is a trouble of some VMs from a time to another one, since the start.
type disruption struct {
	trouble  trouble
	vms      map[ident.VM]bool
	from, to time.Duration
}

func (d disruption) String() string {
	return fmt.Sprintf("%s: %d VMs from %v to %v", d.trouble, len(d.vms), d.from, d.to)
}

// hits reports whether a VM is disrupted at some time of a span.
func (d disruption) hits(vm ident.VM, from, to time.Duration) bool {
	return (d.vms[vm] || d.trouble == storeDown || d.trouble == silenced) && from < d.to && to > d.from
}

// simFleet is a fleet of followers with a store, a network and disruptions. Its store has
// nothing but the catalogue.
type simFleet struct {
	live        []member.Info
	followers   map[string]*follow.Follower // by address
	started     time.Time
	disruptions []disruption
	links       simLinks
	// documents has the contents of versions; others consist of their number alone.
	documents map[ident.Version][]byte
	// forgetful is set if the store has lost its history at each poll.
	forgetful bool

	mu      sync.Mutex
	version ident.Version
	acked   map[ident.Version]time.Duration
	// everywhere is the last version that all VMs in touch had, and slowest the longest time
	// from an acknowledgement to then.
	everywhere ident.Version
	slowest    time.Duration
	changed    chan struct{}
	conns      map[simPair]*simConn
}

// simPair is a VM and the VM that it calls, "" for the store.
type simPair struct{ from, to ident.VM }

// simConn is a connection: when it was opened, and when it was first used after it had gone
// silent, 0 if it was not.
type simConn struct{ openedAt, silentUse time.Duration }

// answers reports whether the connection of a pair works. A silent one is replaced once it
// has been used for replaced.
func (s *simFleet) answers(p simPair, replaced time.Duration) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.now()
	c := s.conns[p]
	if c == nil {
		c = &simConn{openedAt: now}
		s.conns[p] = c
	}
	if !slices.ContainsFunc(s.disruptions, func(d disruption) bool {
		return d.trouble == silenced && c.openedAt < d.from && d.from <= now
	}) {
		return true
	}
	if c.silentUse == 0 {
		c.silentUse = now
	}
	if now-c.silentUse < replaced {
		return false
	}
	*c = simConn{openedAt: now}
	return true
}

func (s *simFleet) now() time.Duration { return time.Since(s.started) }

// suffers reports whether a VM has one of some troubles now.
func (s *simFleet) suffers(vm ident.VM, troubles ...trouble) bool {
	for _, d := range s.disruptions {
		for _, t := range troubles {
			if d.trouble == t && d.hits(vm, s.now(), s.now()+1) {
				return true
			}
		}
	}
	return false
}

// inTouch reports whether the rules with a time bound hold for a VM now.
func (s *simFleet) inTouch(vm ident.VM) bool {
	for _, d := range s.disruptions {
		if d.trouble != turnedAway && d.hits(vm, s.now()-simStableWindow, s.now()) {
			return false
		}
	}
	return true
}

// write writes the next version, and reports whether the store took it.
func (s *simFleet) write() bool {
	if s.suffers("", storeDown) {
		return false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version++
	s.acked[s.version] = s.now()
	close(s.changed)
	s.changed = make(chan struct{})
	return true
}

// required returns the version that must be in force on VMs that are in touch.
func (s *simFleet) required() ident.Version {
	s.mu.Lock()
	defer s.mu.Unlock()
	v := s.version
	for v > 0 && s.acked[v] > s.now()-simWithin {
		v--
	}
	return v
}

// simView is what a VM knows of the other VMs.
type simView struct {
	fleet *simFleet
	self  member.Info

	mu     sync.Mutex
	readAt time.Duration
	list   []member.Info
	table  readerTable
}

// live returns the list of VMs, which is read again after simListPeriod.
func (v *simView) live() []member.Info {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.list == nil || v.fleet.now()-v.readAt >= simListPeriod {
		if list := v.fleet.listFor(v.self.VM); !slices.Equal(list, v.list) {
			v.list = list
		}
		v.readAt = v.fleet.now()
	}
	return v.list
}

// Addresses implements follow.Fleet.
func (v *simView) Addresses() []string {
	var out []string
	for _, m := range v.live() {
		if m.VM != v.self.VM {
			out = append(out, m.Address)
		}
	}
	return out
}

// Address implements follow.Fleet.
func (v *simView) Address(vm ident.VM) string {
	for _, m := range v.live() {
		if m.VM == vm {
			return m.Address
		}
	}
	return ""
}

// readers returns the addresses of the readers to ask.
func (v *simView) readers() ([]string, bool) {
	return v.table.addressesFor(v.self, v.live()), true
}

// listFor returns the list of VMs that a VM has: those whose leases had not ended when it
// last read it.
func (s *simFleet) listFor(vm ident.VM) []member.Info {
	lastHeard := func(vm ident.VM, now time.Duration) time.Duration {
		heard := now
		for again := true; again; {
			again = false
			for _, d := range s.disruptions {
				if d.trouble != apart && d.trouble != silenced && d.hits(vm, heard, heard+1) {
					heard, again = d.from-1, true
				}
			}
		}
		return heard
	}
	readAt := lastHeard(vm, s.now())
	var out []member.Info
	for _, m := range s.live {
		if m.VM == vm || readAt-lastHeard(m.VM, readAt) < simLeaseTTL {
			out = append(out, m)
		}
	}
	return out
}

func newSimFleet(vms int, disruptions func([]member.Info) []disruption) *simFleet {
	s := &simFleet{
		live: fleetOf(vms), followers: map[string]*follow.Follower{}, started: time.Now(),
		acked: map[ident.Version]time.Duration{}, changed: make(chan struct{}),
		conns: map[simPair]*simConn{},
	}
	s.disruptions = disruptions(s.live)
	for _, m := range s.live {
		view := &simView{fleet: s, self: m}
		s.followers[m.Address] = follow.New(follow.Config{
			Store: simStore{fleet: s, self: m}, Key: "config", VM: m.VM, Address: m.Address, Within: simWithin,
			Decode: decodeSim,
			Fleet:  view, Peers: simPeers{fleet: s, self: m}, Readers: view.readers,
		})
	}
	return s
}

// decodeSim decodes a version in the simulated store.
func decodeSim(raw []byte) (*catal.Catalogue, error) {
	var c catal.Catalogue
	if raw[0] == '{' {
		return &c, json.Unmarshal(raw, &c)
	}
	v, err := strconv.ParseUint(string(raw), 10, 64)
	c.Version = ident.Version(v)
	return &c, err
}

// run plays the fleet, with a new version at each of some times, and returns the first
// breach of the bound, "" if there was none.
func (s *simFleet) run(ctx context.Context, writes []time.Duration) (breach string) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	var wg sync.WaitGroup
	for _, f := range s.followers {
		wg.Go(func() { f.Run(ctx) })
	}
	s.write()
	for s.now() < simLength && breach == "" {
		for len(writes) > 0 && writes[0] <= s.now() {
			s.write()
			writes = writes[1:]
		}
		time.Sleep(simCheckPeriod)
		s.measure()
		breach = s.breach()
	}
	cancel()
	wg.Wait()
	return breach
}

// measure updates everywhere and slowest.
func (s *simFleet) measure() {
	s.mu.Lock()
	defer s.mu.Unlock()
	lowest := s.version
	for _, m := range s.live {
		if s.inTouch(m.VM) {
			lowest = min(lowest, s.followers[m.Address].Version())
		}
	}
	for s.everywhere < lowest {
		s.everywhere++
		s.slowest = max(s.slowest, s.now()-s.acked[s.everywhere])
	}
}

// undisturbed reports whether a VM had no trouble for the whole time allowed.
func (s *simFleet) undisturbed(vm ident.VM) bool {
	for _, d := range s.disruptions {
		if d.hits(vm, s.now()-simWithin, s.now()) {
			return false
		}
	}
	return true
}

// breach returns a VM in touch that lacks a version in time. As long as no VM was
// undisturbed, VMs that the store turns away may have had nobody to hear of it from.
func (s *simFleet) breach() string {
	want := s.required()
	if !slices.ContainsFunc(s.live, func(m member.Info) bool { return s.undisturbed(m.VM) }) {
		return ""
	}
	for _, m := range s.live {
		if have := s.followers[m.Address].Version(); have < want && s.inTouch(m.VM) {
			return fmt.Sprintf("at %v, %s in %s has version %d; %d was acknowledged at %v", s.now(), m.VM, m.Zone, have, want, s.acked[want])
		}
	}
	return ""
}
