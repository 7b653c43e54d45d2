package lead

import (
	"context"
	"encoding/json"
	"slices"
	"time"

	"chervilspan.example/pkg/dbop"
	"chervilspan.example/pkg/ident"
	"chervilspan.example/pkg/roster"
	"chervilspan.example/pkg/store"
	"chervilspan.example/pkg/wait"
)

const (
	// syncInterval is the interval between comparisons of the in-sync sets with the list
	// of databases. These take no calls while the two agree.
	syncInterval = 500 * time.Millisecond
	// syncRetryDelay is the delay after a change of an in-sync set that failed, or that
	// has to wait for a replica.
	syncRetryDelay = time.Second
)

// inSyncSet has the databases of a group that may hold acknowledged commits. It lies in
// the store without a lease, so that VMs which have just started know of databases that
// are missing from the list. Every acknowledged commit is in the logs of at least two
// databases of the set, as a commit is acknowledged with one replica: a database joins
// the set when it is listed, and leaves it only when the log of the primary, as of a
// moment after it was gone, is on another one of the set.
type inSyncSet struct {
	Targets []ident.Target `json:"targets"`
	// Leaving has those that have reported that they leave. Once missing from the list,
	// they never come back.
	Leaving []ident.Target `json:"leaving,omitempty"`
	// Call is the last promotion call, unless it is known to be carried out or refused.
	Call *sentCall `json:"call,omitempty"`
	// Accepted is the highest token of a call that is known to have been accepted. Calls with
	// lower ones are void.
	Accepted store.Revision `json:"accepted,omitempty"`
}

// sentCall is a promotion call that may still be carried out.
type sentCall struct {
	// Token is that of the first try.
	Token  store.Revision `json:"token"`
	Target ident.Target   `json:"target"`
	// From is the primary that the call replaces.
	From ident.Target `json:"from,omitempty"`
}

// has reports whether a database is in the set.
func (s inSyncSet) has(id ident.Target) bool { return slices.Contains(s.Targets, id) }

// with returns the set with the databases that are listed.
func (s inSyncSet) with(l listed) inSyncSet {
	s.Targets = union(s.Targets, l.targets)
	s.Leaving = union(s.Leaving, l.leaving)
	return s
}

// covers reports whether all databases that are listed are in the set.
func (s inSyncSet) covers(l listed) bool {
	joined := s.with(l)
	return len(joined.Targets) == len(s.Targets) && len(joined.Leaving) == len(s.Leaving)
}

// without returns the set without some databases.
func (s inSyncSet) without(ids []ident.Target) inSyncSet {
	gone := func(id ident.Target) bool { return slices.Contains(ids, id) }
	s.Targets = slices.DeleteFunc(slices.Clone(s.Targets), gone)
	s.Leaving = slices.DeleteFunc(slices.Clone(s.Leaving), gone)
	return s
}

// union returns the databases of a and b in order.
func union(a, b []ident.Target) []ident.Target {
	out := append(slices.Clone(a), b...)
	slices.Sort(out)
	return slices.Compact(out)
}

// listed has the databases of a group that are listed, and those of them that leave, in
// order.
type listed struct {
	targets, leaving []ident.Target
}

func (l listed) equal(o listed) bool {
	return slices.Equal(l.targets, o.targets) && slices.Equal(l.leaving, o.leaving)
}

// storedSet is an in-sync set as last read from the store; the revision is 0 if there was
// none.
type storedSet struct {
	inSyncSet
	revision store.Revision
}

// setKey returns the key of a group's in-sync set.
func setKey(g ident.Group) string { return "insync/" + string(g) }

// keepsSet reports whether a group has an in-sync set: its commits are acknowledged with
// a replica.
func (mon *Monitor) keepsSet(g ident.Group) bool { return mon.cfg.SyncReplicas(g) > 0 }

// readSet reads the in-sync set of a group.
func (mon *Monitor) readSet(ctx context.Context, g ident.Group) (storedSet, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	e, err := store.Read(ctx, mon.cfg.Store, setKey(g))
	if err != nil {
		return storedSet{}, &Error{Op: "read in-sync set", Kind: KindStore, Group: g, Err: err}
	}
	return decodeSet(g, e)
}

func decodeSet(g ident.Group, e store.Entry) (storedSet, error) {
	s := storedSet{revision: e.Revision}
	if e.Revision == 0 {
		return s, nil
	}
	if err := json.Unmarshal(e.Value, &s.inSyncSet); err != nil {
		return s, &Error{Op: "read in-sync set", Kind: KindStore, Group: g, Err: err}
	}
	return s, nil
}

// writeSet replaces an in-sync set, unless it was changed since it was read.
func (mon *Monitor) writeSet(ctx context.Context, g ident.Group, old storedSet, s inSyncSet) (storedSet, error) {
	const op = "write in-sync set"
	raw, err := json.Marshal(s)
	if err != nil {
		return old, &Error{Op: op, Kind: KindStore, Group: g, Err: err}
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	res, err := store.Swap(ctx, mon.cfg.Store, store.Write{Key: setKey(g), Value: raw, Expected: old.revision})
	switch {
	case err != nil:
		return old, &Error{Op: op, Kind: KindStore, Group: g, Err: err}
	case !res.Done:
		return old, &Error{Op: op, Kind: KindConflict, Group: g}
	}
	return storedSet{s, res.Current.Revision}, nil
}

// listedTargets returns the databases of a group that are listed.
func (mon *Monitor) listedTargets(g ident.Group) listed {
	var out listed
	for _, m := range mon.cfg.Roster.AllMembers(g) {
		if !m.MissingSince.IsZero() {
			continue
		}
		out.targets = append(out.targets, m.ID)
		if m.Leaving {
			out.leaving = append(out.leaving, m.ID)
		}
	}
	return out
}

// runInSync keeps the in-sync sets of the groups for which this VM is the first by
// Config.Rank, until ctx ends.
func (mon *Monitor) runInSync(ctx context.Context) {
	for wait.For(ctx, syncInterval) {
		mon.mu.Lock()
		groups := make([]*groupState, 0, len(mon.groups))
		for _, st := range mon.groups {
			groups = append(groups, st)
		}
		mon.mu.Unlock()
		for _, st := range groups {
			if !mon.retired.Load() && mon.needsSync(st) {
				mon.wg.Go(func() { mon.syncSet(ctx, st) })
			}
		}
	}
}

// needsSync reports whether the in-sync set of a group has to be changed or read again,
// and marks the group as being synchronized if so.
func (mon *Monitor) needsSync(st *groupState) bool {
	if mon.cfg.Rank(st.id) != 0 {
		st.invalidateSet() // another VM keeps it
		return false
	}
	present, now := mon.listedTargets(st.id), time.Now()
	st.mu.Lock()
	defer st.mu.Unlock()
	if st.noSet && !mon.cfg.Roster.ListComplete(now) {
		return false
	}
	if st.syncing || now.Before(st.syncAt) || len(present.targets) == 0 || !mon.keepsSet(st.id) {
		return false
	}
	if !present.equal(st.syncedWith) {
		st.knownSet = nil
	}
	agrees := st.knownSet != nil && slices.Equal(present.targets, st.knownSet.Targets)
	if !agrees {
		st.syncing, st.setChanged = true, false
	}
	return !agrees
}

// invalidateSet makes the in-sync set be read again.
func (st *groupState) invalidateSet() {
	st.mu.Lock()
	defer st.mu.Unlock()
	st.dropKnownSet()
}

// dropKnownSet is invalidateSet for callers that hold st.mu.
func (st *groupState) dropKnownSet() { st.knownSet, st.setChanged = nil, true }

// syncSet adds the listed databases of a group to its in-sync set, and removes those that
// are gone and have left no commit behind that only one other database holds.
func (mon *Monitor) syncSet(ctx context.Context, st *groupState) {
	present := mon.listedTargets(st.id)
	s, err := mon.updateSet(ctx, st, present)
	if err != nil {
		mon.logInSyncFailed(st.id, err)
	}
	st.mu.Lock()
	defer st.mu.Unlock()
	st.syncing = false
	st.noSet = err != nil && s.revision == 0
	st.knownSet, st.syncedWith = nil, present
	if err == nil && !st.setChanged {
		st.knownSet = &s
	}
	if err != nil || !slices.Equal(s.Targets, present.targets) {
		st.syncAt = time.Now().Add(syncRetryDelay)
	}
}

func (mon *Monitor) updateSet(ctx context.Context, st *groupState, present listed) (storedSet, error) {
	s, err := mon.readSet(ctx, st.id)
	if err != nil {
		return s, err
	}
	if s.revision == 0 {
		if s.inSyncSet, err = mon.firstSet(st.id); err != nil {
			return s, err
		}
	}
	current := s.inSyncSet
	// One that has started again under the id of one that left does not leave.
	current.Leaving = slices.DeleteFunc(slices.Clone(s.Leaving), func(id ident.Target) bool { return slices.Contains(present.targets, id) })
	if current = current.with(present); s.revision == 0 || !slices.Equal(current.Targets, s.Targets) || !slices.Equal(current.Leaving, s.Leaving) {
		if s, err = mon.writeSet(ctx, st.id, s, current); err != nil {
			return s, err
		}
	}
	gone := mon.goneTargets(st, s.inSyncSet, time.Now())
	if len(gone) > 0 {
		gone = mon.removable(ctx, st, s.inSyncSet, gone)
	}
	if len(gone) == 0 {
		return s, nil
	}
	if s, err = mon.writeSet(ctx, st.id, s, s.without(gone)); err == nil {
		mon.logInSyncRemoved(st.id, gone)
	}
	return s, err
}

// firstSet returns the in-sync set of a group that has none in the store: all databases
// that this VM knows, of a list that is complete.
func (mon *Monitor) firstSet(g ident.Group) (s inSyncSet, err error) {
	for _, m := range mon.cfg.Roster.AllMembers(g) {
		s.Targets = append(s.Targets, m.ID)
		if m.Leaving {
			s.Leaving = append(s.Leaving, m.ID)
		}
	}
	return s, mon.checkListComplete(g)
}

// goneTargets returns the databases of a set that are gone: they left as planned, or have
// been missing from the list for goneTimeout.
func (mon *Monitor) goneTargets(st *groupState, s inSyncSet, now time.Time) []ident.Target {
	var out []ident.Target
	for _, m := range mon.unlistedMembers(st, s, now) {
		if m.Leaving || now.Sub(m.MissingSince) >= goneTimeout {
			out = append(out, m.ID)
		}
	}
	return out
}

// removable returns those of the databases that are gone without which the set still has
// every acknowledged commit in two logs: the primary's log of this moment is on another
// database that stays in the set. One that answers is not gone.
func (mon *Monitor) removable(ctx context.Context, st *groupState, s inSyncSet, gone []ident.Target) []ident.Target {
	members := slices.DeleteFunc(mon.cfg.Roster.AllMembers(st.id), func(m roster.Member) bool { return !s.has(m.ID) })
	replies := mon.controlAll(dbop.Statement{Kind: dbop.Status}, members)
	gone = slices.DeleteFunc(gone, func(id ident.Target) bool { return hasAnswered(replies, id) })
	primary, ok := primaryOf(replies)
	if !ok || len(gone) == 0 {
		return nil
	}
	staying := answeredReplicas(replies)
	if _, ok := mon.awaitPosition(ctx, st.id, staying, primary.status.Received, catchUpTimeout); !ok {
		return nil
	}
	return gone
}

// unlistedMembers returns the databases of a set that are not listed. This VM may know
// nothing but the id of one that was missing before it started.
func (mon *Monitor) unlistedMembers(st *groupState, s inSyncSet, now time.Time) []roster.Member {
	var out []roster.Member
	for _, id := range s.Targets {
		if m := mon.setMember(st, s, id, now); !m.MissingSince.IsZero() {
			out = append(out, m)
		}
	}
	return out
}

// setMember returns a database of a set as this VM knows it. One of which it has seen
// no entry is missing from the list since this VM has known of it.
func (mon *Monitor) setMember(st *groupState, s inSyncSet, id ident.Target, now time.Time) roster.Member {
	m, known := mon.cfg.Roster.Member(st.id, id)
	if !known {
		m = roster.Member{Entry: roster.Entry{ID: id, Group: st.id}, MissingSince: st.unknownSince(id, now)}
	}
	m.Leaving = m.Leaving || slices.Contains(s.Leaving, id)
	return m
}

// unknownSince returns when a database of the in-sync set was first found that this VM
// has not seen in the list.
func (st *groupState) unknownSince(id ident.Target, now time.Time) time.Time {
	st.mu.Lock()
	defer st.mu.Unlock()
	since, ok := st.unknown[id]
	if !ok {
		if st.unknown == nil {
			st.unknown = map[ident.Target]time.Time{}
		}
		since = now
		st.unknown[id] = now
	}
	return since
}
