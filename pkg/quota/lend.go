package quota

import (
	"slices"
	"time"
)

// Lend answers a request of another VM with tokens of the held slices. A VM with
// waiting requests of its own lends nothing, as those arrived before. The grant
// counts against the burst until its lifetime is over or it is settled.
func (a *Account) Lend(r BorrowRequest, now, leaseDeadline time.Time) BorrowReply {
	if a.setup.StaticShare != nil {
		return BorrowReply{}
	}
	a.advance(now, leaseDeadline)
	for _, s := range r.Settlements {
		for i := range a.buckets {
			s.Unused -= a.buckets[i].settle(s.Grant, s.Unused)
		}
	}
	if !now.Before(leaseDeadline) {
		return BorrowReply{}
	}
	reply := BorrowReply{MintingSlices: a.mintingSlices()}
	if len(a.queue) > 0 {
		return reply
	}
	a.lastGrant++
	reply.Grant = a.lastGrant
	expiresAt := now.Add(a.cfg.Lifetime)
	for reply.Amount < r.Amount {
		b := a.fullestBucket(now)
		if b == nil {
			break
		}
		reply.Amount += b.lend(a.lastGrant, r.Amount-reply.Amount, expiresAt)
	}
	a.counts.Lent += reply.Amount
	for i := range a.buckets {
		if !now.Before(a.buckets[i].readyAt) {
			reply.Remaining += a.buckets[i].level
		}
	}
	return reply
}

// mintingSlices returns the number of held slices that have a share of the limit
// now or after the transition.
func (a *Account) mintingSlices() int {
	n := 0
	for i := range a.buckets {
		if a.buckets[i].share.Burst > 0 || a.buckets[i].nextShare.Burst > 0 {
			n++
		}
	}
	return n
}

// HandleReply processes the reply to a borrow request. The grant's lifetime counts
// from when the request was sent, which is before the holder began to count. A
// duplicate reply and one without a request are ignored, and so is a grant whose
// lifetime is over.
func (a *Account) HandleReply(id BorrowID, r BorrowReply, now time.Time) {
	i := slices.IndexFunc(a.pending, func(req pendingBorrow) bool { return req.id == id })
	if i < 0 {
		return
	}
	req := a.pending[i]
	a.pending = slices.Delete(a.pending, i, i+1)
	if expiresAt := req.sentAt.Add(a.cfg.Lifetime); r.Amount > 0 && now.Before(expiresAt) {
		a.borrowed.add(borrowedGrant{id: r.Grant, lender: req.lender, granted: r.Amount, remaining: r.Amount, expiresAt: expiresAt})
		a.counts.Borrowed += r.Amount
	}
	if h := a.holderAwaiting(id); h != nil {
		a.recordReply(h, r, now)
	}
}

// recordReply updates what is known of a holder. A holder that lent less than both
// the requested amount and minBorrow is asked again only after a backoff.
func (a *Account) recordReply(h *holderState, r BorrowReply, now time.Time) {
	requested := h.requested
	if r.Amount < requested {
		a.scarceUntil = now.Add(scarcePeriod)
	}
	h.pendingID, h.requested = 0, 0
	if r.MintingSlices == 0 {
		// The VM is not a holder or its lease has lapsed. It is asked again after
		// the longest backoff, as it may be about to claim a slice.
		h.remaining, h.repliedAt = 0, now
		h.backoff = maxBackoff
		h.startBackoff(now)
		return
	}
	h.mintingSlices, h.remaining, h.repliedAt = r.MintingSlices, r.Remaining, now
	if r.Amount < min(requested, minBorrow) {
		h.startBackoff(now)
		return
	}
	h.backoff, h.retryAt = 0, time.Time{}
}

// HandleFailure processes a borrow request that could not be sent or was answered
// with an error. If the holder made a grant, its tokens are lost.
func (a *Account) HandleFailure(id BorrowID, now time.Time) {
	i := slices.IndexFunc(a.pending, func(req pendingBorrow) bool { return req.id == id })
	if i < 0 {
		return
	}
	a.pending = slices.Delete(a.pending, i, i+1)
	if h := a.holderAwaiting(id); h != nil {
		h.pendingID, h.requested = 0, 0
		h.startBackoff(now)
	}
}
