package roster

import (
	"time"

	"chervilspan.example/pkg/ident"
)

// Primary returns the presumed primary of a group.
func (t *Table) Primary(id ident.Group) (ident.Target, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	g := t.groups[id]
	if g == nil || g.primary == "" {
		return "", false
	}
	return g.primary, true
}

// LastPrimary returns the last presumed primary of a group, also after it was
// deposed; empty for none.
func (t *Table) LastPrimary(id ident.Group) ident.Target {
	t.mu.Lock()
	defer t.mu.Unlock()
	if g := t.groups[id]; g != nil {
		return g.lastPrimary
	}
	return ""
}

// ConfirmPrimary records that a database acted as the primary. It reports whether
// the presumed primary has changed.
func (t *Table) ConfirmPrimary(gid ident.Group, id ident.Target) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	g := t.groupOf(gid)
	if g.primary == id {
		return false
	}
	g.setPrimary(id)
	t.notify()
	return true
}

// ProposePrimary records that a database acted as the primary, unless another one is
// the presumed primary or this one was deposed a moment ago. It reports whether the
// database is now the presumed primary, and whether that is new.
func (t *Table) ProposePrimary(gid ident.Group, id ident.Target, now time.Time) (changed, ok bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	g := t.groupOf(gid)
	switch {
	case g.primary == id:
		return false, true
	case g.primary != "" || now.Sub(g.deposedAt[id]) <= deposedPeriod:
		return false, false
	}
	g.setPrimary(id)
	t.notify()
	return true, true
}

// DeposePrimary records that a database was not the primary at now. It reports
// whether the database was the presumed primary.
func (t *Table) DeposePrimary(gid ident.Group, id ident.Target, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	g := t.groupOf(gid)
	g.deposedAt[id] = now
	if g.primary != id {
		return false
	}
	g.primary = ""
	t.notify()
	return true
}
