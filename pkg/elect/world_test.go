package elect

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"chervilspan.example/pkg/ident"
	"chervilspan.example/pkg/topo"
)

// watcher carries out the actions of one machine.
type watcher struct {
	m       *Machine
	paused  time.Time
	silent  map[ident.Target]bool
	elected []time.Time
}

// world is a queue of events over virtual time with the faults in force.
type world struct {
	now      time.Time
	q        queue
	seq      int
	rng      *rand.Rand
	dbs      []*database
	watchers []*watcher
	cut      map[string]bool
	loss     float64
	entries  int
	acked    map[ident.Position]ack
	ackedBy  map[ident.Term]ident.Target
	lastAck  time.Time
	errs     []string
	notes    []Transition
	notedAt  []time.Time
	// probed counts probes by target unless it is nil.
	probed map[ident.Target]int
}

// ack is an acknowledged entry with the term of the first primary that did so.
type ack struct {
	id   int
	term ident.Term
}

type job struct {
	at  time.Time
	seq int
	f   func()
}
type queue []job

func (q queue) Len() int { return len(q) }
func (q queue) Less(i, j int) bool {
	if !q[i].at.Equal(q[j].at) {
		return q[i].at.Before(q[j].at)
	}
	return q[i].seq < q[j].seq
}
func (q queue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *queue) Push(x any)   { *q = append(*q, x.(job)) }
func (q *queue) Pop() any {
	old := *q
	x := old[len(old)-1]
	*q = old[:len(old)-1]
	return x
}

func newWorld(seed uint64, databases, watchers int, policy Policy) *world {
	w := &world{
		now: time.Unix(1_000_000, 0), rng: rand.New(rand.NewPCG(seed, 7)), cut: map[string]bool{},
		acked: map[ident.Position]ack{}, ackedBy: map[ident.Term]ident.Target{},
	}
	var members []Member
	for i := range databases {
		id := ident.Target(rune('a' + i))
		d := &database{w: w, id: id, role: topo.RoleReplica, members: databases}
		w.dbs = append(w.dbs, d)
		members = append(members, Member{ID: id, Address: string(id), Region: ident.Region(rune('r' + i/2))})
		w.after(w.upTo(50*time.Millisecond), d.run)
	}
	for i := range watchers {
		x := &watcher{m: &Machine{Policy: policy, Rand: rand.NewPCG(seed, uint64(i))}, silent: map[ident.Target]bool{}}
		w.watchers = append(w.watchers, x)
		w.step(i, Configured{Members: members})
		w.step(i, Ranked{Rank: i})
		w.after(w.upTo(Resolution), func() { w.tick(i) })
	}
	return w
}

func (w *world) failf(format string, a ...any) { w.errs = append(w.errs, fmt.Sprintf(format, a...)) }

func (w *world) upTo(d time.Duration) time.Duration { return time.Duration(w.rng.Int64N(int64(d))) }

func (w *world) delay() time.Duration { return time.Millisecond + w.upTo(30*time.Millisecond) }

func (w *world) after(d time.Duration, f func()) {
	w.seq++
	heap.Push(&w.q, job{w.now.Add(d), w.seq, f})
}

func (w *world) advance(d time.Duration) {
	end := w.now.Add(d)
	for len(w.q) > 0 && !w.q[0].at.After(end) {
		j := heap.Pop(&w.q).(job)
		w.now = j.at
		j.f()
	}
	w.now = end
}

// send delivers f after a delay unless the link is cut when it is sent or
// arrives, or the message is lost.
func (w *world) send(link string, f func()) {
	if w.cut[link] || w.rng.Float64() < w.loss {
		return
	}
	w.after(w.delay(), func() {
		if !w.cut[link] {
			f()
		}
	})
}

func link(i int, d ident.Target) string { return fmt.Sprintf("%d-%s", i, d) }
func between(a, b ident.Target) string  { return string(min(a, b)) + "=" + string(max(a, b)) }
func (w *world) db(t ident.Target) *database {
	return w.dbs[slices.IndexFunc(w.dbs, func(d *database) bool { return d.id == t })]
}

// isolate cuts or heals a database's links to the others.
func (w *world) isolate(d *database, cut bool) {
	for _, o := range w.dbs {
		w.cut[between(d.id, o.id)] = cut
	}
}

func (w *world) tick(i int) {
	x := w.watchers[i]
	if !w.now.Before(x.paused) {
		w.step(i, Tick{})
	}
	w.after(Resolution, func() { w.tick(i) })
}

// step gives an event to a watcher, later when it is paused.
func (w *world) step(i int, e Event) {
	x := w.watchers[i]
	if w.now.Before(x.paused) {
		w.after(x.paused.Sub(w.now), func() { w.step(i, e) })
		return
	}
	for _, a := range x.m.Step(w.now, e) {
		switch a := a.(type) {
		case Probe:
			w.probe(i, a)
		case RaiseTerm:
			w.call(i, a.Target, CallTimeout, func(d *database) Event {
				o := d.raise(a.Term)
				return TermRaised{a.Target, a.Term, o, d.status()}
			}, TermRaised{Target: a.Target, Term: a.Term})
		case Promote:
			w.call(i, a.Target, CallTimeout, func(d *database) Event {
				return Promoted{a.Target, a.Term, d.promote(a.Term, len(a.Members))}
			}, Promoted{Target: a.Target, Term: a.Term})
		case Follow:
			w.call(i, a.Target, CallTimeout, func(d *database) Event {
				return Followed{a.Target, a.Term, d.follow(a.Term, a.Primary)}
			}, Followed{Target: a.Target, Term: a.Term})
		case PrimaryLearned:
			if a.Elected {
				x.elected = append(x.elected, w.now)
			}
		case Transition:
			w.notes, w.notedAt = append(w.notes, a), append(w.notedAt, w.now)
		}
	}
}

func (w *world) probe(i int, a Probe) {
	x := w.watchers[i]
	if w.probed != nil {
		w.probed[a.Target]++
	}
	if a.NewConn {
		w.call(i, a.Target, NewProbeTimeout, func(d *database) Event {
			x.silent[a.Target] = false
			return ProbeAnswered{d.status(), true}
		}, ProbeFailed{a.Target, true})
		return
	}
	if x.silent[a.Target] {
		w.after(ProbeTimeout, func() {
			// A call without an answer closes its connection; only with new
			// probes do both exist side by side.
			x.silent[a.Target] = x.m.Policy == PolicyEvidence
			w.step(i, ProbeFailed{a.Target, false})
		})
		return
	}
	w.call(i, a.Target, ProbeTimeout, func(d *database) Event { return ProbeAnswered{d.status(), false} }, ProbeFailed{a.Target, false})
}

// call runs f at a database and gives its event, or lost after the timeout.
func (w *world) call(i int, t ident.Target, timeout time.Duration, f func(*database) Event, lost Event) {
	done := false
	end := func(e Event) {
		if !done {
			done = true
			w.step(i, e)
		}
	}
	d, l := w.db(t), link(i, t)
	w.send(l, func() {
		d.serve(func() {
			e := f(d)
			w.send(l, func() { end(e) })
		})
	})
	w.after(timeout, func() { end(lost) })
}

// leader returns the database that leads the highest term, nil without one.
func (w *world) leader() *database {
	var best *database
	for _, d := range w.dbs {
		if !d.down && d.role == topo.RolePrimary && (best == nil || d.promised > best.promised) {
			best = d
		}
	}
	return best
}

func (w *world) configure(members []Member) {
	for i := range w.watchers {
		w.step(i, Configured{Members: members})
	}
}

func (w *world) heal() {
	clear(w.cut)
	w.loss = 0
	for _, d := range w.dbs {
		d.restart()
		d.frozen = time.Time{}
	}
}
