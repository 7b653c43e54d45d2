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
	reply := BorrowReply{MintingSlices: a.minting()}
	if len(a.queue) > 0 {
		return reply
	}
	a.lastGrant++
	reply.Grant = a.lastGrant
	until := now.Add(a.cfg.Lifetime)
	for reply.Amount < r.Amount {
		b := a.fullest(now)
		if b == nil {
			break
		}
		reply.Amount += b.lend(a.lastGrant, r.Amount-reply.Amount, until)
	}
	a.counts.Lent += reply.Amount
	for i := range a.buckets {
		if !now.Before(a.buckets[i].ready) {
			reply.Remaining += a.buckets[i].level
		}
	}
	return reply
}

func (a *Account) minting() int {
	n := 0
	for i := range a.buckets {
		if a.buckets[i].share.Burst > 0 || a.buckets[i].next.Burst > 0 {
			n++
		}
	}
	return n
}

// HandleReply takes the reply to an ask. The grant's lifetime counts from the
// sending of the request, which was before the holder began to count. A reply
// that comes twice, after the lifetime or without a request is ignored.
func (a *Account) HandleReply(id BorrowID, r BorrowReply, now time.Time) {
	i := slices.IndexFunc(a.asks, func(k ask) bool { return k.id == id })
	if i < 0 {
		return
	}
	k := a.asks[i]
	a.asks = slices.Delete(a.asks, i, i+1)
	if until := k.sent.Add(a.cfg.Lifetime); r.Amount > 0 && now.Before(until) {
		a.cache.add(grant{id: r.Grant, from: k.to, size: r.Amount, micro: r.Amount, until: until})
		a.counts.Borrowed += r.Amount
	}
	if p := a.peerOf(id); p != nil {
		a.learn(p, r, now)
	}
}

func (a *Account) learn(p *peer, r BorrowReply, now time.Time) {
	asked := p.asked
	p.pending, p.asked = 0, 0
	if r.MintingSlices == 0 {
		// Not a holder, or its lease has lapsed: asked again after a while, as
		// it may be about to claim.
		p.left, p.at = 0, now
		p.pause = maxPause
		p.slow(now)
		return
	}
	p.slices, p.left, p.at = r.MintingSlices, r.Remaining, now
	if r.Amount < min(asked, leastAsk) {
		p.slow(now)
		return
	}
	p.pause, p.notTill = 0, time.Time{}
}

// HandleFailure notes that an ask could not be sent or was answered with an error. A
// grant that the holder made is lost.
func (a *Account) HandleFailure(id BorrowID, now time.Time) {
	i := slices.IndexFunc(a.asks, func(k ask) bool { return k.id == id })
	if i < 0 {
		return
	}
	a.asks = slices.Delete(a.asks, i, i+1)
	if p := a.peerOf(id); p != nil {
		p.pending, p.asked = 0, 0
		p.slow(now)
	}
}
