package topo

import (
	"cmp"
	"maps"
	"slices"
	"sync"
	"time"

	"chervilspan.example/pkg/catal"
	"chervilspan.example/pkg/ident"
)

// Role is the role of a target in its group.
type Role string

// Roles that a target reports.
const (
	RolePrimary Role = "primary"
	RoleReplica Role = "replica"
	// RoleRebuild means that the target is copying its data anew and serves no
	// statements.
	RoleRebuild Role = "rebuild"
)

// Status is a target's report of its own state.
type Status struct {
	Target ident.Target
	// Term is the promised term. The target refuses lower ones.
	Term ident.Term
	Role Role
	// Log is the position of the last entry.
	Log ident.Position
	// MatchTerm is the term in which the log was last found equal to the
	// primary's.
	MatchTerm ident.Term
	// Quorum is the position that a majority holds, as the primary knows it.
	Quorum  ident.Position
	Primary ident.Target
	// ContactAge is the time since the last replication contact with the
	// primary; negative if there was none.
	ContactAge  time.Duration
	Slots       uint32
	Connections uint32
	Leaving     bool
}

// Target is the table's row for one target.
type Target struct {
	ID     ident.Target
	Config catal.Target
	// Status is the last status received, at StatusAt. StatusAt is zero if
	// there was none.
	Status   Status
	StatusAt time.Time
	// Applied is the highest position the target is known to have applied.
	Applied ident.Position
	// FailedAt is when the target was last found unreachable; zero if it has
	// been reached since.
	FailedAt time.Time
}

// Group is a snapshot of a database group.
type Group struct {
	ID      ident.Group
	Term    ident.Term
	Primary ident.Target
	// LearnedAt is when the term became known here. A status received before
	// does not tell whether the target follows the primary of this term.
	LearnedAt time.Time
	Ack       catal.Ack
	// Targets is sorted by id.
	Targets []Target
}

// Target returns the row of a target.
func (g *Group) Target(id ident.Target) (Target, bool) {
	i, ok := slices.BinarySearchFunc(g.Targets, id, func(t Target, id ident.Target) int { return cmp.Compare(t.ID, id) })
	if !ok {
		return Target{}, false
	}
	return g.Targets[i], true
}

// Majority returns the smallest number of targets that is more than half.
func (g *Group) Majority() int { return len(g.Targets)/2 + 1 }

// Hint names the primary of a term.
type Hint struct {
	Group   ident.Group
	Term    ident.Term
	Primary ident.Target
}

// Table is the shared table of groups. The zero Table is empty and ready for
// use. Its methods may be called concurrently.
type Table struct {
	mu     sync.RWMutex
	groups map[ident.Group]*Group
}

// Configure replaces the groups by those of a catalogue. The state of targets
// whose address is unchanged is kept.
func (t *Table) Configure(c *catal.Catalogue) {
	t.mu.Lock()
	defer t.mu.Unlock()
	next := make(map[ident.Group]*Group, len(c.Groups))
	for id, cfg := range c.Groups {
		g := &Group{ID: id, Ack: cmp.Or(cfg.Ack, catal.AckMajority)}
		old := t.groups[id]
		if old != nil {
			g.Term, g.Primary, g.LearnedAt = old.Term, old.Primary, old.LearnedAt
		}
		for _, tid := range slices.Sorted(maps.Keys(cfg.Targets)) {
			row := Target{ID: tid, Config: cfg.Targets[tid]}
			if old != nil {
				if prev, ok := old.Target(tid); ok && prev.Config.Address == row.Config.Address {
					row.Status, row.StatusAt, row.Applied, row.FailedAt = prev.Status, prev.StatusAt, prev.Applied, prev.FailedAt
				}
			}
			g.Targets = append(g.Targets, row)
		}
		next[id] = g
	}
	t.groups = next
}

// Group returns a snapshot of a group; ok is false when the catalogue has no
// group of that name.
func (t *Table) Group(id ident.Group) (g Group, ok bool) {
	t.mu.RLock()
	defer t.mu.RUnlock()
	p := t.groups[id]
	if p == nil {
		return Group{}, false
	}
	g = *p
	g.Targets = slices.Clone(p.Targets)
	return g, true
}

// Groups returns the names of all groups in sorted order.
func (t *Table) Groups() []ident.Group {
	t.mu.RLock()
	defer t.mu.RUnlock()
	return slices.Sorted(maps.Keys(t.groups))
}

// Learn records the primary of a hint and reports whether the table changed. A
// term below the known one is ignored, and so is a second primary of the known
// term.
func (t *Table) Learn(h Hint) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	g := t.groups[h.Group]
	if g == nil || h.Primary == "" {
		return false
	}
	if h.Term < g.Term || h.Term == g.Term && g.Primary != "" {
		return false
	}
	g.Term, g.Primary, g.LearnedAt = h.Term, h.Primary, time.Now()
	return true
}

// Hints returns a hint for each group with a known primary, sorted by the names
// of the groups.
func (t *Table) Hints() []Hint {
	t.mu.RLock()
	defer t.mu.RUnlock()
	out := make([]Hint, 0, len(t.groups))
	for _, id := range slices.Sorted(maps.Keys(t.groups)) {
		if g := t.groups[id]; g.Primary != "" {
			out = append(out, Hint{Group: id, Term: g.Term, Primary: g.Primary})
		}
	}
	return out
}

// RecordStatus records a status received from a target. A status of a primary with a
// term above the known one sets the term and primary of the group.
func (t *Table) RecordStatus(group ident.Group, s Status, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	g, row := t.row(group, s.Target)
	if row == nil {
		return
	}
	row.Status, row.StatusAt, row.FailedAt = s, now, time.Time{}
	row.Applied = s.Log
	if s.Role == RolePrimary && (s.Term > g.Term || s.Term == g.Term && g.Primary == "") {
		g.Term, g.Primary, g.LearnedAt = s.Term, s.Target, now
	}
}

// RecordApplied records a position that a target reported with an answer, and
// that the target is reachable.
func (t *Table) RecordApplied(group ident.Group, target ident.Target, p ident.Position) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if _, row := t.row(group, target); row != nil {
		row.Applied = row.Applied.Max(p)
		row.FailedAt = time.Time{}
	}
}

// RecordFailure records that a target could not be reached.
func (t *Table) RecordFailure(group ident.Group, target ident.Target, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if _, row := t.row(group, target); row != nil {
		row.FailedAt = now
	}
}

func (t *Table) row(group ident.Group, target ident.Target) (*Group, *Target) {
	g := t.groups[group]
	if g == nil {
		return nil, nil
	}
	for i := range g.Targets {
		if g.Targets[i].ID == target {
			return g, &g.Targets[i]
		}
	}
	return nil, nil
}
