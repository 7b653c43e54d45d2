package quota

import (
	"cmp"
	"slices"
	"time"
)

// HeldSlice is a slice that the VM holds and may use from Ready on.
type HeldSlice struct {
	Slice   Slice
	ReadyAt time.Time
}

// SliceSet tracks the slices of one VM and the lease that they depend on. The
// zero Holdings has none.
type SliceSet struct {
	lifetime time.Duration
	deadline time.Time
	held     map[Slice]time.Time
	leaving  map[Slice]bool
	// former has the slices of a lease that ended before formerEnd, its deadline.
	former    map[Slice]time.Time
	formerEnd time.Time
}

// SetLifetime sets the lifetime of permits; 0 stands for DefaultLifetime.
func (h *SliceSet) SetLifetime(d time.Duration) { h.lifetime = d }

// Deadline is the time from which no slice may be used.
func (h *SliceSet) Deadline() time.Time { return h.deadline }

// RecordRenewal notes that a grant or renewal of the lease, sent at the given time,
// succeeded. The lease counts from the sending, as the store may have handled
// it at any moment after.
func (h *SliceSet) RecordRenewal(sent time.Time, ttl time.Duration) {
	if d := sent.Add(ttl); d.After(h.deadline) {
		h.deadline = d
	}
}

// RecordLapse forgets everything: the lease has ended, or its deadline has passed.
func (h *SliceSet) RecordLapse() {
	h.former, h.formerEnd = h.held, h.deadline
	h.deadline = time.Time{}
	h.held, h.leaving = nil, nil
}

// RecordClaim notes that the slice's key is known, at now, to be this VM's. The
// slice may be used one lifetime later, when all permits and grants of the
// former holder have ended. A slice of a lease that the store ended early goes
// on as it was while the lease's own deadline has not passed.
func (h *SliceSet) RecordClaim(s Slice, now time.Time) {
	ready, ok := h.former[s]
	if !ok || !now.Before(h.formerEnd) {
		ready = now.Add(cmp.Or(h.lifetime, DefaultLifetime))
	}
	h.hold(s, ready)
}

// RecordInheritance is Claimed for a slice that a former process of this VM had, which
// has ended. Its grants may be in use for a lifetime more; tokens that are
// minted meanwhile exceed the burst by the rate of one lifetime at most.
func (h *SliceSet) RecordInheritance(s Slice, now time.Time) { h.hold(s, now) }

func (h *SliceSet) hold(s Slice, ready time.Time) {
	if h.held == nil {
		h.held = map[Slice]time.Time{}
	}
	h.held[s] = ready
	delete(h.former, s)
}

// BeginRelease ends the use of a slice, before its key is deleted.
func (h *SliceSet) BeginRelease(s Slice) {
	if _, ok := h.held[s]; !ok {
		return
	}
	delete(h.held, s)
	delete(h.former, s)
	if h.leaving == nil {
		h.leaving = map[Slice]bool{}
	}
	h.leaving[s] = true
}

// RecordUnansweredClaim notes that a claim of a slice got no answer: its key may be this VM's
// now or later. The slice counts as stopped, so that its key is looked for and
// deleted before the slice is claimed again.
func (h *SliceSet) RecordUnansweredClaim(s Slice) {
	if _, ok := h.held[s]; ok {
		return
	}
	if h.leaving == nil {
		h.leaving = map[Slice]bool{}
	}
	h.leaving[s] = true
}

// RecordRelease notes that the key of a stopped slice is known to be gone or to be
// another VM's.
func (h *SliceSet) RecordRelease(s Slice) { delete(h.leaving, s) }

// Diff compares the holdings with the slices that this VM is preferred for. It
// returns the slices to claim, those to stop and release, both in order.
func (h *SliceSet) Diff(wanted []Slice) (claim, release []Slice) {
	want := make(map[Slice]bool, len(wanted))
	for _, s := range wanted {
		want[s] = true
		if _, ok := h.held[s]; !ok && !h.leaving[s] {
			claim = append(claim, s)
		}
	}
	for s := range h.held {
		if !want[s] {
			release = append(release, s)
		}
	}
	for s := range h.leaving {
		release = append(release, s)
	}
	slices.SortFunc(claim, compareSlices)
	slices.SortFunc(release, compareSlices)
	return claim, release
}

// ReadyOrEmpty reports whether a held slice may be used at now, or none is held.
func (h *SliceSet) ReadyOrEmpty(now time.Time) bool {
	for _, ready := range h.held {
		if !now.Before(ready) {
			return true
		}
	}
	return len(h.held) == 0
}

// Held returns the slices in use, in order.
func (h *SliceSet) Held() []HeldSlice {
	out := make([]HeldSlice, 0, len(h.held))
	for s, ready := range h.held {
		out = append(out, HeldSlice{s, ready})
	}
	slices.SortFunc(out, func(a, b HeldSlice) int { return compareSlices(a.Slice, b.Slice) })
	return out
}

func compareSlices(a, b Slice) int {
	return cmp.Or(cmp.Compare(a.Shard, b.Shard), cmp.Compare(a.Index, b.Index))
}
