package member

import (
	"math/bits"
	"math/rand/v2"
	"slices"
	"time"

	"chervilspan.example/pkg/ident"
)

// Message is what pings and their answers carry.
type Message struct {
	From ident.VM
	// Events are statements about VMs. The answer to a ping that asked for all
	// members has one for each member.
	Events []Info
	// Hash of the sender's table.
	TableHash uint64
}

// Ping asks the caller to send Message to To. A To without a VM is a seed, of
// which only the address is known.
type Ping struct {
	Seq     uint64
	To      Info
	Message Message
	// Full asks for all members.
	Full bool
}

// PingReq asks the caller to have Via ping Target.
type PingReq struct {
	Seq    uint64
	Via    Info
	Target Info
}

// Actions are what the caller has to do.
type Actions struct {
	Pings    []Ping
	PingReqs []PingReq
}

// Node is one VM's view of the membership.
type Node struct {
	cfg     Config
	self    Info
	rng     *rand.Rand
	table   map[ident.VM]*entry
	hash    uint64
	changes uint64
	// others is the number of live VMs besides this one.
	others int
	// changed is when the table last changed.
	changed time.Time

	seq     uint64
	pending map[uint64]*probe
	queue   map[ident.VM]int // number of times an event has been sent

	links    []ident.VM
	linksOld bool
	round    []ident.VM // links still to be pinged in this round
	verify   []ident.VM // members whose death a list stated
	fullFrom ident.VM   // peer to ask for all members
	fullAt   time.Time

	nextPing  time.Time
	nextRetry time.Time
	healUntil time.Time
	promised  time.Time // when Tick was due, to notice pauses
	conflicts int
}

// entry is the table's row for another VM.
type entry struct {
	info Info
	// deadline of a suspicion, or when a dead member is forgotten.
	deadline time.Time
	// own suspicions are those that this VM raised.
	own bool
}

// New returns a Node that knows only itself.
func New(cfg Config, now time.Time) *Node {
	cfg = cfg.withDefaults()
	n := &Node{
		cfg:      cfg,
		self:     cfg.Self,
		rng:      rand.New(rand.NewPCG(cfg.Seed, hashVM(cfg.Self.VM))),
		table:    map[ident.VM]*entry{},
		pending:  map[uint64]*probe{},
		queue:    map[ident.VM]int{},
		linksOld: true,
		changed:  now,
		nextPing: now,
	}
	n.hash = hashInfo(n.self)
	n.queue[n.self.VM] = 0
	return n
}

// Self returns this VM as it is announced.
func (n *Node) Self() Info { return n.self }

// ChangeCount grows with each change of the table.
func (n *Node) ChangeCount() uint64 { return n.changes }

// ConflictCount counts statements that name this VM at another address with a
// current incarnation: another process runs under the same id.
func (n *Node) ConflictCount() int { return n.conflicts }

// Members returns all known VMs with the dead ones and this one, by id.
func (n *Node) Members() []Info {
	out := make([]Info, 0, len(n.table)+1)
	out = append(out, n.self)
	for _, e := range n.table {
		out = append(out, e.info)
	}
	slices.SortFunc(out, byVM)
	return out
}

// Live returns the VMs that are not dead, this one among them, by id. Suspects
// count as live until they are declared dead; leaving ones have StateLeaving.
func (n *Node) Live() []Info {
	return slices.DeleteFunc(n.Members(), func(i Info) bool { return i.State == StateDead })
}

// Lookup returns what is known of a VM.
func (n *Node) Lookup(vm ident.VM) (Info, bool) {
	if vm == n.self.VM {
		return n.self, true
	}
	e := n.table[vm]
	if e == nil {
		return Info{}, false
	}
	return e.info, true
}

// SetLeaving announces that this VM leaves.
func (n *Node) SetLeaving(now time.Time) {
	if n.self.State == StateLeaving {
		return
	}
	n.announce(n.self.Incarnation+1, StateLeaving, now)
}

// announce makes a new statement about this VM.
func (n *Node) announce(inc ident.Incarnation, s State, now time.Time) {
	n.hash ^= hashInfo(n.self)
	n.self.Incarnation, n.self.State = inc, s
	n.hash ^= hashInfo(n.self)
	n.queue[n.self.VM] = 0
	n.touch(now)
}

func (n *Node) touch(now time.Time) {
	n.changes++
	n.changed = now
}

// MergePlatformList takes the platform's list. It only adds candidates, which are
// pinged before they count as members, and marks leaving VMs.
func (n *Node) MergePlatformList(list []Info, now time.Time) {
	for _, i := range list {
		if i.VM == n.self.VM {
			continue
		}
		e := n.table[i.VM]
		if e == nil {
			i.State, i.Incarnation = StateDead, 0
			n.put(i, now)
			n.verify = appendNew(n.verify, i.VM)
			continue
		}
		if i.State == StateLeaving && e.info.State == StateAlive {
			next := e.info
			next.State = StateLeaving
			n.merge(next, now)
		}
	}
}

// put writes a row and keeps the hash, the links and the event queue.
func (n *Node) put(i Info, now time.Time) {
	e := n.table[i.VM]
	if e == nil {
		e = &entry{info: Info{State: StateDead}}
		n.table[i.VM] = e
	}
	n.hash ^= hashInfo(e.info) ^ hashInfo(i)
	if live(e.info) {
		n.others--
	}
	if live(i) {
		n.others++
	}
	if live(e.info) != live(i) || e.info.Zone != i.Zone || e.info.Region != i.Region {
		n.linksOld = true
	}
	e.info = i
	e.own = false
	switch i.State {
	case StateSuspect:
		e.deadline = now.Add(n.hearsayTime())
	case StateDead:
		e.deadline = now.Add(n.cfg.DeadRetentionPeriod)
	}
	n.touch(now)
}

func live(i Info) bool { return i.State != StateDead }

// RetransmitLimit is how many times an event is sent, which is also about the number
// of periods that it needs to reach everyone.
func (n *Node) RetransmitLimit() int {
	return n.cfg.RetransmitFactor * max(1, bits.Len(uint(n.others)))
}

func (n *Node) suspectTime() time.Duration {
	return time.Duration(n.cfg.SuspectPeriods) * n.cfg.ProtocolPeriod
}

// hearsayTime is how long a suspicion of another VM is held: that VM's verdict
// or a refutation arrives earlier.
func (n *Node) hearsayTime() time.Duration {
	return n.suspectTime() + time.Duration(n.RetransmitLimit())*n.cfg.ProtocolPeriod
}

// rows returns the rows that f selects, by id.
func (n *Node) rows(f func(*entry) bool) []*entry {
	var out []*entry
	for _, e := range n.table {
		if f(e) {
			out = append(out, e)
		}
	}
	slices.SortFunc(out, func(a, b *entry) int { return byVM(a.info, b.info) })
	return out
}

func appendNew[T comparable](list []T, v T) []T {
	if slices.Contains(list, v) {
		return list
	}
	return append(list, v)
}

// TableHash returns the hash of this VM's table, for messages beside Tick's pings.
func (n *Node) TableHash() uint64 { return n.hash }
