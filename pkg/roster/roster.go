package roster

import (
	"cmp"
	"maps"
	"slices"
	"sync"
	"time"

	"chervilspan.example/pkg/ident"
	"chervilspan.example/pkg/store"
)

const (
	// unreachablePeriod is how long a database that could not be reached is
	// tried last.
	unreachablePeriod = time.Second
	// deposedPeriod is how long the list cannot make a database the primary after
	// it refused a writing transaction, since the list lags.
	deposedPeriod = 2 * time.Second
	// outageGracePeriod is how long after an outage of the list entries may be
	// missing before their databases count as removed.
	outageGracePeriod = 2500 * time.Millisecond
	// completeDelay is how long the list must have been read without an outage
	// before it counts as complete: entries that expired in an outage which ended
	// just before are back within two seconds, and a report takes one more.
	completeDelay = 3500 * time.Millisecond
)

// Entry is the description of a database in the platform's list.
type Entry struct {
	ID      ident.Target
	Group   ident.Group
	Address string
	Zone    ident.Zone
	Slots   int
	// Primary is set when the database reports itself as its group's primary.
	Primary bool
	// Leaving databases get no new work.
	Leaving bool
	// ProcessStart is the start of the database's process in Unix milliseconds.
	// It orders the processes that ran under the same id, and Sequence orders the
	// reports of one process.
	ProcessStart int64
	Sequence     int64
	// Revision is that of the entry in the store, 0 if it is not known. It orders the
	// reports of one epoch, whatever these say of themselves.
	Revision store.Revision
	// ColdLeft is for how long after the report the database is cold; 0 means that
	// it is warm.
	ColdLeft time.Duration
	// ColdUnknown is set when the report does not tell ColdLeft, ColdInvalid when it
	// has a value for it that is not usable.
	ColdUnknown, ColdInvalid bool
}

// defaultSlots applies to a database that does not report its slots.
const defaultSlots = 4

// SlotCount returns the number of statements that the database runs at once.
func (e Entry) SlotCount() int {
	if e.Slots <= 0 {
		return defaultSlots
	}
	return e.Slots
}

// supersedes reports whether e replaces o, an entry of the same id.
func (e Entry) supersedes(o Entry) bool {
	if e.Revision != 0 && o.Revision != 0 && e.Revision.Epoch() == o.Revision.Epoch() {
		return e.Revision > o.Revision
	}
	return cmp.Or(cmp.Compare(e.ProcessStart, o.ProcessStart), cmp.Compare(e.Sequence, o.Sequence)) > 0
}

// Member is a database of a group.
type Member struct {
	Entry
	// FailedAt is when the database last could not be reached; the zero time
	// means that it has not failed or has answered since.
	FailedAt time.Time
	// LaggedAt is when the database last refused a read because it lacked log
	// entries.
	LaggedAt time.Time
	// MissingSince is when the entry was first found missing from the list; the
	// zero time means that it counts as listed.
	MissingSince time.Time
}

// Reachable reports whether no attempt to reach the database failed within
// the last unreachablePeriod, or it has answered since.
func (m *Member) Reachable(now time.Time) bool {
	return m.FailedAt.IsZero() || now.Sub(m.FailedAt) >= unreachablePeriod
}

type group struct {
	members   map[ident.Target]*Member
	primary   ident.Target
	deposedAt map[ident.Target]time.Time
	// lastPrimary is the last known primary.
	lastPrimary ident.Target
	// usable caches the list of usable members; nil when it has to be rebuilt.
	usable []Member
}

// Table is the table of groups. The zero Table is empty and ready for use. A
// Table is safe for concurrent use.
type Table struct {
	mu      sync.Mutex
	groups  map[ident.Group]*group
	changed chan struct{}
	// lastOutage is when the list was last known to be incomplete.
	lastOutage time.Time
	loaded     bool
	// firstRead is when the list was first read.
	firstRead time.Time
}

// RecordOutage records that the list could not be read at now. Entries that are
// missing after the outage are kept for a short time.
func (t *Table) RecordOutage(now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.lastOutage = now
}

// Update processes the complete list, read at now. Reports that do not supersede
// the known ones are ignored.
func (t *Table) Update(entries []Entry, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.loaded {
		t.loaded, t.firstRead = true, now
	}
	seen := make(map[ident.Target]ident.Group, len(entries))
	for _, e := range entries {
		seen[e.ID] = e.Group
		t.setEntry(e, now)
	}
	grace := !t.lastOutage.IsZero() && now.Sub(t.lastOutage) < outageGracePeriod
	for gid, g := range t.groups {
		for id, m := range g.members {
			if group, ok := seen[id]; ok && group == gid {
				if !m.MissingSince.IsZero() {
					m.MissingSince, g.usable = time.Time{}, nil
				}
				continue
			}
			if grace {
				continue
			}
			if m.MissingSince.IsZero() {
				m.MissingSince = now
			}
			g.usable = nil
		}
		g.removeExpired(now)
	}
	t.notify()
}

// Merge processes the reports in a list that may be stale: databases that are
// missing from it are kept.
func (t *Table) Merge(entries []Entry, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, e := range entries {
		if g := t.groups[e.Group]; g != nil && g.members[e.ID] != nil && !g.members[e.ID].MissingSince.IsZero() {
			continue // a more recent list does not contain it
		}
		t.setEntry(e, now)
	}
	t.notify()
}

// missingRetentionPeriod is how long a member is kept after it left the list.
const missingRetentionPeriod = 30 * time.Second

func (g *group) removeExpired(now time.Time) {
	for id, m := range g.members {
		if !m.MissingSince.IsZero() && now.Sub(m.MissingSince) > missingRetentionPeriod {
			delete(g.members, id)
		}
	}
	for id, at := range g.deposedAt {
		if now.Sub(at) > deposedPeriod {
			delete(g.deposedAt, id)
		}
	}
}

func (t *Table) setEntry(e Entry, now time.Time) {
	g := t.groupOf(e.Group)
	m := g.members[e.ID]
	if m == nil {
		m = &Member{}
		g.members[e.ID] = m
	} else if !e.supersedes(m.Entry) {
		return
	}
	if e.ProcessStart != m.ProcessStart || e.Address != m.Address {
		m.FailedAt, m.LaggedAt = time.Time{}, time.Time{}
	}
	m.Entry = e
	g.usable = nil
	if g.primary == "" && e.Primary && now.Sub(g.deposedAt[e.ID]) > deposedPeriod {
		g.setPrimary(e.ID)
	}
}

func (t *Table) groupOf(id ident.Group) *group {
	if t.groups == nil {
		t.groups = map[ident.Group]*group{}
	}
	g := t.groups[id]
	if g == nil {
		g = &group{members: map[ident.Target]*Member{}, deposedAt: map[ident.Target]time.Time{}}
		t.groups[id] = g
	}
	return g
}

func (g *group) setPrimary(id ident.Target) {
	g.primary, g.lastPrimary = id, id
	delete(g.deposedAt, id)
}

// Loaded reports whether the complete list has been read at least once.
func (t *Table) Loaded() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.loaded
}

// ListComplete reports whether the list counts as complete at now: it has been
// read for completeDelay without an outage.
func (t *Table) ListComplete(now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.loaded && now.Sub(t.firstRead) >= completeDelay && now.Sub(t.lastOutage) >= completeDelay
}

// UsableMembers returns the databases of a group that may get new work, in order
// of id. The caller must not modify the result.
func (t *Table) UsableMembers(id ident.Group) []Member {
	t.mu.Lock()
	defer t.mu.Unlock()
	g := t.groups[id]
	if g == nil {
		return nil
	}
	if g.usable == nil {
		g.usable = make([]Member, 0, len(g.members))
		for _, tid := range slices.Sorted(maps.Keys(g.members)) {
			if m := g.members[tid]; m.MissingSince.IsZero() && !m.Leaving {
				g.usable = append(g.usable, *m)
			}
		}
	}
	return g.usable
}

// AllMembers returns all known databases of a group in order of id, including
// those that are leaving or recently left the list.
func (t *Table) AllMembers(id ident.Group) []Member {
	t.mu.Lock()
	defer t.mu.Unlock()
	g := t.groups[id]
	if g == nil {
		return nil
	}
	out := make([]Member, 0, len(g.members))
	for _, tid := range slices.Sorted(maps.Keys(g.members)) {
		out = append(out, *g.members[tid])
	}
	return out
}

// Member returns a database of a group.
func (t *Table) Member(gid ident.Group, id ident.Target) (Member, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if g := t.groups[gid]; g != nil && g.members[id] != nil {
		return *g.members[id], true
	}
	return Member{}, false
}

// Groups returns the names of all groups in sorted order.
func (t *Table) Groups() []ident.Group {
	t.mu.Lock()
	defer t.mu.Unlock()
	return slices.Sorted(maps.Keys(t.groups))
}

// RecordFailure records that a database could not be reached at now.
func (t *Table) RecordFailure(gid ident.Group, id ident.Target, now time.Time) {
	t.updateMember(gid, id, func(m *Member) { m.FailedAt = now })
}

// RecordAnswer records that a database answered.
func (t *Table) RecordAnswer(gid ident.Group, id ident.Target) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if g := t.groups[gid]; g != nil {
		if m := g.members[id]; m != nil && !m.FailedAt.IsZero() {
			m.FailedAt = time.Time{}
			g.usable = nil
		}
	}
}

// RecordLag records that a database refused a read at now because it lacked log
// entries.
func (t *Table) RecordLag(gid ident.Group, id ident.Target, now time.Time) {
	t.updateMember(gid, id, func(m *Member) { m.LaggedAt = now })
}

func (t *Table) updateMember(gid ident.Group, id ident.Target, f func(*Member)) {
	t.mu.Lock()
	defer t.mu.Unlock()
	g := t.groups[gid]
	if g == nil || g.members[id] == nil {
		return
	}
	f(g.members[id])
	g.usable = nil
}

// Changed returns a channel that is closed when a list has been processed or a
// primary becomes known or unknown.
func (t *Table) Changed() <-chan struct{} {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.changed == nil {
		t.changed = make(chan struct{})
	}
	return t.changed
}

func (t *Table) notify() {
	if t.changed != nil {
		close(t.changed)
		t.changed = nil
	}
}
