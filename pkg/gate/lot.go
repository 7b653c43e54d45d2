package gate

import "time"

// gateWait is how long a VM waits for a gate's answer before it uses the
// fallback. It is above the round trip between regions.
const gateWait = 250 * time.Millisecond

// Borrower is what one VM may use of a target's slots. The zero Lot knows no gate and
// uses the fallback.
type Borrower struct {
	slots, live int
	loan        Loan
	until       time.Time
	// unanswered is when the first demand was sent that no loan has answered.
	unanswered time.Time
	gate       bool
	number     uint64
	sent       [remembered]time.Time
}

// remembered is the number of demands whose send time is kept. A loan that
// answers an older one is of no use.
const remembered = 16

// Configure sets the target's slots and the number of live VMs.
func (l *Borrower) Configure(slots, live int) { l.slots, l.live = slots, live }

// FallbackLimit is the part that the VM uses without a gate: slots / live VMs, at
// least 1.
func (l *Borrower) FallbackLimit() int { return max(1, l.slots/max(1, l.live)) }

// MarkGateReachable notes that the gate can be reached: the VM waits for its answer before
// it starts a statement without a loan.
func (l *Borrower) MarkGateReachable() { l.gate = true }

// RecordDemand notes that a demand is sent to the gate, and returns its number.
func (l *Borrower) RecordDemand(now time.Time) uint64 {
	l.number++
	l.sent[l.number%remembered] = now
	l.gate = true
	if l.unanswered.IsZero() {
		l.unanswered = now
	}
	return l.number
}

// Accept notes a loan, which counts from the sending of the demand that it
// answers: the gate counts from a later moment. Loans that are older than the
// known one are ignored. It reports whether the loan was taken.
func (l *Borrower) Accept(loan Loan) bool {
	if loan.Sequence <= l.loan.Sequence || loan.DemandNumber > l.number || loan.DemandNumber+remembered <= l.number {
		return false
	}
	l.loan, l.unanswered = loan, time.Time{}
	l.until = l.sent[loan.DemandNumber%remembered].Add(Lifetime)
	return true
}

// LoanExpiry is when the loan ends.
func (l *Borrower) LoanExpiry() time.Time { return l.until }

// Contended reports whether others wait for the target's slots.
func (l *Borrower) Contended() bool { return l.loan.Contended }

// LoanSlots is the size of the last loan.
func (l *Borrower) LoanSlots() int { return l.loan.Slots }

// ForgetGate notes that the gate can't be reached or has changed. A loan stays usable
// until it ends; the next gate waits for that.
func (l *Borrower) ForgetGate() {
	l.gate = false
	l.unanswered = time.Time{}
	l.loan.Sequence = 0
	l.sent = [remembered]time.Time{}
}

// Confirmed is the sequence to send with a demand.
func (l *Borrower) Confirmed() Sequence { return l.loan.Sequence }

// Limit returns how many statements may run at once: the loan, nothing while a
// new gate's answer is awaited, and the fallback without a gate.
func (l *Borrower) Limit(now time.Time) int {
	switch {
	case now.Before(l.until):
		return l.loan.Slots
	case l.gate && (l.unanswered.IsZero() || now.Sub(l.unanswered) < gateWait):
		return 0
	}
	return l.FallbackLimit()
}

// FallbackAt returns when Limit turns from nothing to the fallback if no loan
// arrives; zero when it does not.
func (l *Borrower) FallbackAt() time.Time {
	if !l.gate || l.unanswered.IsZero() {
		return time.Time{}
	}
	at := l.unanswered.Add(gateWait)
	if at.Before(l.until) {
		return l.until
	}
	return at
}
