package quota

import (
	"math"
	"time"

	"chervilspan.example/pkg/ident"
)

// lentPart is the part of a grant that was taken from one bucket. It counts
// against the bucket's burst until it expires or is settled.
type lentPart struct {
	id        GrantID
	amount    ident.MicroTokens
	expiresAt time.Time
}

// bucket is the token bucket of one slice's share of a workspace's limit.
type bucket struct {
	index   Index
	readyAt time.Time
	share   Share
	// nextShare replaces share at nextShareAt, unless nextShareAt is zero.
	nextShare   Share
	nextShareAt time.Time
	level       ident.MicroTokens
	// fraction is the minted amount below one unit of MicroTokens, in that unit.
	// Dropping it would lose an eighth of the rate in a bucket that is advanced
	// every microsecond.
	fraction    float64
	mintedUntil time.Time
	lentParts   []lentPart
	lent        ident.MicroTokens // sum of lentParts
}

// advance mints up to now, drops expired grants and applies a share that is due.
func (b *bucket) advance(now time.Time) {
	b.expire(now)
	if !b.nextShareAt.IsZero() && !now.Before(b.nextShareAt) {
		b.mint(b.nextShareAt)
		b.share, b.nextShareAt = b.nextShare, time.Time{}
	}
	b.mint(now)
}

func (b *bucket) mint(now time.Time) {
	d := now.Sub(b.mintedUntil)
	if d <= 0 {
		return
	}
	b.mintedUntil = now
	room := b.share.Burst - b.lent - b.level
	if room <= 0 {
		b.fraction = 0
		return
	}
	minted := b.share.Rate*d.Seconds()*float64(ident.Token) + b.fraction
	if minted >= float64(room) {
		b.level += room
		b.fraction = 0
		return
	}
	whole := math.Floor(minted)
	b.level += ident.MicroTokens(whole)
	b.fraction = minted - whole
}

// expire drops the parts of grants whose lifetime is over. It mints up to each
// expiry first, since tokens for the freed room may be minted only from then on.
func (b *bucket) expire(now time.Time) {
	n := 0
	for _, l := range b.lentParts {
		if !now.Before(l.expiresAt) {
			b.mint(l.expiresAt)
			b.lent -= l.amount
			continue
		}
		b.lentParts[n] = l
		n++
	}
	b.lentParts = b.lentParts[:n]
}

// lend moves up to amount tokens from the bucket to a grant and returns how many
// it moved.
func (b *bucket) lend(id GrantID, amount ident.MicroTokens, expiresAt time.Time) ident.MicroTokens {
	amount = min(amount, b.level)
	if amount <= 0 {
		return 0
	}
	b.level -= amount
	b.lent += amount
	b.lentParts = append(b.lentParts, lentPart{id, amount, expiresAt})
	return amount
}

// settle ends the bucket's part of a grant and refunds up to unused tokens, but
// no more than the part had. It returns the amount that it deducts from unused.
func (b *bucket) settle(id GrantID, unused ident.MicroTokens) ident.MicroTokens {
	for i, l := range b.lentParts {
		if l.id == id {
			refund := min(max(unused, 0), l.amount)
			b.lent -= l.amount
			b.level = max(b.level, min(b.level+refund, b.share.Burst-b.lent))
			b.lentParts = append(b.lentParts[:i], b.lentParts[i+1:]...)
			return refund
		}
	}
	return 0
}

// setShare changes the share. A decrease applies at once, an increase at
// increaseAt or, if that has passed, at once.
func (b *bucket) setShare(s Share, now, increaseAt time.Time) {
	b.advance(now)
	b.nextShareAt = time.Time{}
	if now.Before(increaseAt) {
		b.nextShare, b.nextShareAt = s, increaseAt
		s = Share{Rate: min(b.share.Rate, s.Rate), Burst: min(b.share.Burst, s.Burst)}
	}
	b.share = s
	b.level = max(0, min(b.level, s.Burst-b.lent))
}
