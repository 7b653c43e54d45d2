package node

import (
	"sync"
	"time"

	"github.com/uber-go/tally/v4"

	"chervilspan.example/internal/metr"
	"chervilspan.example/pkg/access"
	"chervilspan.example/pkg/dbop"
)

// meter counts what callers were told, by workspace, route and outcome.
type meter struct {
	scope      tally.Scope
	workspaces metr.LabelValues

	mu      sync.Mutex
	answers map[answerKey]answerMeter
	retries map[dbop.Code]tally.Counter
}

type answerKey struct {
	workspace, class string
	code             dbop.Code
}

type answerMeter struct {
	count tally.Counter
	took  tally.Histogram
}

// buckets of the latency of statements.
var buckets = tally.DurationBuckets{
	2 * time.Millisecond, 5 * time.Millisecond, 10 * time.Millisecond, 20 * time.Millisecond, 50 * time.Millisecond,
	100 * time.Millisecond, 200 * time.Millisecond, 500 * time.Millisecond, time.Second, 2 * time.Second, 5 * time.Second,
}

func newMeter(scope tally.Scope) *meter {
	return &meter{scope: scope, answers: map[answerKey]answerMeter{}, retries: map[dbop.Code]tally.Counter{}}
}

// Done implements engine.Meter.
func (m *meter) CountAnswer(g *access.Authorization, _ dbop.Kind, code dbop.Code, took time.Duration) {
	k := answerKey{m.workspaces.Bound(string(g.Workspace)), string(g.Class), code}
	m.mu.Lock()
	a, ok := m.answers[k]
	if !ok {
		s := m.scope.Tagged(map[string]string{"workspace": k.workspace, "class": k.class, "outcome": code.String()})
		a = answerMeter{s.Counter("statements"), s.Histogram("statement_seconds", buckets)}
		m.answers[k] = a
	}
	m.mu.Unlock()
	a.count.Inc(1)
	a.took.RecordDuration(took)
}

// Retried implements engine.Meter.
func (m *meter) CountRetry(why dbop.Code) {
	m.mu.Lock()
	c, ok := m.retries[why]
	if !ok {
		c = m.scope.Tagged(map[string]string{"reason": why.String()}).Counter("retries")
		m.retries[why] = c
	}
	m.mu.Unlock()
	c.Inc(1)
}
