package member

import (
	"math/bits"
	"math/rand/v2"
	"slices"
	"time"

	"chervilspan.example/pkg/ident"
)

// Message is the content of a ping or of the answer to one.
type Message struct {
	From ident.VM
	// Events are the states of VMs. The answer to a ping that asked for all
	// members has one event for each member.
	Events []Info
	// TableHash is the hash of the sender's table.
	TableHash uint64
}

// Ping asks the caller to send Message to To. A To without a VM is a seed, of
// which only the address is known.
type Ping struct {
	Seq     uint64
	To      Info
	Message Message
	// Full asks for a list of all members.
	Full bool
}

// PingReq asks the caller to request an indirect probe, a ping of Target by Via.
type PingReq struct {
	Seq    uint64
	Via    Info
	Target Info
}

// Actions are the messages that the caller has to send.
type Actions struct {
	Pings    []Ping
	PingReqs []PingReq
}

// Node is one VM's view of the membership.
type Node struct {
	cfg         Config
	self        Info
	rng         *rand.Rand
	table       map[ident.VM]*entry
	tableHash   uint64
	changeCount uint64
	// otherLiveCount is the number of live VMs except this one.
	otherLiveCount int
	// changedAt is when the table last changed.
	changedAt time.Time

	seq           uint64
	pendingProbes map[uint64]*probe
	eventQueue    map[ident.VM]int // number of times that the event about a VM has been sent

	links           []ident.VM
	linksStale      bool
	unpingedLinks   []ident.VM // links not yet pinged in this round
	toVerify        []ident.VM // members to ping because their state is in doubt
	fullRequestPeer ident.VM   // peer to ask for a list of all members
	fullRequestedAt time.Time

	nextPing      time.Time
	nextDeadRetry time.Time
	healUntil     time.Time
	tickDue       time.Time // when the next Tick is due; a late one reveals a pause of the process
	conflictCount int
}

// entry is the table's entry for another VM.
type entry struct {
	info Info
	// deadline is the end of a suspicion, or when a dead member is removed.
	deadline time.Time
	// ownSuspicion is set when this VM raised the suspicion.
	ownSuspicion bool
}

// New returns a Node that knows only itself.
func New(cfg Config, now time.Time) *Node {
	cfg = cfg.withDefaults()
	n := &Node{
		cfg:           cfg,
		self:          cfg.Self,
		rng:           rand.New(rand.NewPCG(cfg.Seed, hashVM(cfg.Self.VM))),
		table:         map[ident.VM]*entry{},
		pendingProbes: map[uint64]*probe{},
		eventQueue:    map[ident.VM]int{},
		linksStale:    true,
		changedAt:     now,
		nextPing:      now,
	}
	n.tableHash = hashInfo(n.self)
	n.eventQueue[n.self.VM] = 0
	return n
}

// Self returns this VM as it is announced.
func (n *Node) Self() Info { return n.self }

// ChangeCount returns the number of changes to the table or to Self.
func (n *Node) ChangeCount() uint64 { return n.changeCount }

// ConflictCount returns the number of events that give another address for this
// VM with an incarnation that is not below its own. They show that another
// process runs under the same id.
func (n *Node) ConflictCount() int { return n.conflictCount }

// Members returns all known VMs, including dead ones and this one, in order of id.
func (n *Node) Members() []Info {
	out := make([]Info, 0, len(n.table)+1)
	out = append(out, n.self)
	for _, e := range n.table {
		out = append(out, e.info)
	}
	slices.SortFunc(out, compareVM)
	return out
}

// Live returns the VMs that are not dead, including this one, in order of id.
// Suspects count as live until they are declared dead, and so do leaving VMs.
func (n *Node) Live() []Info {
	return slices.DeleteFunc(n.Members(), func(i Info) bool { return i.State == StateDead })
}

// Lookup returns the known state of a VM, and false for an unknown VM.
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

// announce changes the state of this VM and queues it for the others.
func (n *Node) announce(inc ident.Incarnation, s State, now time.Time) {
	n.tableHash ^= hashInfo(n.self)
	n.self.Incarnation, n.self.State = inc, s
	n.tableHash ^= hashInfo(n.self)
	n.eventQueue[n.self.VM] = 0
	n.recordChange(now)
}

func (n *Node) recordChange(now time.Time) {
	n.changeCount++
	n.changedAt = now
}

// MergePlatformList merges the platform's list of VMs. It only adds candidates,
// which are pinged before they count as live, and marks leaving VMs.
func (n *Node) MergePlatformList(list []Info, now time.Time) {
	for _, i := range list {
		if i.VM == n.self.VM {
			continue
		}
		e := n.table[i.VM]
		if e == nil {
			i.State, i.Incarnation = StateDead, 0
			n.setEntry(i, now)
			n.toVerify = appendNew(n.toVerify, i.VM)
			continue
		}
		if i.State == StateLeaving && e.info.State == StateAlive {
			next := e.info
			next.State = StateLeaving
			n.merge(next, now)
		}
	}
}

// setEntry stores the state of another VM and updates what depends on it: the
// hash, the number of live VMs, the links and the deadline.
func (n *Node) setEntry(i Info, now time.Time) {
	e := n.table[i.VM]
	if e == nil {
		e = &entry{info: Info{State: StateDead}}
		n.table[i.VM] = e
	}
	n.tableHash ^= hashInfo(e.info) ^ hashInfo(i)
	if live(e.info) {
		n.otherLiveCount--
	}
	if live(i) {
		n.otherLiveCount++
	}
	if live(e.info) != live(i) || e.info.Zone != i.Zone || e.info.Region != i.Region {
		n.linksStale = true
	}
	e.info = i
	e.ownSuspicion = false
	switch i.State {
	case StateSuspect:
		e.deadline = now.Add(n.remoteSuspicionPeriod())
	case StateDead:
		e.deadline = now.Add(n.cfg.DeadRetentionPeriod)
	}
	n.recordChange(now)
}

func live(i Info) bool { return i.State != StateDead }

// RetransmitLimit returns how many times an event is sent, which is also about
// the number of protocol periods in which it reaches all VMs.
func (n *Node) RetransmitLimit() int {
	return n.cfg.RetransmitFactor * max(1, bits.Len(uint(n.otherLiveCount)))
}

func (n *Node) ownSuspicionPeriod() time.Duration {
	return time.Duration(n.cfg.SuspectPeriods) * n.cfg.ProtocolPeriod
}

// remoteSuspicionPeriod returns how long a suspicion raised by another VM is
// kept. It is long enough for that VM's declaration of death or a refutation to
// arrive earlier.
func (n *Node) remoteSuspicionPeriod() time.Duration {
	return n.ownSuspicionPeriod() + time.Duration(n.RetransmitLimit())*n.cfg.ProtocolPeriod
}

// selectEntries returns the entries for which selected holds, in order of id.
func (n *Node) selectEntries(selected func(*entry) bool) []*entry {
	var out []*entry
	for _, e := range n.table {
		if selected(e) {
			out = append(out, e)
		}
	}
	slices.SortFunc(out, func(a, b *entry) int { return compareVM(a.info, b.info) })
	return out
}

func appendNew[T comparable](list []T, v T) []T {
	if slices.Contains(list, v) {
		return list
	}
	return append(list, v)
}

// TableHash returns the hash of this VM's table, for messages that the caller
// sends in addition to the pings of Tick.
func (n *Node) TableHash() uint64 { return n.tableHash }
