package quota

import (
	"math"
	"time"

	"chervilspan.example/pkg/ident"
)

// loan is a part of a grant that counts against a bucket's burst.
type loan struct {
	id    GrantID
	micro ident.MicroTokens
	until time.Time
}

// bucket mints one slice's share of a workspace's limit.
type bucket struct {
	index Index
	ready time.Time
	share Share
	// next replaces share at nextAt, unless nextAt is zero.
	next   Share
	nextAt time.Time
	level  ident.MicroTokens
	// frac is minted time below one Micro; dropping it would lose an eighth of
	// the rate for a bucket that is advanced each microsecond.
	frac  float64
	last  time.Time
	loans []loan
	lent  ident.MicroTokens
}

// advance mints up to now and ends the loans whose lifetime is over.
func (b *bucket) advance(now time.Time) {
	b.expire(now)
	if !b.nextAt.IsZero() && !now.Before(b.nextAt) {
		b.mint(b.nextAt)
		b.share, b.nextAt = b.next, time.Time{}
	}
	b.mint(now)
}

func (b *bucket) mint(now time.Time) {
	d := now.Sub(b.last)
	if d <= 0 {
		return
	}
	b.last = now
	room := b.share.Burst - b.lent - b.level
	if room <= 0 {
		b.frac = 0
		return
	}
	x := b.share.Rate*d.Seconds()*float64(ident.Token) + b.frac
	if x >= float64(room) {
		b.level += room
		b.frac = 0
		return
	}
	whole := math.Floor(x)
	b.level += ident.MicroTokens(whole)
	b.frac = x - whole
}

// expire ends loans only after the tokens minted so far are counted: room that
// an ended loan leaves is filled from now on.
func (b *bucket) expire(now time.Time) {
	n := 0
	for _, l := range b.loans {
		if !now.Before(l.until) {
			b.mint(l.until)
			b.lent -= l.micro
			continue
		}
		b.loans[n] = l
		n++
	}
	b.loans = b.loans[:n]
}

func (b *bucket) lend(id GrantID, amount ident.MicroTokens, until time.Time) ident.MicroTokens {
	amount = min(amount, b.level)
	if amount <= 0 {
		return 0
	}
	b.level -= amount
	b.lent += amount
	b.loans = append(b.loans, loan{id, amount, until})
	return amount
}

// settle ends a loan and takes back up to unused tokens, but no more than the
// loan had. It returns what it took back.
func (b *bucket) settle(id GrantID, unused ident.MicroTokens) ident.MicroTokens {
	for i, l := range b.loans {
		if l.id == id {
			back := min(max(unused, 0), l.micro)
			b.lent -= l.micro
			b.level = max(b.level, min(b.level+back, b.share.Burst-b.lent))
			b.loans = append(b.loans[:i], b.loans[i+1:]...)
			return back
		}
	}
	return 0
}

// reshare takes a new share. With a delay an increase applies only at that
// time, and a decrease at once.
func (b *bucket) reshare(s Share, now, delayed time.Time) {
	b.advance(now)
	b.nextAt = time.Time{}
	if now.Before(delayed) {
		b.next, b.nextAt = s, delayed
		s = Share{Rate: min(b.share.Rate, s.Rate), Burst: min(b.share.Burst, s.Burst)}
	}
	b.share = s
	b.level = max(0, min(b.level, s.Burst-b.lent))
}
