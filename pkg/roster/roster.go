package roster

import (
	"cmp"
	"maps"
	"slices"
	"sync"
	"time"

	"chervilspan.example/pkg/ident"
)

const (
	// failedLife is how long a database that could not be reached is tried last.
	failedLife = time.Second
	// deposedLife is how long a database that refused a writing transaction is
	// not taken for the primary because of the list, which lags.
	deposedLife = 2 * time.Second
	// returnGrace is how long entries may be missing after an outage of the
	// list before their databases count as gone.
	returnGrace = 2500 * time.Millisecond
	// settleTime is how long the list must have been read without an outage
	// before it counts as complete: entries that lapsed in an outage which ended
	// just before are back within two seconds, and a report takes one more.
	settleTime = 3500 * time.Millisecond
)

// Entry is a database as the platform's list has it.
type Entry struct {
	ID      ident.Target
	Group   ident.Group
	Address string
	Zone    ident.Zone
	Slots   int
	// Primary tells that the database takes itself for its group's primary.
	Primary bool
	// Leaving databases get no new work.
	Leaving bool
	// Born orders the processes that ran under the same id, and Sequence the
	// reports of one process.
	ProcessStart int64
	Sequence     int64
}

// defaultSlots stands for the slots of a database that does not tell.
const defaultSlots = 4

// SlotCount returns the number of statements that the database runs at once.
func (e Entry) SlotCount() int {
	if e.Slots <= 0 {
		return defaultSlots
	}
	return e.Slots
}

// newer reports whether e replaces o, an entry of the same id.
func (e Entry) newer(o Entry) bool {
	return cmp.Or(cmp.Compare(e.ProcessStart, o.ProcessStart), cmp.Compare(e.Sequence, o.Sequence)) > 0
}

// Member is a database of a group.
type Member struct {
	Entry
	// Failed is when the database last could not be reached, zero when it was
	// reached since.
	FailedAt time.Time
	// Behind is when the database last refused a read for want of log entries.
	LaggedAt time.Time
	// Missing is when the entry went from the list, zero while it is there.
	MissingSince time.Time
}

// Reachable reports whether the database was not found unreachable lately.
func (m *Member) Reachable(now time.Time) bool {
	return m.FailedAt.IsZero() || now.Sub(m.FailedAt) >= failedLife
}

type group struct {
	members map[ident.Target]*Member
	leader  ident.Target
	deposed map[ident.Target]time.Time
	// lastLeader is the leader known last.
	lastLeader ident.Target
	// snapshot is the list of usable members; nil when it has to be made anew.
	snapshot []Member
}

// Table is the table of groups. The zero Table is empty and ready for use; its
// methods may be called from several goroutines.
type Table struct {
	mu      sync.Mutex
	groups  map[ident.Group]*group
	changed chan struct{}
	// outage is when the list was last known to be incomplete.
	outage time.Time
	loaded bool
	// first is when the list was first read.
	first time.Time
}

// RecordOutage notes that the list could not be read at now: entries that are
// missing from it are kept for a short time after its return.
func (t *Table) RecordOutage(now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.outage = now
}

// Update takes the whole list, read at now. Older reports than the known ones
// are passed over.
func (t *Table) Update(entries []Entry, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.loaded {
		t.loaded, t.first = true, now
	}
	seen := make(map[ident.Target]bool, len(entries))
	for _, e := range entries {
		seen[e.ID] = true
		t.put(e, now)
	}
	grace := !t.outage.IsZero() && now.Sub(t.outage) < returnGrace
	for _, g := range t.groups {
		for id, m := range g.members {
			if seen[id] {
				if !m.MissingSince.IsZero() {
					m.MissingSince, g.snapshot = time.Time{}, nil
				}
				continue
			}
			if grace {
				continue
			}
			if m.MissingSince.IsZero() {
				m.MissingSince = now
			}
			g.snapshot = nil
		}
		g.forget(now)
	}
	t.notify()
}

// Merge takes reports out of a list that may be old: databases that it lacks
// stay.
func (t *Table) Merge(entries []Entry, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, e := range entries {
		if g := t.groups[e.Group]; g != nil && g.members[e.ID] != nil && !g.members[e.ID].MissingSince.IsZero() {
			continue // a later list lacked it
		}
		t.put(e, now)
	}
	t.notify()
}

// missingLife is how long a member that left the list is remembered.
const missingLife = 30 * time.Second

func (g *group) forget(now time.Time) {
	for id, m := range g.members {
		if !m.MissingSince.IsZero() && now.Sub(m.MissingSince) > missingLife {
			delete(g.members, id)
		}
	}
	for id, at := range g.deposed {
		if now.Sub(at) > deposedLife {
			delete(g.deposed, id)
		}
	}
}

func (t *Table) put(e Entry, now time.Time) {
	g := t.group(e.Group)
	m := g.members[e.ID]
	if m == nil {
		m = &Member{}
		g.members[e.ID] = m
	} else if !e.newer(m.Entry) {
		return
	}
	if e.ProcessStart != m.ProcessStart || e.Address != m.Address {
		m.FailedAt, m.LaggedAt = time.Time{}, time.Time{}
	}
	m.Entry = e
	g.snapshot = nil
	if g.leader == "" && e.Primary && now.Sub(g.deposed[e.ID]) > deposedLife {
		g.setLeader(e.ID)
	}
}

func (t *Table) group(id ident.Group) *group {
	if t.groups == nil {
		t.groups = map[ident.Group]*group{}
	}
	g := t.groups[id]
	if g == nil {
		g = &group{members: map[ident.Target]*Member{}, deposed: map[ident.Target]time.Time{}}
		t.groups[id] = g
	}
	return g
}

func (g *group) setLeader(id ident.Target) {
	g.leader, g.lastLeader = id, id
	delete(g.deposed, id)
}

// Loaded reports whether the list has been read.
func (t *Table) Loaded() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.loaded
}

// ListComplete reports whether the list counts as complete at now: it has been read
// for long enough, without an outage.
func (t *Table) ListComplete(now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.loaded && now.Sub(t.first) >= settleTime && now.Sub(t.outage) >= settleTime
}

// UsableMembers returns the databases of a group that may get work, in the order of
// their ids. The caller must not change the slice.
func (t *Table) UsableMembers(id ident.Group) []Member {
	t.mu.Lock()
	defer t.mu.Unlock()
	g := t.groups[id]
	if g == nil {
		return nil
	}
	if g.snapshot == nil {
		g.snapshot = make([]Member, 0, len(g.members))
		for _, tid := range slices.Sorted(maps.Keys(g.members)) {
			if m := g.members[tid]; m.MissingSince.IsZero() && !m.Leaving {
				g.snapshot = append(g.snapshot, *m)
			}
		}
	}
	return g.snapshot
}

// AllMembers returns every known database of a group, those that are leaving or went
// from the list lately included.
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

// Groups returns the names of all groups in order.
func (t *Table) Groups() []ident.Group {
	t.mu.Lock()
	defer t.mu.Unlock()
	return slices.Sorted(maps.Keys(t.groups))
}

// Primary returns the database that is taken for the group's primary.
func (t *Table) Primary(id ident.Group) (ident.Target, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	g := t.groups[id]
	if g == nil || g.leader == "" {
		return "", false
	}
	return g.leader, true
}

// LastPrimary returns the database that was taken for the primary last.
func (t *Table) LastPrimary(id ident.Group) ident.Target {
	t.mu.Lock()
	defer t.mu.Unlock()
	if g := t.groups[id]; g != nil {
		return g.lastLeader
	}
	return ""
}

// ConfirmPrimary notes that a database had the lead. It reports whether that is news.
func (t *Table) ConfirmPrimary(gid ident.Group, id ident.Target) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	g := t.group(gid)
	if g.leader == id {
		return false
	}
	g.setLeader(id)
	t.notify()
	return true
}

// DeposePrimary notes that a database did not have the lead at now. It reports whether
// the database was taken for the primary.
func (t *Table) DeposePrimary(gid ident.Group, id ident.Target, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	g := t.group(gid)
	g.deposed[id] = now
	if g.leader != id {
		return false
	}
	g.leader = ""
	t.notify()
	return true
}

// RecordFailure notes that a database could not be reached.
func (t *Table) RecordFailure(gid ident.Group, id ident.Target, now time.Time) {
	t.change(gid, id, func(m *Member) { m.FailedAt = now })
}

// RecordAnswer notes that a database answered.
func (t *Table) RecordAnswer(gid ident.Group, id ident.Target) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if g := t.groups[gid]; g != nil {
		if m := g.members[id]; m != nil && !m.FailedAt.IsZero() {
			m.FailedAt = time.Time{}
			g.snapshot = nil
		}
	}
}

// RecordLag notes that a database refused a read for want of log entries.
func (t *Table) RecordLag(gid ident.Group, id ident.Target, now time.Time) {
	t.change(gid, id, func(m *Member) { m.LaggedAt = now })
}

func (t *Table) change(gid ident.Group, id ident.Target, f func(*Member)) {
	t.mu.Lock()
	defer t.mu.Unlock()
	g := t.groups[gid]
	if g == nil || g.members[id] == nil {
		return
	}
	f(g.members[id])
	g.snapshot = nil
}

// Changed returns a channel that is closed when a list was taken or a primary
// became known or unknown.
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
