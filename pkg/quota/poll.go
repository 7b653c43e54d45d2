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

// largeGrantDivisor sets the size of a large grant: a slice's burst divided by it.
// A used-up large grant is settled at once, as the slice mints little until then.
// Smaller ones are settled with the next request, which saves a message.
const largeGrantDivisor = 4

// unusedPeriodDivisor sets how long borrowed tokens may stay unused before they
// are returned: a grant's lifetime divided by it. Tokens that are not returned are
// lost. At small rates that loss exceeds 5% of the rate, so that workspaces at 95%
// of their rate, which must not be refused, would be.
const unusedPeriodDivisor = 4

// borrowTimeout is the time after which a holder that has not replied may be asked
// again. It exceeds the round-trip time between regions.
const borrowTimeout = 200 * time.Millisecond

// Poll admits waiting requests in the order of arrival, refuses those that have
// waited for Config.MaxWait and returns requests to holders for missing tokens.
func (a *Account) Poll(now, lease time.Time) PollResult {
	var out PollResult
	have := a.advance(now, lease)
	n := 0
	for n < len(a.queue) && have >= ident.Token {
		a.takeToken(now, lease)
		have -= ident.Token
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
		have = a.advance(now, lease)
	}
	out.Borrows = a.borrowMissing(have, now)
	out.NextPoll = a.nextPoll(have, now, lease)
	return out
}

// ShouldPoll reports whether Poll would send requests to holders, because the
// available tokens are less than half of the expected demand or settlements are
// due. After Admit, the fast path polls only then.
func (a *Account) ShouldPoll(now, lease time.Time) bool {
	if len(a.holders) == 0 {
		return false
	}
	if len(a.borrowed.settleSoon) > 0 {
		return true
	}
	want := a.demand.expected(now, a.cfg.Lookahead)
	return want > 0 && a.advance(now, lease) < want/2
}

// expirePending drops the borrow requests that got no reply in time.
func (a *Account) expirePending(now time.Time) {
	n := 0
	for _, k := range a.pending {
		if now.Sub(k.sentAt) < borrowTimeout {
			a.pending[n] = k
			n++
			continue
		}
		if p := a.holderAwaiting(k.id); p != nil {
			p.pendingID, p.requested = 0, 0
			p.startBackoff(now)
		}
	}
	a.pending = a.pending[:n]
}

// borrowMissing returns requests for the tokens that the queue and the expected
// demand need beyond those available and already requested. It asks the nearest
// holders first, each for all that is still missing, until the estimates of what
// they can lend cover it.
func (a *Account) borrowMissing(have ident.Micro, now time.Time) []OutgoingBorrow {
	ahead := a.demand.expected(now, a.cfg.Lookahead)
	need := ident.Token*ident.Micro(len(a.queue)) + ahead - have
	if len(a.queue) == 0 && have >= ahead/2 {
		need = 0
	}
	share := a.nominalShare()
	for i := range a.holders {
		if p := &a.holders[i]; p.pendingID != 0 {
			need -= min(p.requested, p.estimate(share, now))
		}
	}
	minAmount := a.minAmount(now)
	var out []OutgoingBorrow
	for i := range a.holders {
		if need <= 0 {
			break
		}
		p := &a.holders[i]
		est := p.estimate(share, now)
		if p.pendingID != 0 || now.Before(p.retryAt) || est < min(need, minAmount) || est == 0 {
			continue
		}
		out = append(out, a.startBorrow(p, need, now))
		need -= est
	}
	return a.appendSettlements(out, now)
}

// minAmount returns the least amount that a holder must be expected to have before
// it is asked.
func (a *Account) minAmount(now time.Time) ident.Micro {
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
		p := &a.holders[i]
		if p.pendingID == 0 && slices.Contains(a.borrowed.settleSoon, p.vm) {
			out = append(out, a.startBorrow(p, 0, now))
		}
	}
	return out
}

// startBorrow returns a request to a holder and registers it as pending.
func (a *Account) startBorrow(p *holderState, amount ident.Micro, now time.Time) OutgoingBorrow {
	a.lastBorrow++
	p.pendingID, p.requested = a.lastBorrow, amount
	a.pending = append(a.pending, pendingBorrow{a.lastBorrow, now, p.vm})
	a.counts.BorrowRequests++
	return OutgoingBorrow{ID: a.lastBorrow, To: p.vm, BorrowRequest: BorrowRequest{Amount: amount, Settlements: a.borrowed.takeSettlements(p.vm)}}
}

// nominalShare returns the share that each slice of a holder is assumed to have.
func (a *Account) nominalShare() Share {
	m := MintingSlices(a.setup.Limit, a.setup.SliceCount)
	if m == 0 {
		return Share{}
	}
	return Share{Rate: a.setup.Limit.Rate / float64(m), Burst: ident.Micro(int(a.setup.Limit.Burst)/m) * ident.Token}
}

// nextPoll returns the earliest time at which the first waiting request is
// refused, gets a token of this VM's own buckets, or a holder can be asked for it
// again. Without waiting requests it is when the next unused grant is returned.
func (a *Account) nextPoll(have ident.Micro, now, lease time.Time) time.Time {
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
		p := &a.holders[i]
		if p.pendingID != 0 {
			continue
		}
		if at := p.availableAt(share, minAmount); at.After(now) && at.Before(next) {
			next = at
		}
	}
	for _, k := range a.pending {
		if at := k.sentAt.Add(borrowTimeout); at.Before(next) {
			next = at
		}
	}
	if at := a.ownTokenAt(have, now, lease); !at.IsZero() && at.Before(next) {
		next = at
	}
	return next
}

// ownTokenAt returns when this VM's own buckets have minted the missing part of a
// token or another bucket becomes usable, zero if neither happens.
func (a *Account) ownTokenAt(have ident.Micro, now, lease time.Time) time.Time {
	if !a.mayMint(now, lease) {
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
	missing := float64(ident.Token-have) / float64(ident.Token) / rate
	at := now.Add(time.Duration(missing*float64(time.Second)) + time.Microsecond)
	if !ready.IsZero() && ready.Before(at) {
		return ready
	}
	return at
}
