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

// Bounds of what is reported.
const (
	// otherWorkspaces is not an identifier, so no workspace has this name.
	otherWorkspaces = "(other)"
	// refusedPeriod is the least time between two events about one workspace.
	refusedPeriod = 10 * time.Second
)

// Usage is the state of a workspace at this VM.
type Usage struct {
	Workspace ident.Workspace
	// Limit is that of the whole fleet.
	Limit quota.Limit
	// Used is the number of requests a second that arrived here lately.
	RequestRate       float64
	Admitted, Refused uint64
	// Queued requests wait for tokens.
	Queued int
	// Slices are those of the workspace's shard that this VM holds.
	HeldSliceCount int
}

// reported is what was reported of an entry before.
type reported struct {
	counts  quota.Counts
	slot    uint64
	refused uint64
	at      time.Time
}

// meter has the metrics by workspace.
type meter struct {
	scope tally.Scope
	known map[ident.Workspace]*counters
	names metr.LabelValues
}

type counters struct {
	admitted, refused, slotRefused, asks, borrowed, lent tally.Counter
	queued                                               tally.Gauge
}

func (m *meter) of(ws ident.Workspace) *counters {
	m.names.Other = otherWorkspaces
	ws = ident.Workspace(m.names.Bound(string(ws)))
	if c := m.known[ws]; c != nil {
		return c
	}
	if m.known == nil {
		m.known = map[ident.Workspace]*counters{}
	}
	s := m.scope.Tagged(map[string]string{"workspace": string(ws)})
	c := &counters{
		admitted: s.Counter("admitted"), refused: s.Counter("refused_rate"), slotRefused: s.Counter("refused_slot"),
		asks: s.Counter("borrow_requests"), borrowed: s.Counter("borrowed_tokens"), lent: s.Counter("lent_tokens"),
		queued: s.Gauge("queued"),
	}
	m.known[ws] = c
	return c
}

// Snapshot returns the state of each workspace of the catalogue, by name.
func (l *Limiter) Snapshot() []Usage {
	v, now := l.view.Load(), l.now()
	out := make([]Usage, 0, len(v.entries))
	for ws, e := range v.entries {
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

// report adds to the metrics what has changed, and logs refusals. Only keepView
// calls it.
func (l *Limiter) report() {
	now := time.Now()
	for ws, e := range l.view.Load().entries {
		e.mu.Lock()
		c, queued := e.acct.Counts(), e.acct.Queued()
		e.mu.Unlock()
		was := e.reported.counts
		e.reported.counts = c
		slot := e.slotRefused.Load()
		m := l.meter.of(ws)
		m.admitted.Inc(int64(c.Admitted - was.Admitted))
		m.refused.Inc(int64(c.Refused - was.Refused))
		m.slotRefused.Inc(int64(slot - e.reported.slot))
		m.asks.Inc(int64(c.BorrowRequests - was.BorrowRequests))
		m.borrowed.Inc(int64(c.Borrowed/ident.Token - was.Borrowed/ident.Token))
		m.lent.Inc(int64(c.Lent/ident.Token - was.Lent/ident.Token))
		m.queued.Update(float64(queued))
		e.reported.slot = slot
		if c.Refused > e.reported.refused && now.Sub(e.reported.at) >= refusedPeriod {
			evlog.At(l.cfg.Log, evlog.WorkspaceRefused).Str("workspace", string(ws)).Uint64("refused", c.Refused-e.reported.refused).Send()
			e.reported.refused, e.reported.at = c.Refused, now
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
