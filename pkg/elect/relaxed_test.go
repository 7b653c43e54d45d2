package elect

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"chervilspan.example/pkg/ident"
)

// countProbes counts the probes that the watchers of an idle group send in
// 20 s.
func countProbes(databases, watchers int) (primary, replicas int) {
	w := newSimulation(3, databases, watchers, PolicyEvidence)
	w.advance(5 * time.Second)
	l := w.leader()
	w.probeCounts = map[ident.Target]int{}
	w.advance(20 * time.Second)
	for id, n := range w.probeCounts {
		if id == l.id {
			primary = n
		} else {
			replicas += n
		}
	}
	return primary, replicas
}

// TestRelaxedProbes guards against replicas that are probed as often as their
// primary while it is healthy, against a primary that the first watcher probes
// less often, and against other watchers that probe as often as the first.
func TestRelaxedProbes(t *testing.T) {
	is := is.New(t)
	primary, replicas := countProbes(3, 1)
	is.True(primary >= 60)
	is.True(replicas <= 30)
	primary, replicas = countProbes(3, 3)
	is.True(primary <= 170) // 80 of the first watcher, 40 of each other one
	is.True(replicas <= 90)
}

// TestUrgentProbes guards against replicas that are still probed at the long
// interval when the primary's answer is overdue or a daemon has reported
// errors.
func TestUrgentProbes(t *testing.T) {
	for name, begin := range map[string]func(w *simulation){
		"overdue":   func(w *simulation) { w.leader().crash() },
		"suspected": func(w *simulation) { w.deliver(0, ErrorsReported{}) },
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			w := newSimulation(5, 3, 1, PolicyEvidence)
			w.advance(5 * time.Second)
			l := w.leader()
			w.probeCounts = map[ident.Target]int{}
			begin(w)
			w.advance(probePeriod*11/10 + probeOverdue + Resolution)
			for _, d := range w.databases {
				is.True(d == l || w.probeCounts[d.id] > 0)
			}
		})
	}
}

// BenchmarkProbes reports the probes per second of the three watchers of an
// idle group, as the mean per watcher.
func BenchmarkProbes(b *testing.B) {
	for _, n := range []int{1, 3, 5} {
		b.Run(fmt.Sprint("databases=", n), func(b *testing.B) {
			for range b.N {
				primary, replicas := countProbes(n, 3)
				b.ReportMetric(float64(primary)/20/3, "primary/watcher-s")
				b.ReportMetric(float64(replicas)/20/3, "replicas/watcher-s")
			}
		})
	}
}
