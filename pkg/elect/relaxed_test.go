package elect

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"chervilspan.example/pkg/ident"
)

// probes counts the probes of the watchers of a quiet group over 20 s.
func probes(databases, watchers int) (primary, replicas int) {
	w := newWorld(3, databases, watchers, PolicyEvidence)
	w.advance(5 * time.Second)
	l := w.leader()
	w.probed = map[ident.Target]int{}
	w.advance(20 * time.Second)
	for id, n := range w.probed {
		if id == l.id {
			primary = n
		} else {
			replicas += n
		}
	}
	return primary, replicas
}

// TestRelaxed guards against replicas that are probed as often as their primary
// while it is healthy, against a primary that is probed less often by the first
// watcher, and against other watchers that probe as often as the first.
func TestRelaxed(t *testing.T) {
	is := is.New(t)
	primary, replicas := probes(3, 1)
	is.True(primary >= 60)
	is.True(replicas <= 30)
	primary, replicas = probes(3, 3)
	is.True(primary <= 170) // 80 of the first watcher, 40 of each other one
	is.True(replicas <= 90)
}

// TestUrgent guards against replicas that wait for their long period when the
// primary is overdue or a daemon has seen errors.
func TestUrgent(t *testing.T) {
	for name, begin := range map[string]func(w *world){
		"overdue":   func(w *world) { w.leader().crash() },
		"suspected": func(w *world) { w.step(0, ErrorsReported{}) },
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			w := newWorld(5, 3, 1, PolicyEvidence)
			w.advance(5 * time.Second)
			l := w.leader()
			w.probed = map[ident.Target]int{}
			begin(w)
			w.advance(probePeriod*11/10 + overdue + Resolution)
			for _, d := range w.dbs {
				is.True(d == l || w.probed[d.id] > 0)
			}
		})
	}
}

// BenchmarkProbes reports the probes a second of a quiet group's three watchers,
// as the mean of one watcher.
func BenchmarkProbes(b *testing.B) {
	for _, n := range []int{1, 3, 5} {
		b.Run(fmt.Sprint("databases=", n), func(b *testing.B) {
			for range b.N {
				primary, replicas := probes(n, 3)
				b.ReportMetric(float64(primary)/20/3, "primary/watcher-s")
				b.ReportMetric(float64(replicas)/20/3, "replicas/watcher-s")
			}
		})
	}
}
