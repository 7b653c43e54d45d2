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

// fleet delivers the messages of many nodes in virtual time.
type fleet struct {
	now     time.Time
	rng     *rand.Rand
	hosts   []*host
	byAddr  map[string]*host
	queue   timers
	loss    float64
	blocked func(a, b Info) bool
	// pings and bytes count messages sent, answers among them.
	pings, bytes int
}

type host struct {
	n       *Node
	crashed bool
	paused  time.Time
	wake    time.Time
	falsely map[ident.VM]bool // live VMs that this one declared dead
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

// newFleet starts nodes that know each other, or only the seeds when there
// are any.
func newFleet(seed uint64, all []Info, seeds ...string) *fleet {
	f := &fleet{now: time.Unix(1e9, 0), rng: rand.New(rand.NewPCG(seed, 1)), byAddr: map[string]*host{}}
	for _, i := range all {
		h := &host{n: New(Config{Self: i, Seed: seed, Seeds: seeds}, f.now), falsely: map[ident.VM]bool{}}
		if len(seeds) == 0 {
			h.n.mergeAll(all, f.now)
			clear(h.n.queue)
		}
		f.hosts = append(f.hosts, h)
		f.byAddr[i.Address] = h
		f.after(time.Duration(f.rng.Int64N(int64(time.Second))), func() { f.tick(h) })
	}
	return f
}

func (f *fleet) after(d time.Duration, do func()) {
	heap.Push(&f.queue, timer{f.now.Add(d), len(f.queue) + f.pings, do})
}

func (f *fleet) run(d time.Duration) {
	end := f.now.Add(d)
	for len(f.queue) > 0 && !f.queue[0].at.After(end) {
		t := heap.Pop(&f.queue).(timer)
		f.now = t.at
		t.f()
	}
	f.now = end
}

// do runs a step of a host, after its pause.
func (f *fleet) do(h *host, step func()) {
	if h.crashed {
		return
	}
	if f.now.Before(h.paused) {
		f.after(h.paused.Sub(f.now), func() { f.do(h, step) })
		return
	}
	before := h.n.ChangeCount()
	step()
	if h.n.ChangeCount() == before {
		return
	}
	for vm, e := range h.n.table {
		if other := f.byAddr[e.info.Address]; !live(e.info) && other != nil && !other.crashed {
			h.falsely[vm] = true
		}
	}
}

func (f *fleet) tick(h *host) {
	f.do(h, func() {
		f.act(h, h.n.Tick(f.now))
		f.arm(h)
	})
}

// arm calls Tick at the time that the node asks for, unless an earlier call is due.
func (f *fleet) arm(h *host) {
	next := h.n.NextTick()
	if h.wake.After(f.now) && !next.Before(h.wake) {
		return
	}
	h.wake = next
	f.after(max(0, next.Sub(f.now)), func() {
		if h.wake.Equal(next) {
			h.wake = time.Time{}
			f.tick(h)
		}
	})
}

func (f *fleet) act(h *host, a Actions) {
	for _, p := range a.Pings {
		f.exchange(h, p.To.Address, p.Message, p.Full, func(reply Message) {
			f.act(h, h.n.HandleAck(p.Seq, reply, f.now))
			f.arm(h)
		})
	}
	for _, r := range a.PingReqs {
		via := f.byAddr[r.Via.Address]
		f.send(h, via, 60, func() {
			f.exchange(via, r.Target.Address, Message{From: via.n.self.VM, TableHash: via.n.hash}, false, func(reply Message) {
				_ = via.n.HandleAck(0, reply, f.now)
				f.send(via, h, 10, func() { h.n.HandleIndirectResult(r.Seq, true) })
			})
		})
	}
}

// exchange sends a ping and brings the answer back.
func (f *fleet) exchange(h *host, address string, m Message, full bool, done func(Message)) {
	to := f.byAddr[address]
	if to == nil {
		return
	}
	f.send(h, to, size(m), func() {
		reply := to.n.HandlePing(m, full, f.now)
		f.send(to, h, size(reply), func() { done(reply) })
	})
}

func (f *fleet) send(from, to *host, bytes int, do func()) {
	f.pings++
	f.bytes += bytes
	if f.rng.Float64() < f.loss || f.blocked != nil && f.blocked(from.n.self, to.n.self) {
		return
	}
	latency := time.Millisecond
	if from.n.self.Region != to.n.self.Region {
		latency = 30 * time.Millisecond
	}
	f.after(latency, func() { f.do(to, do) })
}

// size is the length of the message on the wire, without frames and TLS.
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

// knows reports whether every running host sees the others as want says.
func (f *fleet) knows(want func(Info) bool) bool {
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
		if h.n.others+1 != expect {
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

// until runs until done holds and returns the time it took, or -1.
func (f *fleet) until(limit time.Duration, done func() bool) time.Duration {
	begin := f.now
	for f.now.Sub(begin) < limit {
		f.run(250 * time.Millisecond)
		if done() {
			return f.now.Sub(begin)
		}
	}
	return -1
}
