package quota

import (
	"slices"
	"time"
)

// Lend answers a request of another VM out of the held slices. A VM whose own
// requests wait lends nothing, as they arrived before. The grant counts against
// the burst for its lifetime or until it is settled.
func (a *Account) Lend(r BorrowRequest, now, lease time.Time) BorrowReply {
	if a.setup.StaticShare != nil {
		return BorrowReply{}
	}
	a.advance(now, lease)
	for _, s := range r.Settlements {
		for i := range a.buckets {
			s.Unused -= a.buckets[i].settle(s.Grant, s.Unused)
		}
	}
	if !now.Before(lease) {
		return BorrowReply{}
	}
	reply := BorrowReply{MintingSlices: a.mintingSlices()}
	if len(a.queue) > 0 {
		return reply
	}
	a.lastGrant++
	reply.Grant = a.lastGrant
	until := now.Add(a.cfg.Lifetime)
	for reply.Amount < r.Amount {
		b := a.fullestBucket(now)
		if b == nil {
			break
		}
		reply.Amount += b.lend(a.lastGrant, r.Amount-reply.Amount, until)
	}
	a.counts.Lent += reply.Amount
	for i := range a.buckets {
		if !now.Before(a.buckets[i].readyAt) {
			reply.Remaining += a.buckets[i].level
		}
	}
	return reply
}

func (a *Account) mintingSlices() int {
	n := 0
	for i := range a.buckets {
		if a.buckets[i].share.Burst > 0 || a.buckets[i].nextShare.Burst > 0 {
			n++
		}
	}
	return n
}

// Receive takes the reply to an ask. The grant's lifetime counts from the
// sending of the request, which was before the holder began to count. A reply
// that comes twice, after the lifetime or without a request is ignored.
func (a *Account) HandleReply(id BorrowID, r BorrowReply, now time.Time) {
	i := slices.IndexFunc(a.pending, func(k pendingBorrow) bool { return k.id == id })
	if i < 0 {
		return
	}
	k := a.pending[i]
	a.pending = slices.Delete(a.pending, i, i+1)
	if until := k.sentAt.Add(a.cfg.Lifetime); r.Amount > 0 && now.Before(until) {
		a.borrowed.add(borrowedGrant{id: r.Grant, lender: k.lender, granted: r.Amount, remaining: r.Amount, expiresAt: until})
		a.counts.Borrowed += r.Amount
	}
	if p := a.holderAwaiting(id); p != nil {
		a.recordReply(p, r, now)
	}
}

func (a *Account) recordReply(p *holderState, r BorrowReply, now time.Time) {
	requested := p.requested
	p.pendingID, p.requested = 0, 0
	if r.MintingSlices == 0 {
		// Not a holder, or its lease has lapsed: asked again after a while, as
		// it may be about to claim.
		p.remaining, p.repliedAt = 0, now
		p.backoff = maxBackoff
		p.startBackoff(now)
		return
	}
	p.mintingSlices, p.remaining, p.repliedAt = r.MintingSlices, r.Remaining, now
	if r.Amount < min(requested, minBorrow) {
		p.startBackoff(now)
		return
	}
	p.backoff, p.retryAt = 0, time.Time{}
}

// Failed notes that an ask could not be sent or was answered with an error. A
// grant that the holder made is lost.
func (a *Account) HandleFailure(id BorrowID, now time.Time) {
	i := slices.IndexFunc(a.pending, func(k pendingBorrow) bool { return k.id == id })
	if i < 0 {
		return
	}
	a.pending = slices.Delete(a.pending, i, i+1)
	if p := a.holderAwaiting(id); p != nil {
		p.pendingID, p.requested = 0, 0
		p.startBackoff(now)
	}
}
