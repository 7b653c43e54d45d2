package quota

import (
	"cmp"
	"slices"
	"time"
)

// HeldSlice is a slice that the VM holds and may use from ReadyAt on.
type HeldSlice struct {
	Slice   Slice
	ReadyAt time.Time
}

// SliceSet tracks the slices that one VM holds and the store lease that they
// depend on. The zero SliceSet has no slices.
type SliceSet struct {
	lifetime time.Duration
	deadline time.Time
	readyAt  map[Slice]time.Time // of the held slices
	// releasing has the slices whose keys must be looked for and deleted.
	releasing map[Slice]bool
	// lapsed has slices of leases that ended.
	lapsed map[Slice]lapsedSlice
}

// lapsedSlice is a slice of a lease that has ended, maybe before its deadline.
type lapsedSlice struct {
	// readyAt is the time from which the slice was usable.
	readyAt  time.Time
	deadline time.Time
	// exclusive means that no other VM can have claimed the slice before the
	// deadline.
	exclusive bool
}

// SetLifetime sets the lifetime of permits; 0 stands for DefaultLifetime.
func (h *SliceSet) SetLifetime(d time.Duration) { h.lifetime = d }

// Deadline returns the time from which no slice may be used.
func (h *SliceSet) Deadline() time.Time { return h.deadline }

// RecordRenewal extends the deadline after the store has granted or renewed the
// lease. The TTL counts from the time at which the request was sent, as the store
// may have handled it at any time after that.
func (h *SliceSet) RecordRenewal(sent time.Time, ttl time.Duration) {
	if d := sent.Add(ttl); d.After(h.deadline) {
		h.deadline = d
	}
}

// RecordLapse removes all slices after the lease has ended or its deadline has
// passed. Until that deadline RecordClaim restores their ready times.
func (h *SliceSet) RecordLapse() { h.removeAll(false) }

// RecordRestoration is RecordLapse for a lease that ended because the store was restored
// from an older copy. No other VM can claim the slices before the lease's deadline.
func (h *SliceSet) RecordRestoration() { h.removeAll(true) }

func (h *SliceSet) removeAll(exclusive bool) {
	if h.lapsed == nil {
		h.lapsed = map[Slice]lapsedSlice{}
	}
	for s, l := range h.lapsed {
		l.exclusive = l.exclusive && exclusive
		h.lapsed[s] = l
	}
	for s, ready := range h.readyAt {
		h.lapsed[s] = lapsedSlice{ready, h.deadline, exclusive}
	}
	h.deadline = time.Time{}
	h.readyAt, h.releasing = nil, nil
}

// Kept reports whether this VM held a slice when the store was restored, and no other VM
// can have claimed it by now.
func (h *SliceSet) Kept(s Slice, now time.Time) bool {
	l, ok := h.lapsed[s]
	return ok && l.exclusive && now.Before(l.deadline)
}

// RecordClaim adds a slice whose key is known, at now, to be this VM's. The slice
// may be used one lifetime later, when all permits and grants of the former
// holder have ended. If this VM held the slice under a lease that the store ended
// early, and that lease's deadline has not passed, the slice keeps its ready time.
func (h *SliceSet) RecordClaim(s Slice, now time.Time) {
	l, ok := h.lapsed[s]
	ready := l.readyAt
	if !ok || !now.Before(l.deadline) {
		ready = now.Add(cmp.Or(h.lifetime, DefaultLifetime))
	}
	h.add(s, ready)
}

// RecordInheritance adds a slice that an earlier process of this VM, which has
// ended, held; it may be used at once. Grants of that process may be in use for
// one lifetime more, so tokens minted meanwhile exceed the burst by at most
// rate x lifetime.
func (h *SliceSet) RecordInheritance(s Slice, now time.Time) { h.add(s, now) }

func (h *SliceSet) add(s Slice, ready time.Time) {
	if h.readyAt == nil {
		h.readyAt = map[Slice]time.Time{}
	}
	h.readyAt[s] = ready
	delete(h.lapsed, s)
}

// BeginRelease ends the use of a slice. The caller deletes the slice's key
// afterwards and then calls RecordRelease.
func (h *SliceSet) BeginRelease(s Slice) {
	if _, ok := h.readyAt[s]; !ok {
		return
	}
	delete(h.readyAt, s)
	delete(h.lapsed, s)
	if h.releasing == nil {
		h.releasing = map[Slice]bool{}
	}
	h.releasing[s] = true
}

// RecordUnansweredClaim marks a slice whose claim got no answer from the store,
// so that its key may become this VM's now or later. The slice counts as being
// released: its key is looked for and deleted before the slice is claimed again.
func (h *SliceSet) RecordUnansweredClaim(s Slice) {
	if _, ok := h.readyAt[s]; ok {
		return
	}
	if h.releasing == nil {
		h.releasing = map[Slice]bool{}
	}
	h.releasing[s] = true
}

// RecordRelease ends the release of a slice whose key is known to be deleted or
// to be another VM's.
func (h *SliceSet) RecordRelease(s Slice) { delete(h.releasing, s) }

// Diff compares the set with the slices that this VM should hold. It returns the
// slices to claim and those to release, including releases under way, both sorted.
func (h *SliceSet) Diff(wanted []Slice) (claim, release []Slice) {
	want := make(map[Slice]bool, len(wanted))
	for _, s := range wanted {
		want[s] = true
		if _, ok := h.readyAt[s]; !ok && !h.releasing[s] {
			claim = append(claim, s)
		}
	}
	for s := range h.readyAt {
		if !want[s] {
			release = append(release, s)
		}
	}
	for s := range h.releasing {
		release = append(release, s)
	}
	slices.SortFunc(claim, compareSlices)
	slices.SortFunc(release, compareSlices)
	return claim, release
}

// ReadyOrEmpty reports whether a held slice is ready for use at now, or no slice
// is held. It does not check the lease's deadline.
func (h *SliceSet) ReadyOrEmpty(now time.Time) bool {
	for _, ready := range h.readyAt {
		if !now.Before(ready) {
			return true
		}
	}
	return len(h.readyAt) == 0
}

// Held returns the held slices, sorted.
func (h *SliceSet) Held() []HeldSlice {
	out := make([]HeldSlice, 0, len(h.readyAt))
	for s, ready := range h.readyAt {
		out = append(out, HeldSlice{s, ready})
	}
	slices.SortFunc(out, func(a, b HeldSlice) int { return compareSlices(a.Slice, b.Slice) })
	return out
}

func compareSlices(a, b Slice) int {
	return cmp.Or(cmp.Compare(a.Shard, b.Shard), cmp.Compare(a.Index, b.Index))
}
