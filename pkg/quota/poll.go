package quota

import (
	"slices"
	"time"

	"chervilspan.example/pkg/ident"
)

// PollResult is what Poll asks the caller to do.
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
	leastAsk     = ident.Token / 2
	leastLateAsk = ident.Token / 16
)

// largePart: a used grant of at least this part of a slice's burst is settled
// at once, as the slice mints little until then. Smaller ones are settled with
// the next request, which saves the message.
const largePart = 4

// giveBackPart: tokens that are unused for this part of a grant's lifetime are
// returned. Without that they are lost, which at small rates costs more than the
// 5% by which a workspace may stay below its rate and still be refused.
const giveBackPart = 4

// askTimeout ends the wait for a reply, after which the holder may be asked
// again. It is above the round trip between regions.
const askTimeout = 200 * time.Millisecond

// Poll admits waiting requests in the order of arrival, refuses those that have
// waited long enough and asks holders for what is missing.
func (a *Account) Poll(now, lease time.Time) PollResult {
	var out PollResult
	have := a.advance(now, lease)
	n := 0
	for n < len(a.queue) && have >= ident.Token {
		a.take(now, lease)
		have -= ident.Token
		out.Admitted = append(out.Admitted, a.queue[n].ticket)
		n++
	}
	a.counts.Admitted += uint64(n)
	for n < len(a.queue) && !now.Before(a.queue[n].until) {
		out.Refused = append(out.Refused, a.queue[n].ticket)
		a.counts.Refused++
		n++
	}
	a.queue = append(a.queue[:0], a.queue[n:]...)
	a.expireAsks(now)
	if len(a.queue) == 0 {
		a.cache.giveBack(now.Add(a.cfg.Lifetime - a.cfg.Lifetime/giveBackPart))
		have = a.advance(now, lease)
	}
	out.Borrows = a.askFor(have, now)
	out.NextPoll = a.wake(have, now, lease)
	return out
}

// ShouldPoll reports whether a poll would borrow: the tokens at hand don't cover the
// demand of the time ahead. The fast path polls only then.
func (a *Account) ShouldPoll(now, lease time.Time) bool {
	if len(a.peers) == 0 {
		return false
	}
	if len(a.cache.urgent) > 0 {
		return true
	}
	want := a.demand.ahead(now, a.cfg.Lookahead)
	return want > 0 && a.advance(now, lease) < want/2
}

func (a *Account) expireAsks(now time.Time) {
	n := 0
	for _, k := range a.asks {
		if now.Sub(k.sent) < askTimeout {
			a.asks[n] = k
			n++
			continue
		}
		if p := a.peerOf(k.id); p != nil {
			p.pending, p.asked = 0, 0
			p.slow(now)
		}
	}
	a.asks = a.asks[:n]
}

// askFor requests what is needed now and in the time ahead, less what is at
// hand and asked for already. It asks the nearest holders first, each for what
// is still missing, until their estimated levels cover it.
func (a *Account) askFor(have ident.MicroTokens, now time.Time) []OutgoingBorrow {
	ahead := a.demand.ahead(now, a.cfg.Lookahead)
	need := ident.Token*ident.MicroTokens(len(a.queue)) + ahead - have
	if len(a.queue) == 0 && have >= ahead/2 {
		need = 0
	}
	share := a.peerShare()
	for i := range a.peers {
		if p := &a.peers[i]; p.pending != 0 {
			need -= min(p.asked, p.estimate(share, now))
		}
	}
	least := a.least(now)
	var out []OutgoingBorrow
	for i := range a.peers {
		if need <= 0 {
			break
		}
		p := &a.peers[i]
		est := p.estimate(share, now)
		if p.pending != 0 || now.Before(p.notTill) || est < min(need, least) || est == 0 {
			continue
		}
		out = append(out, a.ask(p, need, now))
		need -= est
	}
	return a.settleUrgent(out, now)
}

func (a *Account) least(now time.Time) ident.MicroTokens {
	if len(a.queue) > 0 && !now.Before(a.lateAt()) {
		return leastLateAsk
	}
	full := a.peerShare().Burst
	return max(leastAsk, min(a.demand.ahead(now, a.cfg.Lookahead), full)/4)
}

// lateAt is when the first waiting request has waited for a quarter of its time.
func (a *Account) lateAt() time.Time { return a.queue[0].until.Add(-a.cfg.MaxWait * 3 / 4) }

// settleUrgent adds requests for nothing, which settle large grants.
func (a *Account) settleUrgent(out []OutgoingBorrow, now time.Time) []OutgoingBorrow {
	for i := range a.peers {
		p := &a.peers[i]
		if p.pending == 0 && slices.Contains(a.cache.urgent, p.vm) {
			out = append(out, a.ask(p, 0, now))
		}
	}
	return out
}

func (a *Account) ask(p *peer, amount ident.MicroTokens, now time.Time) OutgoingBorrow {
	a.lastAsk++
	p.pending, p.asked = a.lastAsk, amount
	a.asks = append(a.asks, ask{a.lastAsk, now, p.vm})
	a.counts.BorrowRequests++
	return OutgoingBorrow{ID: a.lastAsk, To: p.vm, BorrowRequest: BorrowRequest{Amount: amount, Settlements: a.cache.settled(p.vm)}}
}

// peerShare is the share that a holder's slice is taken to have.
func (a *Account) peerShare() Share {
	m := MintingSlices(a.setup.Limit, a.setup.SliceCount)
	if m == 0 {
		return Share{}
	}
	return Share{Rate: a.setup.Limit.Rate / float64(m), Burst: ident.MicroTokens(int(a.setup.Limit.Burst)/m) * ident.Token}
}

// wake returns when the first waiting request is refused, gets a token of this
// VM's own buckets, or can ask a holder again, whichever is first.
func (a *Account) wake(have ident.MicroTokens, now, lease time.Time) time.Time {
	if len(a.queue) == 0 {
		if len(a.cache.grants) == 0 {
			return time.Time{}
		}
		return later(now, a.cache.grants[0].until.Add(a.cfg.Lifetime/giveBackPart-a.cfg.Lifetime+1))
	}
	w := a.queue[0].until
	if at := a.lateAt(); at.After(now) {
		w = at
	}
	share, least := a.peerShare(), a.least(now)
	for i := range a.peers {
		p := &a.peers[i]
		if p.pending != 0 {
			continue
		}
		if at := p.enoughAt(share, least); at.After(now) && at.Before(w) {
			w = at
		}
	}
	for _, k := range a.asks {
		if at := k.sent.Add(askTimeout); at.Before(w) {
			w = at
		}
	}
	if at := a.ownTokenAt(have, now, lease); !at.IsZero() && at.Before(w) {
		w = at
	}
	return w
}

func (a *Account) ownTokenAt(have ident.MicroTokens, now, lease time.Time) time.Time {
	if !a.usable(now, lease) {
		return time.Time{}
	}
	var rate float64
	var ready time.Time
	for i := range a.buckets {
		b := &a.buckets[i]
		if now.Before(b.ready) {
			if ready.IsZero() || b.ready.Before(ready) {
				ready = b.ready
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
	short := float64(ident.Token-have) / float64(ident.Token) / rate
	at := now.Add(time.Duration(short*float64(time.Second)) + time.Microsecond)
	if !ready.IsZero() && ready.Before(at) {
		return ready
	}
	return at
}
