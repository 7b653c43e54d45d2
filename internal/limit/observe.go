package limit

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"github.com/uber-go/tally/v4"

	"chervilspan.example/internal/evlog"
	"chervilspan.example/internal/metr"
	"chervilspan.example/pkg/ident"
	"chervilspan.example/pkg/quota"
)

// Limits of metrics and logs.
const (
	// otherWorkspaces is the label of workspaces beyond the bound on labels. It is
	// not an identifier, so no workspace has this name.
	otherWorkspaces = "(other)"
	// refusalLogInterval is the least time between two logged refusals of one
	// workspace.
	refusalLogInterval = 10 * time.Second
)

// Usage is the state of a workspace at this VM.
type Usage struct {
	Workspace ident.Workspace
	// Limit applies to the whole fleet.
	Limit quota.Limit
	// RequestRate is the recent number of requests per second at this VM.
	RequestRate       float64
	Admitted, Refused uint64
	// Queued is the number of requests that wait for tokens.
	Queued int
	// HeldSliceCount is the number of slices of the workspace's shard that this VM
	// holds.
	HeldSliceCount int
}

// reportState holds the values of a workspace at its last report.
type reportState struct {
	counts          quota.Counts
	slotRefused     uint64
	refused         uint64
	refusalLoggedAt time.Time
}

// metrics holds the metrics of each workspace.
type metrics struct {
	scope       tally.Scope
	byWorkspace map[ident.Workspace]*counters
	labels      metr.LabelValues
}

type counters struct {
	admitted, refused, slotRefused, borrowRequests, borrowed, lent tally.Counter
	queued                                                         tally.Gauge
}

func (m *metrics) countersOf(ws ident.Workspace) *counters {
	m.labels.Other = otherWorkspaces
	ws = ident.Workspace(m.labels.Bound(string(ws)))
	if c := m.byWorkspace[ws]; c != nil {
		return c
	}
	if m.byWorkspace == nil {
		m.byWorkspace = map[ident.Workspace]*counters{}
	}
	s := m.scope.Tagged(map[string]string{"workspace": string(ws)})
	c := &counters{
		admitted: s.Counter("admitted"), refused: s.Counter("refused_rate"), slotRefused: s.Counter("refused_slot"),
		borrowRequests: s.Counter("borrow_requests"), borrowed: s.Counter("borrowed_tokens"), lent: s.Counter("lent_tokens"),
		queued: s.Gauge("queued"),
	}
	m.byWorkspace[ws] = c
	return c
}

// Snapshot returns the state of each workspace of the catalogue, by name.
func (l *Limiter) Snapshot() []Usage {
	v, now := l.view.Load(), l.now()
	out := make([]Usage, 0, len(v.workspaces))
	for ws, e := range v.workspaces {
		if e.isTarget {
			continue
		}
		cfg := v.cat.Workspaces[ws]
		e.mu.Lock()
		c := e.acct.Counts()
		u := Usage{
			Workspace: ws, Limit: quota.Limit{Rate: cfg.Rate, Burst: cfg.Burst}, RequestRate: e.acct.Demand(now),
			Admitted: c.Admitted, Refused: c.Refused, Queued: e.acct.Queued(), HeldSliceCount: e.acct.HeldSliceCount(),
		}
		e.mu.Unlock()
		u.Refused += e.slotRefused.Load()
		out = append(out, u)
	}
	slices.SortFunc(out, func(a, b Usage) int { return cmp.Compare(a.Workspace, b.Workspace) })
	return out
}

// report adds the changes since the last report to the metrics, and logs refusals.
// Only maintainView calls it.
func (l *Limiter) report() {
	now := time.Now()
	for ws, e := range l.view.Load().workspaces {
		if e.isTarget {
			continue
		}
		e.mu.Lock()
		c, queued := e.acct.Counts(), e.acct.Queued()
		e.mu.Unlock()
		previous := e.lastReport.counts
		e.lastReport.counts = c
		slot := e.slotRefused.Load()
		m := l.metrics.countersOf(ws)
		m.admitted.Inc(int64(c.Admitted - previous.Admitted))
		m.refused.Inc(int64(c.Refused - previous.Refused))
		m.slotRefused.Inc(int64(slot - e.lastReport.slotRefused))
		m.borrowRequests.Inc(int64(c.BorrowRequests - previous.BorrowRequests))
		m.borrowed.Inc(int64(c.Borrowed/ident.Token - previous.Borrowed/ident.Token))
		m.lent.Inc(int64(c.Lent/ident.Token - previous.Lent/ident.Token))
		m.queued.Update(float64(queued))
		e.lastReport.slotRefused = slot
		if c.Refused > e.lastReport.refused && now.Sub(e.lastReport.refusalLoggedAt) >= refusalLogInterval {
			evlog.At(l.cfg.Log, evlog.WorkspaceRefused).Str("workspace", string(ws)).Uint64("refused", c.Refused-e.lastReport.refused).Send()
			e.lastReport.refused, e.lastReport.refusalLoggedAt = c.Refused, now
		}
	}
}

func (l *Limiter) logStore(err error) {
	if err == nil {
		evlog.At(l.cfg.Log, evlog.SharesStoreUp).Send()
		return
	}
	evlog.At(l.cfg.Log, evlog.SharesStoreDown).Err(err).Time("until", l.deadline()).Send()
}

func (l *Limiter) logLease() {
	evlog.At(l.cfg.Log, evlog.LeaseGranted).Time("until", l.deadline()).Send()
}

func (l *Limiter) logLapse() { evlog.At(l.cfg.Log, evlog.LeaseLapsed).Send() }

func (l *Limiter) logClaim(s quota.Slice) {
	evlog.At(l.cfg.Log, evlog.SliceClaimed).Str("slice", sliceName(s)).Send()
}

func (l *Limiter) logRelease(s quota.Slice) {
	evlog.At(l.cfg.Log, evlog.SliceReleased).Str("slice", sliceName(s)).Send()
}

func sliceName(s quota.Slice) string { return strings.TrimPrefix(s.Key(), "slice/") }
