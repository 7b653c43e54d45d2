package wire

import (
	"sync"
	"time"

	"github.com/uber-go/tally/v4"

	"chervilspan.example/internal/metr"
	"chervilspan.example/pkg/access"
	"chervilspan.example/pkg/ident"
	"chervilspan.example/pkg/retry"
)

// latencyBuckets reach from 100 µs to 13 s, each twice the one before.
var latencyBuckets = tally.MustMakeExponentialDurationBuckets(100*time.Microsecond, 2, 18)

// statementMetrics has the metrics of callers' statements and logins.
type statementMetrics struct {
	scope  tally.Scope
	mu     sync.Mutex
	series map[seriesKey]*series
	// workspaces bounds the number of workspaces with series of their own.
	workspaces metr.LabelValues
}

type seriesKey struct {
	workspace ident.Workspace
	class     ident.Class
}

// series has the metrics of one workspace and class.
type series struct {
	outcomes [retry.Done + 1]tally.Counter
	latency  tally.Histogram
	replica  tally.Counter
	primary  tally.Counter
}

func newStatementMetrics(scope tally.Scope) *statementMetrics {
	return &statementMetrics{scope: scope, series: map[seriesKey]*series{}}
}

func (m *statementMetrics) increment(name string) { m.scope.Counter(name).Inc(1) }

// seriesOf returns the series of a session's workspace and class. Workspaces beyond
// the bound share the series of "other".
func (m *statementMetrics) seriesOf(auth access.Authorization) *series {
	m.mu.Lock()
	defer m.mu.Unlock()
	key := seriesKey{ident.Workspace(m.workspaces.Bound(string(auth.Workspace))), auth.Class}
	if r := m.series[key]; r != nil {
		return r
	}
	s := m.scope.Tagged(map[string]string{"workspace": string(key.workspace), "class": string(key.class)})
	r := &series{
		latency: s.Histogram("statement_seconds", latencyBuckets),
		replica: s.Tagged(map[string]string{"role": "replica"}).Counter("reads"),
		primary: s.Tagged(map[string]string{"role": "primary"}).Counter("reads"),
	}
	for o, name := range map[retry.Outcome]string{retry.Unknown: "unknown", retry.NotRun: "not_run", retry.Done: "done"} {
		r.outcomes[o] = s.Tagged(map[string]string{"outcome": name}).Counter("statements")
	}
	m.series[key] = r
	return r
}

func (m *statementMetrics) recordStatement(auth access.Authorization, o retry.Outcome, d time.Duration) {
	r := m.seriesOf(auth)
	r.outcomes[o].Inc(1)
	r.latency.RecordDuration(d)
}

func (m *statementMetrics) recordRead(auth access.Authorization, onPrimary bool) {
	r := m.seriesOf(auth)
	if onPrimary {
		r.primary.Inc(1)
		return
	}
	r.replica.Inc(1)
}
