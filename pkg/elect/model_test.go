package elect

import (
	"slices"
	"time"

	"chervilspan.example/pkg/ident"
	"chervilspan.example/pkg/topo"
)

// entry is a log entry of a simulated database; id distinguishes entries at the
// same position.
type entry struct {
	term ident.Term
	id   int
}

// database simulates a target according to A1 to A4, with asynchronous
// replication.
type database struct {
	w            *simulation
	id           ident.Target
	promised     ident.Term
	promotedTerm ident.Term
	role         topo.Role
	primary      ident.Target
	log          []entry
	match        map[ident.Target]int
	matchTerm    ident.Term
	quorum       int
	contactAt    time.Time
	rebuiltAt    time.Time
	down         bool
	frozenUntil  time.Time
	members      int
}

// serve runs f unless the database is down. While the database is frozen, f is
// delayed.
func (d *database) serve(f func()) {
	switch {
	case d.down:
	case d.w.now.Before(d.frozenUntil):
		d.w.schedule(d.frozenUntil.Sub(d.w.now), func() { d.serve(f) })
	default:
		f()
	}
}

func (d *database) position(n int) ident.Position {
	if n == 0 {
		return ident.Position{}
	}
	return ident.Position{Term: d.log[n-1].term, Index: uint64(n)}
}

func (d *database) status() topo.Status {
	c := time.Duration(-1)
	if !d.contactAt.IsZero() {
		c = d.w.now.Sub(d.contactAt)
	}
	return topo.Status{
		Target: d.id, Term: d.promised, Role: d.role, Log: d.position(len(d.log)), MatchTerm: d.matchTerm,
		Quorum: d.position(d.quorum), Primary: d.primary, ContactAge: c,
	}
}

func (d *database) raise(t ident.Term) Outcome {
	if t <= d.promised {
		return OutcomeRefused
	}
	d.promised = t
	if d.role == topo.RolePrimary {
		d.role, d.primary, d.quorum = topo.RoleReplica, "", 0
	}
	return OutcomeDone
}

func (d *database) promote(t ident.Term, members int) Outcome {
	if d.promised != t || d.promotedTerm == t {
		return OutcomeRefused
	}
	for p, a := range d.w.acked {
		if a.term < t && (uint64(len(d.log)) < p.Index || d.log[p.Index-1].id != a.id) {
			d.w.recordErrorf("%s takes term %d without the acknowledged entry %v", d.id, t, p)
		}
	}
	d.promotedTerm, d.role, d.primary, d.members = t, topo.RolePrimary, d.id, members
	d.match, d.quorum, d.matchTerm = map[ident.Target]int{}, 0, t
	d.append()
	return OutcomeDone
}

func (d *database) append() {
	d.w.entries++
	d.log = append(d.log[:len(d.log):len(d.log)], entry{d.promised, d.w.entries})
	d.advanceQuorum()
}

func (d *database) follow(t ident.Term, primary ident.Target) Outcome {
	if t < d.promised || d.promotedTerm == t {
		return OutcomeRefused
	}
	if d.primary != primary || d.role == topo.RolePrimary {
		d.contactAt = time.Time{}
	}
	d.promised, d.primary, d.quorum = t, primary, 0
	if d.role == topo.RolePrimary {
		d.role = topo.RoleReplica
	}
	return OutcomeDone
}

// writePeriodically appends an entry to a primary and replicates it, every
// 50 ms.
func (d *database) writePeriodically() {
	d.w.schedule(50*time.Millisecond, d.writePeriodically)
	if d.down || d.w.now.Before(d.frozenUntil) || d.role != topo.RolePrimary {
		return
	}
	d.append()
	t, log := d.promised, d.log
	for _, o := range d.w.databases {
		if o != d {
			d.w.send(databaseLink(d.id, o.id), func() { o.serve(func() { o.replicate(d, t, log) }) })
		}
	}
}

func (d *database) replicate(from *database, t ident.Term, log []entry) {
	if d.promised != t || d.primary != from.id || d.role == topo.RolePrimary {
		return
	}
	d.contactAt = d.w.now
	n := len(d.log)
	switch {
	case n > len(log) && slices.Equal(d.log[:len(log)], log):
		if d.matchTerm == t {
			return // an older message
		}
		fallthrough
	case n > 0 && (n > len(log) || d.log[n-1] != log[n-1]):
		if d.role != topo.RoleRebuild {
			d.role, d.rebuiltAt = topo.RoleRebuild, d.w.now.Add(300*time.Millisecond)
			d.log = nil
			return
		}
	}
	if d.role == topo.RoleRebuild && d.w.now.Before(d.rebuiltAt) {
		return
	}
	d.role, d.log, d.matchTerm = topo.RoleReplica, log, t
	n = len(log)
	d.w.send(databaseLink(d.id, from.id), func() {
		from.serve(func() {
			if from.role == topo.RolePrimary && from.promised == t {
				from.match[d.id] = max(from.match[d.id], n)
				from.advanceQuorum()
			}
		})
	})
}

// advanceQuorum acknowledges the entries of the primary's own term that a
// majority holds.
func (d *database) advanceQuorum() {
	held := []int{len(d.log)}
	for _, n := range d.match {
		held = append(held, n)
	}
	slices.Sort(held)
	slices.Reverse(held)
	if len(held) < d.members/2+1 {
		return
	}
	n := held[d.members/2]
	if n <= d.quorum || n == 0 || d.log[n-1].term != d.promised {
		return
	}
	for i := d.quorum; i < n; i++ {
		d.w.ack(d, ident.Position{Term: d.log[i].term, Index: uint64(i + 1)}, d.log[i].id)
	}
	d.quorum = n
}

func (w *simulation) ack(d *database, p ident.Position, id int) {
	if by, ok := w.ackedBy[d.promised]; ok && by != d.id {
		w.recordErrorf("%s and %s acknowledge in term %d", by, d.id, d.promised)
	}
	w.ackedBy[d.promised] = d.id
	was, ok := w.acked[p]
	if ok && was.id != id {
		w.recordErrorf("two entries are acknowledged at %v", p)
	}
	if !ok || d.promised < was.term {
		w.acked[p] = ack{id, d.promised}
	}
	w.lastAck = w.now
	for _, o := range w.databases {
		if o.promotedTerm > d.promised && o.role == topo.RolePrimary && (uint64(len(o.log)) < p.Index || o.log[p.Index-1].id != id) {
			w.recordErrorf("%s acknowledges %v after %s took term %d without it", d.id, p, o.id, o.promotedTerm)
		}
	}
}

// crash stops a database; restart starts it again with its log and promised
// term.
func (d *database) crash() { d.down = true }

func (d *database) restart() {
	if !d.down {
		return
	}
	d.down, d.contactAt, d.quorum, d.match = false, time.Time{}, 0, nil
	if d.role == topo.RolePrimary {
		d.role, d.primary = topo.RoleReplica, ""
	}
}
