// Package metr sets up the daemon's metrics: a tally scope that reports to
// Prometheus, the HTTP handler that exposes them, and a limit on the number of
// values of a tag.
//
// # Usage
//
//	m := metr.New()
//	defer m.Close()
//	m.Scope.Tagged(map[string]string{"workspace": labels.Bound(ws)}).Counter("admitted").Inc(1)
//	http.Handle("/metrics", m.Handler())
package metr

import (
	"cmp"
	"io"
	"net/http"
	"sync"
	"time"

	prom "github.com/prometheus/client_golang/prometheus"
	"github.com/uber-go/tally/v4"
	"github.com/uber-go/tally/v4/prometheus"
)

// MaxLabelValues is the greatest number of values that one tag takes; further ones
// are counted under Other.
const MaxLabelValues = 200

// Other is the value of a tag for everything past MaxLabels.
const Other = "other"

const reportInterval = time.Second

// Metrics has the root scope.
type Metrics struct {
	Scope    tally.Scope
	closer   io.Closer
	reporter prometheus.Reporter
}

// New starts a root scope with the prefix "chervil" and latency buckets from
// 1 ms to 8 s.
func New() *Metrics {
	// A registry of its own lets several daemons run in one test process.
	reg := prom.NewRegistry()
	reporter := prometheus.NewReporter(prometheus.Options{
		Registerer: reg, Gatherer: reg,
		DefaultTimerType: prometheus.HistogramTimerType,
		DefaultHistogramBuckets: []float64{
			.001, .002, .005, .01, .02, .05, .1, .2, .5, 1, 2, 4, 8,
		},
	})
	scope, closer := tally.NewRootScope(tally.ScopeOptions{
		Prefix: "chervil", CachedReporter: reporter, Separator: prometheus.DefaultSeparator,
		SanitizeOptions: &prometheus.DefaultSanitizerOpts,
		// Tally's own counters of scopes would add series that say nothing of
		// the daemon.
		OmitCardinalityMetrics: true,
	}, reportInterval)
	return &Metrics{Scope: scope, closer: closer, reporter: reporter}
}

// Handler serves the metrics in Prometheus' text format.
func (m *Metrics) Handler() http.Handler { return m.reporter.HTTPHandler() }

// Close reports a last time and stops.
func (m *Metrics) Close() error { return m.closer.Close() }

// LabelValues bounds the values of a tag. The zero Labels is ready for use; its
// methods may be called from several goroutines.
type LabelValues struct {
	// Other stands for the values past MaxLabels; empty means Other.
	Other string

	mu   sync.Mutex
	seen map[string]struct{}
}

// Bound returns value while there are at most MaxLabels values, else Other.
func (l *LabelValues) Bound(value string) string {
	l.mu.Lock()
	defer l.mu.Unlock()
	if _, ok := l.seen[value]; ok {
		return value
	}
	if len(l.seen) >= MaxLabelValues {
		return cmp.Or(l.Other, Other)
	}
	if l.seen == nil {
		l.seen = map[string]struct{}{}
	}
	l.seen[value] = struct{}{}
	return value
}
