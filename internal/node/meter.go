package node

import (
	"sync"
	"time"

	"github.com/uber-go/tally/v4"

	"chervilspan.example/internal/engine"
	"chervilspan.example/internal/metr"
	"chervilspan.example/pkg/access"
	"chervilspan.example/pkg/dbop"
)

// meter counts answers to callers by workspace, class and outcome, and retries by
// reason.
type meter struct {
	scope      tally.Scope
	workspaces metr.LabelValues

	mu      sync.Mutex
	answers map[answerKey]answerMetrics
	retries map[dbop.Code]tally.Counter
	shed    map[shedKey]tally.Counter
	// rejected has the counters of rejected messages.
	rejected map[engine.Kind]tally.Counter
}

type shedKey struct {
	class string
	cause engine.ShedCause
}

type answerKey struct {
	workspace, class string
	code             dbop.Code
}

type answerMetrics struct {
	count   tally.Counter
	latency tally.Histogram
}

// latencyBuckets are the upper bounds of the histogram of statement latency.
var latencyBuckets = tally.DurationBuckets{
	2 * time.Millisecond, 5 * time.Millisecond, 10 * time.Millisecond, 20 * time.Millisecond, 50 * time.Millisecond,
	100 * time.Millisecond, 200 * time.Millisecond, 500 * time.Millisecond, time.Second, 2 * time.Second, 5 * time.Second,
}

func newMeter(scope tally.Scope) *meter {
	return &meter{scope: scope, answers: map[answerKey]answerMetrics{}, retries: map[dbop.Code]tally.Counter{}, shed: map[shedKey]tally.Counter{}, rejected: map[engine.Kind]tally.Counter{}}
}

// CountAnswer implements engine.Meter.
func (m *meter) CountAnswer(auth *access.Authorization, _ dbop.Kind, code dbop.Code, took time.Duration) {
	k := answerKey{m.workspaces.Bound(string(auth.Workspace)), string(auth.Class), code}
	m.mu.Lock()
	a, ok := m.answers[k]
	if !ok {
		s := m.scope.Tagged(map[string]string{"workspace": k.workspace, "class": k.class, "outcome": code.String()})
		a = answerMetrics{s.Counter("statements"), s.Histogram("statement_seconds", latencyBuckets)}
		m.answers[k] = a
	}
	m.mu.Unlock()
	a.count.Inc(1)
	a.latency.RecordDuration(took)
}

// CountShed implements engine.Meter.
func (m *meter) CountShed(auth *access.Authorization, cause engine.ShedCause) {
	k := shedKey{string(auth.Class), cause}
	count(m, m.shed, k, "statements_shed", map[string]string{"class": k.class, "cause": string(cause)})
}

// CountRetry implements engine.Meter.
func (m *meter) CountRetry(reason dbop.Code) {
	count(m, m.retries, reason, "retries", map[string]string{"reason": reason.String()})
}

// CountRejection implements engine.Meter.
func (m *meter) CountRejection(k engine.Kind) {
	count(m, m.rejected, k, "messages_rejected", map[string]string{"reason": k.String()})
}

// count increments the counter of a key, which is created with the name and tags.
func count[K comparable](m *meter, counters map[K]tally.Counter, k K, name string, tags map[string]string) {
	m.mu.Lock()
	c, ok := counters[k]
	if !ok {
		c = m.scope.Tagged(tags).Counter(name)
		counters[k] = c
	}
	m.mu.Unlock()
	c.Inc(1)
}
