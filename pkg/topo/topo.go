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

// Role of a target in its group.
type Role string

// Roles that a target reports.
const (
	RolePrimary Role = "primary"
	RoleReplica Role = "replica"
	// RoleRebuild means that the target copies its data anew and serves nothing.
	RoleRebuild Role = "rebuild"
)

// Status is what a target says of itself.
type Status struct {
	Target ident.Target
	// Term is the promised term: lower ones are refused.
	Term ident.Term
	Role Role
	// Log is the position of the last entry.
	Log ident.Position
	// Match is the term in which the log was last found equal to the primary's.
	MatchTerm ident.Term
	// Quorum is the position that a majority holds, as the primary knows it.
	Quorum  ident.Position
	Primary ident.Target
	// Contact is the time since the last replication contact with the primary;
	// negative when there was none.
	ContactAge  time.Duration
	Slots       uint32
	Connections uint32
	Leaving     bool
}

// Target is the table's row for one target.
type Target struct {
	ID     ident.Target
	Config catal.Target
	// Status is the last one heard; Seen is zero when there was none.
	Status   Status
	StatusAt time.Time
	// Applied is the highest position the target is known to have applied.
	Applied ident.Position
	// Failed is when the target last could not be reached, zero when it has
	// been reached since.
	FailedAt time.Time
}

// Group is a snapshot of a database group.
type Group struct {
	ID      ident.Group
	Term    ident.Term
	Primary ident.Target
	// Since is when the term became known here. What a target said before
	// does not tell whether it has followed the primary of the term.
	LearnedAt time.Time
	Ack       catal.Ack
	// Targets in the order of their ids.
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

// Majority returns the least number of targets that is more than half.
func (g *Group) Majority() int { return len(g.Targets)/2 + 1 }

// Hint says which target is the primary of a term.
type Hint struct {
	Group   ident.Group
	Term    ident.Term
	Primary ident.Target
}

// Table is the shared table of groups. The zero Table is empty and ready for
// use; its methods may be called from several goroutines.
type Table struct {
	mu     sync.RWMutex
	groups map[ident.Group]*Group
}

// Configure takes the groups of a catalogue. What is known of targets that
// stay at the same address is kept.
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
				if was, ok := old.Target(tid); ok && was.Config.Address == row.Config.Address {
					row.Status, row.StatusAt, row.Applied, row.FailedAt = was.Status, was.StatusAt, was.Applied, was.FailedAt
				}
			}
			g.Targets = append(g.Targets, row)
		}
		next[id] = g
	}
	t.groups = next
}

// Group returns a snapshot of a group; ok is false when the catalogue has none
// of that name.
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

// Groups returns the names of all groups in order.
func (t *Table) Groups() []ident.Group {
	t.mu.RLock()
	defer t.mu.RUnlock()
	return slices.Sorted(maps.Keys(t.groups))
}

// Learn takes a hint and reports whether it was news. A lower term than the
// known one is ignored, and so is another primary of the same term.
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

// Hints returns what is known of each group that has a primary, in the order
// of the groups' names.
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

// Observe takes a status that a target sent. A target that says that it is the
// primary of a higher term than the known one teaches the table that term.
func (t *Table) Observe(group ident.Group, s Status, now time.Time) {
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

// RecordApplied notes a position that a target reported with an answer.
func (t *Table) RecordApplied(group ident.Group, target ident.Target, p ident.Position) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if _, row := t.row(group, target); row != nil {
		row.Applied = row.Applied.Max(p)
		row.FailedAt = time.Time{}
	}
}

// RecordFailure notes that a target could not be reached.
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
