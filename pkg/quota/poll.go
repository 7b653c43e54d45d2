package quota

import (
	"slices"
	"time"

	"chervilspan.example/pkg/ident"
)

// PollResult is what the caller of Poll has to do.
type PollResult struct {
	// Admitted and Refused are in the order of arrival. Refused requests have
	// waited for Config.MaxWait.
	Admitted, Refused []Ticket
	// Borrows are the requests to send to holders.
	Borrows []OutgoingBorrow
	// NextPoll is when to poll again unless a request or reply arrives before. It
	// is zero when no request waits and no borrowed tokens are to be returned.
	NextPoll time.Time
}

// Least amounts that a holder must be expected to have before it is asked, as each
// request costs a message. Once a waiting request has spent a quarter of MaxWait,
// the lower amount applies, since the missing part of a token may be spread over
// many holders.
const (
	minBorrow     = ident.Token / 2
	minLateBorrow = ident.Token / 16
)

// scarcePeriod is how long after a holder lent less than requested each waiting request
// asks for two tokens. Estimates of what holders can lend are too high while other VMs
// borrow from them too, and asking a second holder only after the reply of the first may
// take two round trips between regions. Tokens that are not needed are returned.
const scarcePeriod = 250 * time.Millisecond

// largeGrantDivisor sets the size of a large grant: a slice's burst divided by it.
// A used-up large grant is settled at once, as the slice mints little until then.
// Smaller ones are settled with the next request, which saves a message.
const largeGrantDivisor = 4

// unusedPeriodDivisor sets how long borrowed tokens may stay unused before they
// are returned: a grant's lifetime divided by it. Tokens that are not returned are
// lost. At small rates that loss would exceed 5% of the rate, and a workspace that
// uses 95% of its rate would have requests refused.
const unusedPeriodDivisor = 4

// borrowTimeout is the time after which a holder that has not replied may be asked
// again. It exceeds the round-trip time between regions.
const borrowTimeout = 200 * time.Millisecond

// Poll admits waiting requests in the order of arrival, refuses those that have
// waited for Config.MaxWait and returns requests to holders for missing tokens.
func (a *Account) Poll(now, leaseDeadline time.Time) PollResult {
	var out PollResult
	available := a.advance(now, leaseDeadline)
	n := 0
	for n < len(a.queue) && available >= ident.Token {
		a.takeToken(now, leaseDeadline)
		available -= ident.Token
		out.Admitted = append(out.Admitted, a.queue[n].ticket)
		n++
	}
	a.counts.Admitted += uint64(n)
	for n < len(a.queue) && !now.Before(a.queue[n].deadline) {
		out.Refused = append(out.Refused, a.queue[n].ticket)
		a.counts.Refused++
		n++
	}
	a.queue = append(a.queue[:0], a.queue[n:]...)
	a.expirePending(now)
	if len(a.queue) == 0 {
		a.borrowed.settleExpiringBefore(now.Add(a.cfg.Lifetime - a.cfg.Lifetime/unusedPeriodDivisor))
		available = a.advance(now, leaseDeadline)
	}
	out.Borrows = a.borrowMissing(available, now)
	out.NextPoll = a.nextPoll(available, now, leaseDeadline)
	return out
}

// ShouldPoll reports whether Poll would send requests to holders, because the
// available tokens are less than half of the expected demand or settlements are
// due. After Admit, the fast path polls only then.
func (a *Account) ShouldPoll(now, leaseDeadline time.Time) bool {
	if len(a.holders) == 0 {
		return false
	}
	if len(a.borrowed.settleSoon) > 0 {
		return true
	}
	want := a.demand.expected(now, a.cfg.Lookahead)
	return want > 0 && a.advance(now, leaseDeadline) < want/2
}

// expirePending drops the borrow requests that got no reply in time.
func (a *Account) expirePending(now time.Time) {
	n := 0
	for _, req := range a.pending {
		if now.Sub(req.sentAt) < borrowTimeout {
			a.pending[n] = req
			n++
			continue
		}
		if h := a.holderAwaiting(req.id); h != nil {
			h.pendingID, h.requested = 0, 0
			h.startBackoff(now)
		}
	}
	a.pending = a.pending[:n]
}

// borrowMissing returns requests for the tokens that the queue and the expected
// demand need beyond those available and already requested. It asks the nearest
// holders first, each for all that is still missing, until the estimates of what
// they can lend cover it.
func (a *Account) borrowMissing(available ident.MicroTokens, now time.Time) []OutgoingBorrow {
	expected := a.demand.expected(now, a.cfg.Lookahead)
	need := ident.Token*ident.MicroTokens(len(a.queue)) + expected - available
	if now.Before(a.scarceUntil) {
		need += ident.Token * ident.MicroTokens(len(a.queue))
	}
	if len(a.queue) == 0 && available >= expected/2 {
		need = 0
	}
	share := a.nominalShare()
	for i := range a.holders {
		if h := &a.holders[i]; h.pendingID != 0 {
			need -= min(h.requested, h.estimate(share, now))
		}
	}
	minAmount := a.minAmount(now)
	var out []OutgoingBorrow
	for i := range a.holders {
		if need <= 0 {
			break
		}
		h := &a.holders[i]
		estimate := h.estimate(share, now)
		if h.pendingID != 0 || now.Before(h.retryAt) || estimate < min(need, minAmount) || estimate == 0 {
			continue
		}
		out = append(out, a.startBorrow(h, need, now))
		need -= estimate
	}
	return a.appendSettlements(out, now)
}

// minAmount returns the least amount that a holder must be expected to have before
// it is asked.
func (a *Account) minAmount(now time.Time) ident.MicroTokens {
	if len(a.queue) > 0 && !now.Before(a.lateBorrowAt()) {
		return minLateBorrow
	}
	full := a.nominalShare().Burst
	return max(minBorrow, min(a.demand.expected(now, a.cfg.Lookahead), full)/4)
}

// lateBorrowAt returns when the first waiting request has waited for a quarter of
// MaxWait, from which on minLateBorrow applies.
func (a *Account) lateBorrowAt() time.Time { return a.queue[0].deadline.Add(-a.cfg.MaxWait * 3 / 4) }

// appendSettlements adds requests for zero tokens to the holders of settleSoon,
// which only settle grants.
func (a *Account) appendSettlements(out []OutgoingBorrow, now time.Time) []OutgoingBorrow {
	for i := range a.holders {
		h := &a.holders[i]
		if h.pendingID == 0 && slices.Contains(a.borrowed.settleSoon, h.vm) {
			out = append(out, a.startBorrow(h, 0, now))
		}
	}
	return out
}

// startBorrow returns a request to a holder and registers it as pending.
func (a *Account) startBorrow(h *holderState, amount ident.MicroTokens, now time.Time) OutgoingBorrow {
	a.lastBorrow++
	h.pendingID, h.requested = a.lastBorrow, amount
	a.pending = append(a.pending, pendingBorrow{a.lastBorrow, now, h.vm})
	a.counts.BorrowRequests++
	return OutgoingBorrow{ID: a.lastBorrow, To: h.vm, BorrowRequest: BorrowRequest{Amount: amount, Settlements: a.borrowed.takeSettlements(h.vm)}}
}

// nominalShare returns the share that each slice of a holder is assumed to have.
func (a *Account) nominalShare() Share {
	m := MintingSlices(a.setup.Limit, a.setup.SliceCount)
	if m == 0 {
		return Share{}
	}
	return Share{Rate: a.setup.Limit.Rate / float64(m), Burst: ident.MicroTokens(int(a.setup.Limit.Burst)/m) * ident.Token}
}

// nextPoll returns the earliest time at which the first waiting request is
// refused, gets a token of this VM's own buckets, or a holder can be asked for it
// again. Without waiting requests it is when the next unused grant is returned.
func (a *Account) nextPoll(available ident.MicroTokens, now, leaseDeadline time.Time) time.Time {
	if len(a.queue) == 0 {
		if len(a.borrowed.grants) == 0 {
			return time.Time{}
		}
		return later(now, a.borrowed.grants[0].expiresAt.Add(a.cfg.Lifetime/unusedPeriodDivisor-a.cfg.Lifetime+1))
	}
	next := a.queue[0].deadline
	if at := a.lateBorrowAt(); at.After(now) {
		next = at
	}
	share, minAmount := a.nominalShare(), a.minAmount(now)
	for i := range a.holders {
		h := &a.holders[i]
		if h.pendingID != 0 {
			continue
		}
		if at := h.availableAt(share, minAmount); at.After(now) && at.Before(next) {
			next = at
		}
	}
	for _, req := range a.pending {
		if at := req.sentAt.Add(borrowTimeout); at.Before(next) {
			next = at
		}
	}
	if at := a.ownTokenAt(available, now, leaseDeadline); !at.IsZero() && at.Before(next) {
		next = at
	}
	return next
}

// ownTokenAt returns when this VM's own buckets have minted the missing part of a
// token or another bucket becomes usable, zero if neither happens.
func (a *Account) ownTokenAt(available ident.MicroTokens, now, leaseDeadline time.Time) time.Time {
	if !a.mayMint(now, leaseDeadline) {
		return time.Time{}
	}
	var rate float64
	var ready time.Time
	for i := range a.buckets {
		b := &a.buckets[i]
		if now.Before(b.readyAt) {
			if ready.IsZero() || b.readyAt.Before(ready) {
				ready = b.readyAt
			}
			continue
		}
		if b.level+b.lent < b.share.Burst {
			rate += b.share.Rate
		}
	}
	if rate <= 0 {
		return ready
	}
	wait := float64(ident.Token-available) / float64(ident.Token) / rate
	at := now.Add(time.Duration(wait*float64(time.Second)) + time.Microsecond)
	if !ready.IsZero() && ready.Before(at) {
		return ready
	}
	return at
}
