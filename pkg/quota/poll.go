package quota

import (
	"slices"
	"time"

	"chervilspan.example/pkg/ident"
)

// Output is what Poll asks the caller to do.
type PollResult struct {
	// Admitted and Refused are in the order of arrival. Refused requests have
	// waited for the whole time.
	Admitted, Refused []Ticket
	Borrows           []OutgoingBorrow
	// Wake is when to poll again unless something arrives before; zero when
	// nothing waits and nothing is to be returned.
	NextPoll time.Time
}

// Least amounts that a holder is asked for, since each ask is a message. Once a
// request has waited for a quarter of its time, less will do: the rest of a
// token may be spread over many holders.
const (
	minBorrow     = ident.Token / 2
	minLateBorrow = ident.Token / 16
)

// largePart: a used grant of at least this part of a slice's burst is settled
// at once, as the slice mints little until then. Smaller ones are settled with
// the next request, which saves the message.
const largeGrantDivisor = 4

// giveBackPart: tokens that are unused for this part of a grant's lifetime are
// returned. Without that they are lost, which at small rates costs more than the
// 5% by which a workspace may stay below its rate and still be refused.
const unusedPeriodDivisor = 4

// askTimeout ends the wait for a reply, after which the holder may be asked
// again. It is above the round trip between regions.
const borrowTimeout = 200 * time.Millisecond

// Poll admits waiting requests in the order of arrival, refuses those that have
// waited long enough and asks holders for what is missing.
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

// Low reports whether a poll would borrow: the tokens at hand don't cover the
// demand of the time ahead. The fast path polls only then.
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

// askFor requests what is needed now and in the time ahead, less what is at
// hand and asked for already. It asks the nearest holders first, each for what
// is still missing, until their estimated levels cover it.
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

func (a *Account) minAmount(now time.Time) ident.Micro {
	if len(a.queue) > 0 && !now.Before(a.lateBorrowAt()) {
		return minLateBorrow
	}
	full := a.nominalShare().Burst
	return max(minBorrow, min(a.demand.expected(now, a.cfg.Lookahead), full)/4)
}

// lateAt is when the first waiting request has waited for a quarter of its time.
func (a *Account) lateBorrowAt() time.Time { return a.queue[0].deadline.Add(-a.cfg.MaxWait * 3 / 4) }

// settleUrgent adds requests for nothing, which settle large grants.
func (a *Account) appendSettlements(out []OutgoingBorrow, now time.Time) []OutgoingBorrow {
	for i := range a.holders {
		p := &a.holders[i]
		if p.pendingID == 0 && slices.Contains(a.borrowed.settleSoon, p.vm) {
			out = append(out, a.startBorrow(p, 0, now))
		}
	}
	return out
}

func (a *Account) startBorrow(p *holderState, amount ident.Micro, now time.Time) OutgoingBorrow {
	a.lastBorrow++
	p.pendingID, p.requested = a.lastBorrow, amount
	a.pending = append(a.pending, pendingBorrow{a.lastBorrow, now, p.vm})
	a.counts.BorrowRequests++
	return OutgoingBorrow{ID: a.lastBorrow, To: p.vm, BorrowRequest: BorrowRequest{Amount: amount, Settlements: a.borrowed.takeSettlements(p.vm)}}
}

// peerShare is the share that a holder's slice is taken to have.
func (a *Account) nominalShare() Share {
	m := MintingSlices(a.setup.Limit, a.setup.SliceCount)
	if m == 0 {
		return Share{}
	}
	return Share{Rate: a.setup.Limit.Rate / float64(m), Burst: ident.Micro(int(a.setup.Limit.Burst)/m) * ident.Token}
}

// wake returns when the first waiting request is refused, gets a token of this
// VM's own buckets, or can ask a holder again, whichever is first.
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
	share, least := a.nominalShare(), a.minAmount(now)
	for i := range a.holders {
		p := &a.holders[i]
		if p.pendingID != 0 {
			continue
		}
		if at := p.availableAt(share, least); at.After(now) && at.Before(next) {
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
