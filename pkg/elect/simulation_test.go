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

// watcher executes the actions of one machine.
type watcher struct {
	m           *Machine
	pausedUntil time.Time
	silentConns map[ident.Target]bool
	electedAt   []time.Time
}

// simulation is a discrete-event simulation with virtual time of a group, its
// watchers and the faults in force.
type simulation struct {
	now             time.Time
	queue           jobQueue
	seq             int
	rng             *rand.Rand
	databases       []*database
	watchers        []*watcher
	cutLinks        map[string]bool
	lossRate        float64
	entries         int
	acked           map[ident.Position]ack
	ackedBy         map[ident.Term]ident.Target
	lastAck         time.Time
	errs            []string
	transitions     []Transition
	transitionTimes []time.Time
	// probeCounts counts probes by target unless it is nil.
	probeCounts map[ident.Target]int
}

// ack is an acknowledged entry with the term of the first primary that
// acknowledged it.
type ack struct {
	id   int
	term ident.Term
}

type job struct {
	at  time.Time
	seq int
	f   func()
}
type jobQueue []job

func (q jobQueue) Len() int { return len(q) }
func (q jobQueue) Less(i, j int) bool {
	if !q[i].at.Equal(q[j].at) {
		return q[i].at.Before(q[j].at)
	}
	return q[i].seq < q[j].seq
}
func (q jobQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *jobQueue) Push(x any)   { *q = append(*q, x.(job)) }
func (q *jobQueue) Pop() any {
	old := *q
	x := old[len(old)-1]
	*q = old[:len(old)-1]
	return x
}

func newSimulation(seed uint64, databases, watchers int, policy Policy) *simulation {
	w := &simulation{
		now: time.Unix(1_000_000, 0), rng: rand.New(rand.NewPCG(seed, 7)), cutLinks: map[string]bool{},
		acked: map[ident.Position]ack{}, ackedBy: map[ident.Term]ident.Target{},
	}
	var members []Member
	for i := range databases {
		id := ident.Target(rune('a' + i))
		d := &database{w: w, id: id, role: topo.RoleReplica, members: databases}
		w.databases = append(w.databases, d)
		members = append(members, Member{ID: id, Address: string(id), Region: ident.Region(rune('r' + i/2))})
		w.schedule(w.randomDuration(50*time.Millisecond), d.writePeriodically)
	}
	for i := range watchers {
		x := &watcher{m: &Machine{Policy: policy, Rand: rand.NewPCG(seed, uint64(i))}, silentConns: map[ident.Target]bool{}}
		w.watchers = append(w.watchers, x)
		w.deliver(i, Configured{Members: members})
		w.deliver(i, Ranked{Rank: i})
		w.schedule(w.randomDuration(Resolution), func() { w.tick(i) })
	}
	return w
}

func (w *simulation) recordErrorf(format string, a ...any) {
	w.errs = append(w.errs, fmt.Sprintf(format, a...))
}

func (w *simulation) randomDuration(d time.Duration) time.Duration {
	return time.Duration(w.rng.Int64N(int64(d)))
}

func (w *simulation) networkDelay() time.Duration {
	return time.Millisecond + w.randomDuration(30*time.Millisecond)
}

func (w *simulation) schedule(d time.Duration, f func()) {
	w.seq++
	heap.Push(&w.queue, job{w.now.Add(d), w.seq, f})
}

func (w *simulation) advance(d time.Duration) {
	end := w.now.Add(d)
	for len(w.queue) > 0 && !w.queue[0].at.After(end) {
		j := heap.Pop(&w.queue).(job)
		w.now = j.at
		j.f()
	}
	w.now = end
}

// send calls f after a network delay, unless the message is lost or the link is
// cut when the message is sent or arrives.
func (w *simulation) send(link string, f func()) {
	if w.cutLinks[link] || w.rng.Float64() < w.lossRate {
		return
	}
	w.schedule(w.networkDelay(), func() {
		if !w.cutLinks[link] {
			f()
		}
	})
}

func watcherLink(i int, d ident.Target) string { return fmt.Sprintf("%d-%s", i, d) }
func databaseLink(a, b ident.Target) string    { return string(min(a, b)) + "=" + string(max(a, b)) }

func (w *simulation) database(t ident.Target) *database {
	return w.databases[slices.IndexFunc(w.databases, func(d *database) bool { return d.id == t })]
}

// isolate cuts or restores the links of a database to the other databases.
func (w *simulation) isolate(d *database, cut bool) {
	for _, o := range w.databases {
		w.cutLinks[databaseLink(d.id, o.id)] = cut
	}
}

func (w *simulation) tick(i int) {
	x := w.watchers[i]
	if !w.now.Before(x.pausedUntil) {
		w.deliver(i, Tick{})
	}
	w.schedule(Resolution, func() { w.tick(i) })
}

// deliver passes an event to a watcher, delayed while the watcher is paused.
func (w *simulation) deliver(i int, e Event) {
	x := w.watchers[i]
	if w.now.Before(x.pausedUntil) {
		w.schedule(x.pausedUntil.Sub(w.now), func() { w.deliver(i, e) })
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
				x.electedAt = append(x.electedAt, w.now)
			}
		case Transition:
			w.transitions, w.transitionTimes = append(w.transitions, a), append(w.transitionTimes, w.now)
		}
	}
}

func (w *simulation) probe(i int, a Probe) {
	x := w.watchers[i]
	if w.probeCounts != nil {
		w.probeCounts[a.Target]++
	}
	if a.NewConn {
		w.call(i, a.Target, NewProbeTimeout, func(d *database) Event {
			x.silentConns[a.Target] = false
			return ProbeAnswered{d.status(), true}
		}, ProbeFailed{a.Target, true})
		return
	}
	if x.silentConns[a.Target] {
		w.schedule(ProbeTimeout, func() {
			// A call without an answer closes its connection. Only when new
			// connections are probed can a silent one stay open beside a new
			// one.
			x.silentConns[a.Target] = x.m.Policy == PolicyEvidence
			w.deliver(i, ProbeFailed{a.Target, false})
		})
		return
	}
	w.call(i, a.Target, ProbeTimeout, func(d *database) Event { return ProbeAnswered{d.status(), false} }, ProbeFailed{a.Target, false})
}

// call runs f at a database and delivers its event, or lost when the timeout
// expires first.
func (w *simulation) call(i int, t ident.Target, timeout time.Duration, f func(*database) Event, lost Event) {
	done := false
	end := func(e Event) {
		if !done {
			done = true
			w.deliver(i, e)
		}
	}
	d, l := w.database(t), watcherLink(i, t)
	w.send(l, func() {
		d.serve(func() {
			e := f(d)
			w.send(l, func() { end(e) })
		})
	})
	w.schedule(timeout, func() { end(lost) })
}

// leader returns the primary with the highest term, or nil if there is none.
func (w *simulation) leader() *database {
	var best *database
	for _, d := range w.databases {
		if !d.down && d.role == topo.RolePrimary && (best == nil || d.promised > best.promised) {
			best = d
		}
	}
	return best
}

func (w *simulation) configure(members []Member) {
	for i := range w.watchers {
		w.deliver(i, Configured{Members: members})
	}
}

func (w *simulation) heal() {
	clear(w.cutLinks)
	w.lossRate = 0
	for _, d := range w.databases {
		d.restart()
		d.frozenUntil = time.Time{}
	}
}
