package quota

import (
	"slices"
	"time"

	"chervilspan.example/pkg/ident"
)

// Limits of the backoff after a holder lent less than expected, because other VMs
// borrow from it too, or did not answer. It doubles from the least to the greatest.
const (
	minBackoff = 10 * time.Millisecond
	maxBackoff = 160 * time.Millisecond
)

// holderState is what a borrower knows of a holder.
type holderState struct {
	vm ident.VM
	// mintingSlices is the number of slices that the holder mints from, at least 1.
	mintingSlices int
	// remaining is what the holder could still lend at repliedAt.
	remaining ident.MicroTokens
	repliedAt time.Time
	// pendingID is the borrow request under way, 0 if there is none.
	pendingID BorrowID
	// requested is the amount that the request under way asks for.
	requested ident.MicroTokens
	backoff   time.Duration
	retryAt   time.Time
}

// estimate returns what the holder can lend at now if no other VM borrows. s is
// the share of each of its slices.
func (h *holderState) estimate(s Share, now time.Time) ident.MicroTokens {
	full := s.Burst * ident.MicroTokens(h.mintingSlices)
	if h.repliedAt.IsZero() {
		return full
	}
	return min(full, h.remaining+ident.Accrue(s.Rate*float64(h.mintingSlices), now.Sub(h.repliedAt)))
}

// availableAt returns when the holder may be asked for amount: the estimate has
// reached it and the backoff is over. It returns zero if the estimate never does.
func (h *holderState) availableAt(s Share, amount ident.MicroTokens) time.Time {
	rate := s.Rate * float64(h.mintingSlices)
	if rate <= 0 || s.Burst*ident.MicroTokens(h.mintingSlices) < amount {
		return time.Time{}
	}
	missing := amount - h.remaining
	if missing <= 0 || h.repliedAt.IsZero() {
		return h.retryAt
	}
	at := h.repliedAt.Add(time.Duration(float64(missing)/float64(ident.Token)/rate*float64(time.Second)) + time.Microsecond)
	if at.Before(h.retryAt) {
		return h.retryAt
	}
	return at
}

func (h *holderState) startBackoff(now time.Time) {
	h.backoff = min(max(2*h.backoff, minBackoff), maxBackoff)
	h.retryAt = now.Add(h.backoff)
}

// demand estimates a workspace's arrival rate in requests per second.
type demand struct {
	windowStart time.Time
	arrivals    int
	rate        float64
}

// demandWindow is the time over which arrivals are counted.
const demandWindow = 100 * time.Millisecond

func (d *demand) recordArrival(now time.Time) {
	d.advanceWindow(now)
	d.arrivals++
}

func (d *demand) advanceWindow(now time.Time) {
	elapsed := now.Sub(d.windowStart)
	if elapsed < demandWindow {
		return
	}
	if elapsed >= 2*demandWindow || d.windowStart.IsZero() {
		d.rate = 0
	} else {
		d.rate = float64(d.furtherArrivals()) / elapsed.Seconds()
	}
	d.windowStart, d.arrivals = now, 0
}

// furtherArrivals returns the number of arrivals in the window after the first one. A
// single arrival says nothing about the rate, and a token borrowed for the next one would
// mostly be returned unused.
func (d *demand) furtherArrivals() int { return max(0, d.arrivals-1) }

// expected returns the tokens that arrivals within the period t will need, rounded
// down to whole tokens, as borrowed fractions would mostly expire unused.
func (d *demand) expected(now time.Time, t time.Duration) ident.MicroTokens {
	d.advanceWindow(now)
	rate := d.rate
	if elapsed := now.Sub(d.windowStart).Seconds(); elapsed > 0 {
		rate = max(rate, float64(d.furtherArrivals())/max(elapsed, demandWindow.Seconds()))
	}
	return ident.Accrue(rate, t) / ident.Token * ident.Token
}

// setHolders replaces the holders to borrow from, in the order of preference. It
// keeps the state of those that are in the list already.
func (a *Account) setHolders(vms []ident.VM) {
	next := make([]holderState, 0, len(vms))
	for _, vm := range vms {
		i := slices.IndexFunc(a.holders, func(h holderState) bool { return h.vm == vm })
		if i >= 0 {
			next = append(next, a.holders[i])
		} else {
			next = append(next, holderState{vm: vm, mintingSlices: 1})
		}
	}
	a.holders = next
}

func (a *Account) holderAwaiting(id BorrowID) *holderState {
	for i := range a.holders {
		if a.holders[i].pendingID == id {
			return &a.holders[i]
		}
	}
	return nil
}
