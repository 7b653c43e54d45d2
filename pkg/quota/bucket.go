package quota

import (
	"math"
	"time"

	"chervilspan.example/pkg/ident"
)

// loan is a part of a grant that counts against a bucket's burst.
type lentPart struct {
	id        GrantID
	amount    ident.Micro
	expiresAt time.Time
}

// bucket mints one slice's share of a workspace's limit.
type bucket struct {
	index   Index
	readyAt time.Time
	share   Share
	// next replaces share at nextAt, unless nextAt is zero.
	nextShare   Share
	nextShareAt time.Time
	level       ident.Micro
	// frac is minted time below one Micro; dropping it would lose an eighth of
	// the rate for a bucket that is advanced each microsecond.
	fraction    float64
	mintedUntil time.Time
	lentParts   []lentPart
	lent        ident.Micro
}

// advance mints up to now and ends the loans whose lifetime is over.
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
	b.level += ident.Micro(whole)
	b.fraction = minted - whole
}

// expire ends loans only after the tokens minted so far are counted: room that
// an ended loan leaves is filled from now on.
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

func (b *bucket) lend(id GrantID, amount ident.Micro, until time.Time) ident.Micro {
	amount = min(amount, b.level)
	if amount <= 0 {
		return 0
	}
	b.level -= amount
	b.lent += amount
	b.lentParts = append(b.lentParts, lentPart{id, amount, until})
	return amount
}

// settle ends a loan and takes back up to unused tokens, but no more than the
// loan had. It returns what it took back.
func (b *bucket) settle(id GrantID, unused ident.Micro) ident.Micro {
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

// reshare takes a new share. With a delay an increase applies only at that
// time, and a decrease at once.
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
