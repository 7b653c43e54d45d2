// Package metr sets up the daemon's metrics: a tally scope that reports to
// Prometheus, the HTTP handler that exposes them, and a limit on the number of
// values of a tag.
//
// # Usage
//
//	m := metr.New()
//	defer m.Close()
//	m.Scope.Tagged(map[string]string{"workspace": m.Label("workspace", ws)}).Counter("admitted").Inc(1)
//	http.Handle("/metrics", m.Handler())
package metr

import (
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/uber-go/tally/v4"
	"github.com/uber-go/tally/v4/prometheus"
)

// MaxLabels is the greatest number of values that one tag takes; further ones
// are counted under Other.
const MaxLabels = 200

// Other is the value of a tag for everything past MaxLabels.
const Other = "other"

const reportInterval = time.Second

// Metrics has the root scope.
type Metrics struct {
	Scope    tally.Scope
	closer   io.Closer
	reporter prometheus.Reporter

	mu     sync.Mutex
	labels map[string]map[string]struct{}
}

// New starts a root scope with the prefix "chervil" and latency buckets from
// 1 ms to 8 s.
func New() *Metrics {
	reporter := prometheus.NewReporter(prometheus.Options{
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
	return &Metrics{Scope: scope, closer: closer, reporter: reporter, labels: map[string]map[string]struct{}{}}
}

// Handler serves the metrics in Prometheus' text format.
func (m *Metrics) Handler() http.Handler { return m.reporter.HTTPHandler() }

// Close reports a last time and stops.
func (m *Metrics) Close() error { return m.closer.Close() }

// Label returns value while the tag has at most MaxLabels values, else Other.
func (m *Metrics) Label(tag, value string) string {
	m.mu.Lock()
	defer m.mu.Unlock()
	seen := m.labels[tag]
	if seen == nil {
		seen = map[string]struct{}{}
		m.labels[tag] = seen
	}
	if _, ok := seen[value]; ok {
		return value
	}
	if len(seen) >= MaxLabels {
		return Other
	}
	seen[value] = struct{}{}
	return value
}
