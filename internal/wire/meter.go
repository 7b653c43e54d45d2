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

// meter has the metrics of callers' statements.
type meter struct {
	scope tally.Scope
	mu    sync.Mutex
	rows  map[label]*row
	names metr.LabelValues
}

type label struct {
	workspace ident.Workspace
	class     ident.Class
}

// row has the metrics of one workspace and class.
type row struct {
	outcomes [retry.Done + 1]tally.Counter
	latency  tally.Histogram
	replica  tally.Counter
	primary  tally.Counter
}

func newMeter(scope tally.Scope) *meter {
	return &meter{scope: scope, rows: map[label]*row{}}
}

func (m *meter) count(name string) { m.scope.Counter(name).Inc(1) }

// row returns the metrics of a grant, those of other beyond the bound.
func (m *meter) row(g access.Authorization) *row {
	m.mu.Lock()
	defer m.mu.Unlock()
	l := label{ident.Workspace(m.names.Bound(string(g.Workspace))), g.Class}
	if r := m.rows[l]; r != nil {
		return r
	}
	s := m.scope.Tagged(map[string]string{"workspace": string(l.workspace), "class": string(l.class)})
	r := &row{
		latency: s.Histogram("statement_seconds", latencyBuckets),
		replica: s.Tagged(map[string]string{"role": "replica"}).Counter("reads"),
		primary: s.Tagged(map[string]string{"role": "primary"}).Counter("reads"),
	}
	for o, name := range map[retry.Outcome]string{retry.Unknown: "unknown", retry.NotRun: "not_run", retry.Done: "done"} {
		r.outcomes[o] = s.Tagged(map[string]string{"outcome": name}).Counter("statements")
	}
	m.rows[l] = r
	return r
}

func (m *meter) statement(g access.Authorization, o retry.Outcome, d time.Duration) {
	r := m.row(g)
	r.outcomes[o].Inc(1)
	r.latency.RecordDuration(d)
}

func (m *meter) read(g access.Authorization, onPrimary bool) {
	r := m.row(g)
	if onPrimary {
		r.primary.Inc(1)
		return
	}
	r.replica.Inc(1)
}
