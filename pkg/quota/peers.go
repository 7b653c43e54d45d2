package quota

import (
	"slices"
	"time"

	"chervilspan.example/pkg/ident"
)

// Pauses after a holder had less than expected, because others borrow from it
// too. The pause doubles up to the longest.
const (
	minBackoff = 10 * time.Millisecond
	maxBackoff = 160 * time.Millisecond
)

// peer is what a borrower knows of a holder.
type holderState struct {
	vm ident.VM
	// slices is the number of slices it mints from; at least 1.
	mintingSlices int
	remaining     ident.Micro
	repliedAt     time.Time
	pendingID     BorrowID
	requested     ident.Micro
	backoff       time.Duration
	retryAt       time.Time
}

// estimate returns what the holder can lend at now if nobody else borrows.
func (p *holderState) estimate(s Share, now time.Time) ident.Micro {
	full := s.Burst * ident.Micro(p.mintingSlices)
	if p.repliedAt.IsZero() {
		return full
	}
	return min(full, p.remaining+ident.Accrue(s.Rate*float64(p.mintingSlices), now.Sub(p.repliedAt)))
}

// enoughAt returns when the estimate reaches amount, zero when it never does.
func (p *holderState) availableAt(s Share, amount ident.Micro) time.Time {
	rate := s.Rate * float64(p.mintingSlices)
	if rate <= 0 || s.Burst*ident.Micro(p.mintingSlices) < amount {
		return time.Time{}
	}
	missing := amount - p.remaining
	if missing <= 0 || p.repliedAt.IsZero() {
		return p.retryAt
	}
	at := p.repliedAt.Add(time.Duration(float64(missing)/float64(ident.Token)/rate*float64(time.Second)) + time.Microsecond)
	if at.Before(p.retryAt) {
		return p.retryAt
	}
	return at
}

func (p *holderState) startBackoff(now time.Time) {
	p.backoff = min(max(2*p.backoff, minBackoff), maxBackoff)
	p.retryAt = now.Add(p.backoff)
}

// demand estimates the arrivals of a workspace a second.
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
		d.rate = float64(d.arrivals) / elapsed.Seconds()
	}
	d.windowStart, d.arrivals = now, 0
}

// ahead returns the tokens that arrivals of the time t will need, whole tokens
// only: less would mostly expire unused.
func (d *demand) expected(now time.Time, t time.Duration) ident.Micro {
	d.advanceWindow(now)
	rate := d.rate
	if elapsed := now.Sub(d.windowStart).Seconds(); elapsed > 0 {
		rate = max(rate, float64(d.arrivals)/max(elapsed, demandWindow.Seconds()))
	}
	return ident.Accrue(rate, t) / ident.Token * ident.Token
}

// setPeers takes the holders to ask, in the order of preference. What is known
// of those that stay is kept.
func (a *Account) setHolders(vms []ident.VM) {
	next := make([]holderState, 0, len(vms))
	for _, vm := range vms {
		i := slices.IndexFunc(a.holders, func(p holderState) bool { return p.vm == vm })
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
