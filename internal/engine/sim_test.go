package engine

import (
	"container/heap"
	"flag"
	"fmt"
	"math/rand/v2"
	"time"

	"chervilspan.example/internal/dbpool"
	"chervilspan.example/pkg/ident"
	"chervilspan.example/pkg/roster"
	"chervilspan.example/pkg/speed"
)

// constantsOnly runs the load patterns with the constants of readCost, to compare.
var constantsOnly = flag.Bool("constants", false, "run the load patterns without learned speed")

// objective is the latency objective of the callers: a statement of seven times the
// mean time and a short wait meet it.
const objective = 200 * time.Millisecond

// event is a step of the queue model.
type event struct {
	at  time.Duration
	seq int
	do  func()
}

type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	return e[i].at < e[j].at || e[i].at == e[j].at && e[i].seq < e[j].seq
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)   { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

// simDB is a database with slots and a queue, behind one lender.
type simDB struct {
	m      roster.Member
	slow   func(t time.Duration, busy int) float64 // nil: 1
	fail   func(t time.Duration, zone ident.Zone) bool
	stall  func(t time.Duration) time.Duration // delay at the lender
	busy   int
	queue  []func()
	model  speed.Model
	stalls speed.Stalls
	// sent and waiting are the lender's.
	sent    int
	waiting []func()
}

// simVM is a borrower.
type simVM struct {
	zone  ident.Zone
	view  speed.View
	loads map[ident.Target]dbpool.Load
	heard map[ident.Target]time.Duration
	own   map[ident.Target]int
}

// sample is one statement.
type sample struct {
	class    ident.Class
	zone     ident.Zone
	at, took time.Duration
	target   ident.Target
	failed   bool
}

// sim is a deterministic queue model of one group with its callers.
type sim struct {
	now     time.Duration
	seq     int
	events  events
	rnd     *rand.Rand
	dbs     []*simDB
	vms     []*simVM
	samples []sample
}

var simStart = time.Unix(1_000, 0)

// newSim returns a group of a primary and two replicas in three zones, with four
// slots each, and VMs in these zones.
func newSim(vms int, seed uint64) *sim {
	s := &sim{rnd: rand.New(rand.NewPCG(seed, 0))}
	for i := range 3 {
		e := roster.Entry{ID: ident.Target(fmt.Sprintf("d%d", i)), Zone: ident.Zone(fmt.Sprintf("z%d", i)), Slots: 4}
		s.dbs = append(s.dbs, &simDB{m: roster.Member{Entry: e}})
	}
	for i := range vms {
		s.vms = append(s.vms, &simVM{
			zone: s.dbs[i%3].m.Zone, loads: map[ident.Target]dbpool.Load{},
			heard: map[ident.Target]time.Duration{}, own: map[ident.Target]int{},
		})
	}
	return s
}

func (s *sim) after(d time.Duration, f func()) {
	s.seq++
	heap.Push(&s.events, event{s.now + d, s.seq, f})
}

func (s *sim) run(until time.Duration) {
	for len(s.events) > 0 && s.events[0].at < until {
		e := heap.Pop(&s.events).(event)
		s.now = e.at
		e.do()
	}
	s.now = until
}

// arrivals starts statements of a class at a rate for each second.
func (s *sim) arrivals(class ident.Class, mean time.Duration, rate func(t time.Duration, z ident.Zone) float64, until time.Duration) {
	for _, vm := range s.vms {
		var next func()
		next = func() {
			r := max(rate(s.now, vm.zone)*3/float64(len(s.vms)), 0.01)
			s.after(min(time.Duration(s.rnd.ExpFloat64()/r*float64(time.Second)), time.Second), func() {
				if s.now < until {
					s.read(vm, class, s.serviceTime(mean), map[ident.Target]bool{}, s.now)
					next()
				}
			})
		}
		next()
	}
}

// serviceTime varies by a quarter, with a tail of seven times the mean at 3%.
func (s *sim) serviceTime(mean time.Duration) time.Duration {
	f := 0.75 + 0.5*s.rnd.Float64()
	if s.rnd.Float64() < 0.03 {
		f = 7
	}
	return time.Duration(f * float64(mean))
}

func (s *sim) choose(vm *simVM, class ident.Class, tried map[ident.Target]bool) *simDB {
	at := Place{Zone: vm.zone, Region: "r", RegionOf: func(ident.Zone) ident.Region { return "r" }}
	now := simStart.Add(s.now)
	var best twoBest
	for i, db := range s.dbs {
		if tried[db.m.ID] {
			continue
		}
		l := vm.loads[db.m.ID]
		l.Age = s.now - vm.heard[db.m.ID]
		if l.Age > time.Second {
			l = dbpool.Load{Age: time.Second}
		}
		l.HasIdle, l.Busy, l.Own = true, max(l.Busy, vm.own[db.m.ID]), vm.own[db.m.ID]
		c := readChoice{member: &db.m, age: l.Age}
		var e speed.Estimate
		if *constantsOnly {
			c.age = 0
		} else {
			e = vm.view.Estimate(db.m.ID, speed.ClassOf(class), now)
		}
		c.total, c.load = readCost(&db.m, at, l, e, i == 0, now)
		best.add(c)
	}
	if best.first.member == nil {
		return nil
	}
	id := best.choose(s.rnd.Float64()).ID
	for _, db := range s.dbs {
		if db.m.ID == id {
			return db
		}
	}
	return nil
}

// read runs a statement: it opens a connection at the lender, waits for its turn
// there, and runs at the database.
func (s *sim) read(vm *simVM, class ident.Class, service time.Duration, tried map[ident.Target]bool, began time.Duration) {
	db := s.choose(vm, class, tried)
	if db == nil {
		s.samples = append(s.samples, sample{class, vm.zone, began, s.now - began, "", true})
		return
	}
	tried[db.m.ID] = true
	vm.own[db.m.ID]++
	end := func(failed bool) {
		vm.own[db.m.ID]--
		vm.view.RecordResult(db.m.ID, failed, simStart.Add(s.now))
		if failed {
			s.read(vm, class, service, tried, began)
			return
		}
		s.samples = append(s.samples, sample{class, vm.zone, began, s.now - began, db.m.ID, false})
	}
	s.after(time.Millisecond, func() {
		now := simStart.Add(s.now)
		r, ok := db.model.Report(speed.ClassOf(class), db.m.Slots, now)
		load := dbpool.Load{Busy: db.sent, Waiting: len(db.waiting), FailureRate: db.model.Failures.Rate(now)}
		s.after(time.Millisecond, func() {
			vm.loads[db.m.ID], vm.heard[db.m.ID] = load, s.now
			if ok {
				vm.view.Record(db.m.ID, r, simStart.Add(s.now))
			}
		})
		start := func() { s.send(vm, db, class, service, end) }
		if db.sent < s.limit(db) {
			start()
			return
		}
		db.waiting = append(db.waiting, start)
	})
}

func (s *sim) limit(db *simDB) int {
	if *constantsOnly {
		return db.m.Slots
	}
	return db.model.Limit(db.m.Slots, simStart.Add(s.now))
}

// send runs a statement at the database, as the lender does.
func (s *sim) send(vm *simVM, db *simDB, class ident.Class, service time.Duration, end func(failed bool)) {
	db.sent++
	sent, inProgress := s.now, db.sent
	db.offer(func() {
		took := service
		if db.slow != nil {
			took = time.Duration(float64(service) * db.slow(s.now, db.busy))
		}
		failed := db.fail != nil && db.fail(s.now, vm.zone)
		if failed {
			took = time.Millisecond
		}
		s.after(took, func() {
			db.leave()
			var delay time.Duration
			if db.stall != nil {
				delay = db.stall(s.now)
			}
			s.after(delay, func() {
				db.sent--
				now := simStart.Add(s.now)
				a := speed.Answer{Class: speed.ClassOf(class), Took: s.now - sent, InProgress: inProgress, Stalled: db.stalls.Since(simStart.Add(sent), now)}
				if failed {
					a.Outcome = speed.Failed
				}
				db.model.Record(a, now)
				db.model.Failures.Record(failed, now)
				for db.sent < s.limit(db) && len(db.waiting) > 0 {
					next := db.waiting[0]
					db.waiting = db.waiting[1:]
					next()
				}
				s.after(time.Millisecond, func() { end(failed) })
			})
		})
	})
}

func (db *simDB) offer(run func()) {
	if db.busy >= db.m.Slots {
		db.queue = append(db.queue, run)
		return
	}
	db.busy++
	run()
}

func (db *simDB) leave() {
	db.busy--
	if len(db.queue) > 0 {
		run := db.queue[0]
		db.queue = db.queue[1:]
		db.busy++
		run()
	}
}

// measure returns the fraction of the statements of a class that began in a period and
// met the objective, and the fraction that ran at the database d1. which is a class, the
// zone of the callers, or "" for all.
func (s *sim) measure(which string, from, to time.Duration) (met, atD1 float64) {
	all := 0
	for _, x := range s.samples {
		if x.at < from || x.at >= to || which != "" && string(x.class) != which && string(x.zone) != which {
			continue
		}
		all++
		if !x.failed && x.took <= objective {
			met++
		}
		if x.target == "d1" {
			atD1++
		}
	}
	return met / float64(max(all, 1)), atD1 / float64(max(all, 1))
}
