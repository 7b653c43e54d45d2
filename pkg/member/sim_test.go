package member

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"time"

	"google.golang.org/protobuf/proto"

	"chervilspan.example/internal/proto/peerpb"
	"chervilspan.example/pkg/ident"
)

// simulation delivers the messages of many nodes in virtual time.
type simulation struct {
	now       time.Time
	rng       *rand.Rand
	hosts     []*host
	byAddr    map[string]*host
	queue     timers
	loss      float64
	isBlocked func(a, b Info) bool
	// messages and bytes count what has been sent, including answers and lost
	// messages.
	messages, bytes int
}

type host struct {
	n           *Node
	crashed     bool
	pausedUntil time.Time
	nextTick    time.Time
	falselyDead map[ident.VM]bool // running VMs that this one considered dead
}

type timer struct {
	at  time.Time
	seq int
	f   func()
}

type timers []timer

func (t timers) Len() int { return len(t) }
func (t timers) Less(i, j int) bool {
	if t[i].at.Equal(t[j].at) {
		return t[i].seq < t[j].seq
	}
	return t[i].at.Before(t[j].at)
}
func (t timers) Swap(i, j int) { t[i], t[j] = t[j], t[i] }
func (t *timers) Push(x any)   { *t = append(*t, x.(timer)) }
func (t *timers) Pop() any {
	last := len(*t) - 1
	x := (*t)[last]
	*t = (*t)[:last]
	return x
}

func infos(vms, zones, regions int) []Info {
	out := make([]Info, vms)
	for i := range out {
		z := i % zones
		out[i] = Info{
			VM: ident.VM(fmt.Sprintf("vm-%03d", i)), Zone: ident.Zone(fmt.Sprintf("zone-%d", z)),
			Region: ident.Region(fmt.Sprintf("region-%d", z%regions)), Address: fmt.Sprintf("10.0.%d.%d:7000", i/250, i%250),
			Number: uint32(i + 1), Incarnation: 1,
		}
	}
	return out
}

// newSimulation starts nodes that know each other, or only the seeds if there are
// any.
func newSimulation(seed uint64, all []Info, seeds ...string) *simulation {
	f := &simulation{now: time.Unix(1e9, 0), rng: rand.New(rand.NewPCG(seed, 1)), byAddr: map[string]*host{}}
	for _, i := range all {
		h := &host{n: New(Config{Self: i, Seed: seed, Seeds: seeds}, f.now), falselyDead: map[ident.VM]bool{}}
		if len(seeds) == 0 {
			h.n.mergeAll(all, f.now)
			clear(h.n.eventQueue)
		}
		f.hosts = append(f.hosts, h)
		f.byAddr[i.Address] = h
		f.schedule(time.Duration(f.rng.Int64N(int64(time.Second))), func() { f.tick(h) })
	}
	return f
}

func (f *simulation) schedule(d time.Duration, do func()) {
	heap.Push(&f.queue, timer{f.now.Add(d), len(f.queue) + f.messages, do})
}

func (f *simulation) run(d time.Duration) {
	end := f.now.Add(d)
	for len(f.queue) > 0 && !f.queue[0].at.After(end) {
		t := heap.Pop(&f.queue).(timer)
		f.now = t.at
		t.f()
	}
	f.now = end
}

// runOn runs a step of a host, after the host's pause. It then records the running
// VMs that the host considers dead.
func (f *simulation) runOn(h *host, step func()) {
	if h.crashed {
		return
	}
	if f.now.Before(h.pausedUntil) {
		f.schedule(h.pausedUntil.Sub(f.now), func() { f.runOn(h, step) })
		return
	}
	before := h.n.ChangeCount()
	step()
	if h.n.ChangeCount() == before {
		return
	}
	for vm, e := range h.n.table {
		if other := f.byAddr[e.info.Address]; !live(e.info) && other != nil && !other.crashed {
			h.falselyDead[vm] = true
		}
	}
}

func (f *simulation) tick(h *host) {
	f.runOn(h, func() {
		f.perform(h, h.n.Tick(f.now))
		f.scheduleTick(h)
	})
}

// scheduleTick schedules a Tick for the time given by NextTick, unless an earlier
// one is due.
func (f *simulation) scheduleTick(h *host) {
	next := h.n.NextTick()
	if h.nextTick.After(f.now) && !next.Before(h.nextTick) {
		return
	}
	h.nextTick = next
	f.schedule(max(0, next.Sub(f.now)), func() {
		if h.nextTick.Equal(next) {
			h.nextTick = time.Time{}
			f.tick(h)
		}
	})
}

func (f *simulation) perform(h *host, a Actions) {
	for _, p := range a.Pings {
		f.exchange(h, p.To.Address, p.Message, p.Full, func(reply Message) {
			f.perform(h, h.n.HandleAck(p.Seq, reply, f.now))
			f.scheduleTick(h)
		})
	}
	for _, r := range a.PingReqs {
		via := f.byAddr[r.Via.Address]
		f.send(h, via, 60, func() {
			f.exchange(via, r.Target.Address, Message{From: via.n.self.VM, TableHash: via.n.tableHash}, false, func(reply Message) {
				_ = via.n.HandleAck(0, reply, f.now)
				f.send(via, h, 10, func() { h.n.HandleIndirectResult(r.Seq, true) })
			})
		})
	}
}

// exchange sends a ping and delivers its answer to done.
func (f *simulation) exchange(h *host, address string, m Message, full bool, done func(Message)) {
	to := f.byAddr[address]
	if to == nil {
		return
	}
	f.send(h, to, size(m), func() {
		reply := to.n.HandlePing(m, full, f.now)
		f.send(to, h, size(reply), func() { done(reply) })
	})
}

func (f *simulation) send(from, to *host, bytes int, do func()) {
	f.messages++
	f.bytes += bytes
	if f.rng.Float64() < f.loss || f.isBlocked != nil && f.isBlocked(from.n.self, to.n.self) {
		return
	}
	latency := time.Millisecond
	if from.n.self.Region != to.n.self.Region {
		latency = 30 * time.Millisecond
	}
	f.schedule(latency, func() { f.runOn(to, do) })
}

// size returns the encoded length of a message, without frames and TLS.
func size(m Message) int {
	d := &peerpb.Digest{Vm: string(m.From), Version: 100, ConfirmedMs: 100, ConfirmedVersion: 100}
	for _, i := range m.Events {
		d.Events = append(d.Events, &peerpb.MemberEvent{
			Vm: string(i.VM), Zone: string(i.Zone), Region: string(i.Region), Address: i.Address,
			Incarnation: uint64(i.Incarnation) + 1<<40, State: peerpb.State_STATE_DEAD, Number: i.Number,
		})
	}
	const hash = 9 // a fixed64 field with its tag
	return proto.Size(&peerpb.PingRequest{Digest: d}) + hash
}

// viewsMatch reports whether every running host considers exactly those VMs live
// for which want holds.
func (f *simulation) viewsMatch(want func(Info) bool) bool {
	expect := 0
	for _, h := range f.hosts {
		if want(h.n.self) {
			expect++
		}
	}
	for _, h := range f.hosts {
		if h.crashed {
			continue
		}
		if h.n.otherLiveCount+1 != expect {
			return false
		}
		for _, e := range h.n.table {
			if live(e.info) != want(e.info) {
				return false
			}
		}
	}
	return true
}

// runUntil runs the simulation until done holds and returns the time taken, or -1
// when limit is reached first.
func (f *simulation) runUntil(limit time.Duration, done func() bool) time.Duration {
	begin := f.now
	for f.now.Sub(begin) < limit {
		f.run(250 * time.Millisecond)
		if done() {
			return f.now.Sub(begin)
		}
	}
	return -1
}
