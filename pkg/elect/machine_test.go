package elect

import (
	"flag"
	"os"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"chervilspan.example/pkg/ident"
	"chervilspan.example/pkg/topo"
)

// TestMain fixes the seed of the property tests; -rapid.seed overrides it.
func TestMain(m *testing.M) {
	flag.Parse()
	if f := flag.Lookup("rapid.seed"); f.Value.String() == "0" {
		_ = f.Value.Set("20261204")
	}
	os.Exit(m.Run())
}

// TestSafetyAndRecovery guards against the loss of an acknowledged write, two
// primaries that acknowledge writes in one term, and a group that stays without a
// primary after faults have ended.
func TestSafetyAndRecovery(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		policy := rapid.SampledFrom([]Policy{PolicyEvidence, PolicyEvidence, PolicyTimeout}).Draw(t, "policy")
		w := newSimulation(rapid.Uint64().Draw(t, "seed"), rapid.SampledFrom([]int{3, 3, 5}).Draw(t, "databases"), 3, policy)
		w.advance(3 * time.Second)
		db := func() *database { return w.databases[rapid.IntRange(0, len(w.databases)-1).Draw(t, "db")] }
		after := func() { w.advance(time.Duration(rapid.IntRange(10, 2500).Draw(t, "ms")) * time.Millisecond) }
		t.Repeat(map[string]func(*rapid.T){
			"crash":   func(*rapid.T) { db().crash(); after() },
			"restart": func(*rapid.T) { db().restart(); after() },
			"depose": func(*rapid.T) {
				if d := w.leader(); d != nil {
					d.crash()
				}
				after()
			},
			"freeze": func(t *rapid.T) {
				db().frozenUntil = w.now.Add(time.Duration(rapid.IntRange(50, 3000).Draw(t, "frozen")) * time.Millisecond)
				after()
			},
			"isolate": func(t *rapid.T) { w.isolate(db(), rapid.Bool().Draw(t, "cut")); after() },
			"blind": func(t *rapid.T) {
				w.cutLinks[watcherLink(rapid.IntRange(0, 2).Draw(t, "watcher"), db().id)] = rapid.Bool().Draw(t, "cut")
				after()
			},
			"silence": func(t *rapid.T) {
				w.watchers[rapid.IntRange(0, 2).Draw(t, "watcher")].silentConns[db().id] = true
				after()
			},
			"pause": func(t *rapid.T) {
				x := w.watchers[rapid.IntRange(0, 2).Draw(t, "watcher")]
				x.pausedUntil = w.now.Add(time.Duration(rapid.IntRange(50, 3000).Draw(t, "paused")) * time.Millisecond)
				after()
			},
			"loss": func(t *rapid.T) { w.lossRate = rapid.SampledFrom([]float64{0, 0.05, 0.3}).Draw(t, "loss"); after() },
			"heal": func(*rapid.T) { w.heal(); after() },
			"leave": func(t *rapid.T) {
				members := w.watchers[0].m.memberConfigs()
				m := &members[rapid.IntRange(0, len(members)-1).Draw(t, "member")]
				m.Leaving = !m.Leaving
				w.configure(members)
				after()
			},
			"": func(t *rapid.T) {
				if len(w.errs) > 0 {
					t.Fatal(w.errs[0])
				}
			},
		})
		w.heal()
		w.advance(45 * time.Second)
		if len(w.errs) > 0 {
			t.Fatal(w.errs[0])
		}
		if w.now.Sub(w.lastAck) > time.Second {
			t.Fatalf("no acknowledgement since %v after healing", w.now.Sub(w.lastAck))
		}
		for _, d := range w.databases {
			if l := w.leader(); d != l && (d.primary != l.id || d.promised != l.promised || d.role != topo.RoleReplica) {
				t.Fatalf("%s does not follow %s: %+v", d.id, l.id, d.status())
			}
		}
	})
}

// TestNoNeedlessFailover guards against a failover caused only by jitter and by
// pauses of 200 ms of databases and watchers.
func TestNoNeedlessFailover(t *testing.T) {
	is := is.New(t)
	for seed := range uint64(30) {
		w := newSimulation(seed, 3, 3, PolicyEvidence)
		w.advance(3 * time.Second)
		l := w.leader()
		is.True(l != nil)
		for range 60 {
			pause := w.now.Add(200 * time.Millisecond)
			if w.rng.IntN(2) == 0 {
				w.databases[w.rng.IntN(3)].frozenUntil = pause
			} else {
				w.watchers[w.rng.IntN(3)].pausedUntil = pause
			}
			w.advance(w.randomDuration(time.Second))
		}
		is.Equal(w.leader(), l)
		is.Equal(len(w.ackedBy), 1)
	}
}

// TestWatcherPathsFail guards against a failover when the watchers' existing
// connections, or all their connections, fail to reach a primary with which the
// replicas still have contact.
func TestWatcherPathsFail(t *testing.T) {
	for name, fault := range map[string]func(w *simulation, i int, d *database){
		"old connections silent": func(w *simulation, i int, d *database) { w.watchers[i].silentConns[d.id] = true },
		"watchers cut":           func(w *simulation, i int, d *database) { w.cutLinks[watcherLink(i, d.id)] = true },
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			w := newSimulation(5, 3, 3, PolicyEvidence)
			w.advance(3 * time.Second)
			l := w.leader()
			w.transitions = nil
			for i := range 3 {
				fault(w, i, l)
			}
			w.advance(20 * time.Second)
			is.Equal(w.leader(), l)
			is.Equal(len(w.ackedBy), 1)
			if name == "old connections silent" {
				is.Equal(len(w.transitions), 0) // a new connection is tried before a suspicion
			}
		})
	}
}

// runFailover simulates one failure of the primary. It returns the time until
// the promotion, measured from the failure and from the suspicion.
func runFailover(seed uint64, fail func(w *simulation, d *database)) (sinceFault, sinceSuspicion time.Duration, w *simulation) {
	w = newSimulation(seed, 3, 3, PolicyEvidence)
	w.advance(3*time.Second + w.randomDuration(time.Second))
	l, term := w.leader(), w.leader().promised
	w.transitions, w.transitionTimes = nil, nil
	start := w.now
	fail(w, l)
	for !w.replaced(l, term) {
		w.advance(time.Millisecond)
		if w.now.Sub(start) > time.Minute {
			return time.Minute, time.Minute, w
		}
	}
	for i, n := range w.transitions {
		if n.Kind == TransitionSuspected {
			return w.now.Sub(start), w.now.Sub(w.transitionTimes[i]), w
		}
	}
	return w.now.Sub(start), 0, w
}

// replaced reports whether a database other than l is the primary of a term
// above term. A primary that has only lost contact with its replicas has not
// been replaced.
func (w *simulation) replaced(l *database, term ident.Term) bool {
	now := w.leader()
	return now != nil && now != l && now.promised > term
}

var faults = map[string]func(w *simulation, d *database){
	"crash":  func(_ *simulation, d *database) { d.crash() },
	"freeze": func(w *simulation, d *database) { d.frozenUntil = w.now.Add(time.Hour) },
	"cut": func(w *simulation, d *database) {
		w.isolate(d, true)
		for i := range 3 {
			w.cutLinks[watcherLink(i, d.id)] = true
		}
	},
	"crash without the first watcher": func(w *simulation, d *database) {
		w.watchers[0].pausedUntil = w.now.Add(time.Hour)
		d.crash()
	},
	"cut from replicas": func(w *simulation, d *database) { w.isolate(d, true) },
}

func failoverTimes(fail func(w *simulation, d *database)) (fault, suspicion []time.Duration) {
	for seed := range uint64(200) {
		f, s, _ := runFailover(seed, fail)
		fault, suspicion = append(fault, f), append(suspicion, s)
	}
	slices.Sort(fault)
	slices.Sort(suspicion)
	return fault, suspicion
}

// TestFailoverTime guards against a failover that exceeds its objective: from
// suspicion to promotion 1 s in the median and 2.5 s at worst.
func TestFailoverTime(t *testing.T) {
	for name, fail := range faults {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			_, s := failoverTimes(fail)
			is.True(s[len(s)/2] <= time.Second)
			is.True(s[len(s)-1] <= 2500*time.Millisecond)
		})
	}
}

// BenchmarkFailover reports the virtual time to the promotion, from the fault
// and from the first suspicion, over 200 seeded runs.
func BenchmarkFailover(b *testing.B) {
	for name, fail := range faults {
		b.Run(name, func(b *testing.B) {
			for range b.N {
				f, s := failoverTimes(fail)
				for _, q := range []struct {
					unit string
					list []time.Duration
				}{{"fault", f}, {"suspicion", s}} {
					n := len(q.list)
					b.ReportMetric(float64(q.list[n/2].Milliseconds()), q.unit+"_p50_ms")
					b.ReportMetric(float64(q.list[n*95/100].Milliseconds()), q.unit+"_p95_ms")
					b.ReportMetric(float64(q.list[n-1].Milliseconds()), q.unit+"_max_ms")
				}
			}
		})
	}
}

// TestSwitchover guards against a leaving primary that is never replaced, and
// against one that is replaced while its replicas lag.
func TestSwitchover(t *testing.T) {
	is := is.New(t)
	w := newSimulation(11, 3, 3, PolicyEvidence)
	w.advance(3 * time.Second)
	l := w.leader()
	members := w.watchers[0].m.memberConfigs()
	for i := range members {
		members[i].Leaving = members[i].ID == l.id
	}
	w.isolate(l, true) // no replica keeps up, and the group must not switch over to a lagging one
	w.configure(members)
	w.isolate(l, false)
	w.advance(5 * time.Second)
	is.True(w.leader() != l)
	is.Equal(len(w.errs), 0)
	is.Equal(l.primary, w.leader().id)
	is.True(w.now.Sub(w.lastAck) < time.Second)
}

// TestMembersChanged guards against a primary that keeps its role after the
// catalogue has removed it, and against one that still computes its quorum over
// former members.
func TestMembersChanged(t *testing.T) {
	is := is.New(t)
	w := newSimulation(13, 4, 3, PolicyEvidence)
	w.advance(3 * time.Second)
	l := w.leader()
	all := w.watchers[0].m.memberConfigs()
	w.configure(slices.DeleteFunc(slices.Clone(all), func(m Member) bool { return m.ID == l.id }))
	w.advance(5 * time.Second)
	next := w.leader()
	is.True(next != l)
	is.Equal(next.members, 3)
	w.configure(all)
	w.advance(5 * time.Second)
	is.Equal(w.leader().members, 4)
	is.Equal(l.primary, w.leader().id)
	is.True(w.now.Sub(w.lastAck) < time.Second)
	is.Equal(len(w.errs), 0)
}

// TestGroupSizes guards against groups of sizes other than three that never get
// a primary, at first or after all their databases have restarted.
func TestGroupSizes(t *testing.T) {
	for _, n := range []int{1, 2, 4, 5} {
		is := is.New(t)
		w := newSimulation(uint64(n), n, 3, PolicyEvidence)
		for range 2 {
			w.advance(5 * time.Second)
			is.True(w.leader() != nil)
			is.True(w.now.Sub(w.lastAck) < time.Second)
			for _, d := range w.databases {
				d.crash()
				d.restart()
			}
		}
	}
}

// TestChooseCandidate guards against a new primary that lacks entries, is in
// another region than the former one, or is about to leave, although a better
// candidate exists.
func TestChooseCandidate(t *testing.T) {
	type db struct {
		region  ident.Region
		index   uint64
		leaving bool
	}
	for _, c := range []struct {
		name string
		dbs  [3]db
		want ident.Target
	}{
		{"highest log", [3]db{{"r", 5, false}, {"s", 6, false}, {"r", 5, false}}, "b"},
		{"region of the former primary", [3]db{{"s", 5, false}, {"s", 5, false}, {"r", 5, false}}, "c"},
		{"lowest id", [3]db{{"s", 5, false}, {"r", 5, false}, {"r", 5, false}}, "b"},
		{"one that stays", [3]db{{"r", 9, true}, {"s", 5, false}, {"s", 6, false}}, "c"},
		{"no majority without those that leave", [3]db{{"r", 9, true}, {"s", 5, true}, {"s", 5, false}}, "a"},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			m := Machine{primaryRegion: "r", election: election{promises: map[ident.Target]topo.Status{}}}
			var members []Member
			for i, d := range c.dbs {
				id := ident.Target(rune('a' + i))
				members = append(members, Member{ID: id, Region: d.region, Leaving: d.leaving})
				m.election.promises[id] = topo.Status{Log: ident.Position{Term: 1, Index: d.index}}
			}
			m.configure(members)
			is.Equal(m.chooseCandidate(), c.want)
		})
	}
}

// TestTermAhead guards against a database that can't follow the primary because
// it promised a higher term in an election that was abandoned.
func TestTermAhead(t *testing.T) {
	is := is.New(t)
	w := newSimulation(12, 3, 3, PolicyEvidence)
	w.advance(3 * time.Second)
	l := w.leader()
	for _, d := range w.databases {
		if d != l {
			d.raise(l.promised + 3)
			break
		}
	}
	w.advance(10 * time.Second)
	for _, d := range w.databases {
		is.Equal(d.promised, w.leader().promised)
	}
	is.Equal(len(w.errs), 0)
}

// TestZeroMachine guards against a zero Machine that panics or returns actions.
func TestZeroMachine(t *testing.T) {
	is := is.New(t)
	var m Machine
	now := time.Unix(1, 0)
	for _, e := range []Event{Tick{}, ErrorsReported{}, ProbeAnswered{}, ProbeFailed{}, TermRaised{}, Promoted{}, Followed{}, Ranked{}, Configured{}, Tick{}} {
		is.Equal(len(m.Step(now, e)), 0)
	}
}

// TestDamping guards against repeated promotions caused by a flapping link: a
// primary that has not committed an entry is replaced only after a wait, which
// doubles with each promotion.
func TestDamping(t *testing.T) {
	is := is.New(t)
	var m Machine
	now := time.Unix(1, 0)
	m.Step(now, Configured{Members: []Member{{ID: "a"}, {ID: "b"}, {ID: "c"}}})
	for n, want := range []time.Duration{0, 2 * time.Second, 4 * time.Second, 8 * time.Second, 16 * time.Second, 30 * time.Second, 30 * time.Second} {
		m.Step(now, Hinted{Term: ident.Term(n + 1), Primary: "a"})
		if want > 0 {
			is.True(m.isDamped(now.Add(want - time.Millisecond)))
		}
		is.True(!m.isDamped(now.Add(want)))
		now = now.Add(time.Second)
	}
	m.primaryCommitted = true
	is.True(!m.isDamped(now))
}

// TestRebuildPromise guards against an election that counts the promise of a
// database which has dropped a diverged log: it may lack entries that it
// confirmed earlier.
func TestRebuildPromise(t *testing.T) {
	for role, promoted := range map[topo.Role]bool{topo.RoleReplica: true, topo.RoleRebuild: false} {
		is := is.New(t)
		var m Machine
		now := time.Unix(1, 0)
		m.Step(now, Configured{Members: []Member{{ID: "a"}, {ID: "b"}, {ID: "c"}}})
		for _, r := range m.members[1:] {
			r.statusAt = now
		}
		m.startElection(now, ReasonSilent)
		log := ident.Position{Term: 1, Index: 4}
		m.Step(now, TermRaised{"b", 1, OutcomeDone, topo.Status{Target: "b", Term: 1, Role: role}})
		out := m.Step(now, TermRaised{"c", 1, OutcomeDone, topo.Status{Target: "c", Term: 1, Role: topo.RoleReplica, Log: log}})
		is.Equal(slices.ContainsFunc(out, func(a Action) bool {
			p, ok := a.(Promote)
			return ok && p.Target == "c" && p.Term == 1
		}), promoted)
	}
}
