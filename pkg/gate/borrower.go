package gate

import "time"

// gateTimeout is how long a VM waits for a gate's answer before it uses the
// fallback limit. It exceeds the round trip between regions.
const gateTimeout = 250 * time.Millisecond

// Borrower tracks how many of a target's slots one VM may use. The zero Borrower
// knows no gate and uses the fallback limit.
type Borrower struct {
	slots, liveVMs int
	loan           Loan
	expiry         time.Time
	// unansweredSince is when the first demand was sent after the last accepted
	// loan; zero when there is none.
	unansweredSince time.Time
	gateReachable   bool
	lastNumber      uint64
	// sentAt is a ring of the send times of the last demands, by their number.
	sentAt [trackedDemands]time.Time
}

// trackedDemands is the number of demands whose send time is kept. A loan that
// answers an older demand is ignored, since its expiry is unknown.
const trackedDemands = 16

// Configure sets the target's slots and the number of live VMs.
func (b *Borrower) Configure(slots, liveVMs int) { b.slots, b.liveVMs = slots, liveVMs }

// FallbackLimit returns the number of slots that the VM uses without a gate:
// slots / live VMs, at least 1.
func (b *Borrower) FallbackLimit() int { return max(1, b.slots/max(1, b.liveVMs)) }

// RecordGateReachable records that the gate can be reached: without a loan, the VM
// then starts no statement before the gate has answered or the first demand has
// been unanswered for gateTimeout.
func (b *Borrower) RecordGateReachable() { b.gateReachable = true }

// RecordDemand records that a demand is sent to the gate now, and returns the
// number of that demand.
func (b *Borrower) RecordDemand(now time.Time) uint64 {
	b.lastNumber++
	b.sentAt[b.lastNumber%trackedDemands] = now
	b.gateReachable = true
	if b.unansweredSince.IsZero() {
		b.unansweredSince = now
	}
	return b.lastNumber
}

// Accept replaces the loan and reports whether it did so. It ignores a loan that
// is older than the current one or answers an untracked demand. The loan's
// lifetime counts from the sending of the demand that it answers; the gate counts
// from a later time, so the loan expires here before it expires at the gate.
func (b *Borrower) Accept(loan Loan) bool {
	if loan.Sequence <= b.loan.Sequence || loan.DemandNumber > b.lastNumber || loan.DemandNumber+trackedDemands <= b.lastNumber {
		return false
	}
	b.loan, b.unansweredSince = loan, time.Time{}
	b.expiry = b.sentAt[loan.DemandNumber%trackedDemands].Add(Lifetime)
	return true
}

// LoanExpiry returns when the loan expires.
func (b *Borrower) LoanExpiry() time.Time { return b.expiry }

// Contended reports whether the gate had requests waiting for lack of slots when
// it sent the last loan.
func (b *Borrower) Contended() bool { return b.loan.Contended }

// LoanSlots returns the size of the last loan, expired or not.
func (b *Borrower) LoanSlots() int { return b.loan.Slots }

// ForgetGate records that the gate can't be reached or has changed. The loan stays
// usable until it expires; the next gate takes that into account.
func (b *Borrower) ForgetGate() {
	b.gateReachable = false
	b.unansweredSince = time.Time{}
	b.loan.Sequence = 0
	b.sentAt = [trackedDemands]time.Time{}
}

// Confirmed returns the sequence number to confirm in the next demand.
func (b *Borrower) Confirmed() Sequence { return b.loan.Sequence }

// Limit returns how many statements may run at once: the slots of an unexpired
// loan, 0 while the answer of a reachable gate is awaited, else the fallback
// limit.
func (b *Borrower) Limit(now time.Time) int {
	switch {
	case now.Before(b.expiry):
		return b.loan.Slots
	case b.gateReachable && (b.unansweredSince.IsZero() || now.Sub(b.unansweredSince) < gateTimeout):
		return 0
	}
	return b.FallbackLimit()
}

// FallbackAt returns when Limit switches to the fallback limit if no loan
// arrives. It is zero while no gate is reachable or no demand is unanswered.
func (b *Borrower) FallbackAt() time.Time {
	if !b.gateReachable || b.unansweredSince.IsZero() {
		return time.Time{}
	}
	at := b.unansweredSince.Add(gateTimeout)
	if at.Before(b.expiry) {
		return b.expiry
	}
	return at
}
