package quota

import (
	"slices"
	"time"

	"chervilspan.example/pkg/ident"
)

// Pauses after a holder had less than expected, because others borrow from it
// too. The pause doubles up to the longest.
const (
	minPause = 10 * time.Millisecond
	maxPause = 160 * time.Millisecond
)

// peer is what a borrower knows of a holder.
type peer struct {
	vm ident.VM
	// slices is the number of slices it mints from; at least 1.
	slices  int
	left    ident.MicroTokens
	at      time.Time
	pending BorrowID
	asked   ident.MicroTokens
	pause   time.Duration
	notTill time.Time
}

// estimate returns what the holder can lend at now if nobody else borrows.
func (p *peer) estimate(s Share, now time.Time) ident.MicroTokens {
	full := s.Burst * ident.MicroTokens(p.slices)
	if p.at.IsZero() {
		return full
	}
	return min(full, p.left+ident.Accrue(s.Rate*float64(p.slices), now.Sub(p.at)))
}

// enoughAt returns when the estimate reaches amount, zero when it never does.
func (p *peer) enoughAt(s Share, amount ident.MicroTokens) time.Time {
	rate := s.Rate * float64(p.slices)
	if rate <= 0 || s.Burst*ident.MicroTokens(p.slices) < amount {
		return time.Time{}
	}
	short := amount - p.left
	if short <= 0 || p.at.IsZero() {
		return p.notTill
	}
	at := p.at.Add(time.Duration(float64(short)/float64(ident.Token)/rate*float64(time.Second)) + time.Microsecond)
	if at.Before(p.notTill) {
		return p.notTill
	}
	return at
}

func (p *peer) slow(now time.Time) {
	p.pause = min(max(2*p.pause, minPause), maxPause)
	p.notTill = now.Add(p.pause)
}

// demand estimates the arrivals of a workspace a second.
type demand struct {
	start time.Time
	count int
	rate  float64
}

// demandWindow is the time over which arrivals are counted.
const demandWindow = 100 * time.Millisecond

func (d *demand) arrive(now time.Time) {
	d.roll(now)
	d.count++
}

func (d *demand) roll(now time.Time) {
	passed := now.Sub(d.start)
	if passed < demandWindow {
		return
	}
	if passed >= 2*demandWindow || d.start.IsZero() {
		d.rate = 0
	} else {
		d.rate = float64(d.count) / passed.Seconds()
	}
	d.start, d.count = now, 0
}

// ahead returns the tokens that arrivals of the time t will need, whole tokens
// only: less would mostly expire unused.
func (d *demand) ahead(now time.Time, t time.Duration) ident.MicroTokens {
	d.roll(now)
	rate := d.rate
	if passed := now.Sub(d.start).Seconds(); passed > 0 {
		rate = max(rate, float64(d.count)/max(passed, demandWindow.Seconds()))
	}
	return ident.Accrue(rate, t) / ident.Token * ident.Token
}

// setPeers takes the holders to ask, in the order of preference. What is known
// of those that stay is kept.
func (a *Account) setPeers(vms []ident.VM) {
	next := make([]peer, 0, len(vms))
	for _, vm := range vms {
		i := slices.IndexFunc(a.peers, func(p peer) bool { return p.vm == vm })
		if i >= 0 {
			next = append(next, a.peers[i])
		} else {
			next = append(next, peer{vm: vm, slices: 1})
		}
	}
	a.peers = next
}

func (a *Account) peerOf(id BorrowID) *peer {
	for i := range a.peers {
		if a.peers[i].pending == id {
			return &a.peers[i]
		}
	}
	return nil
}
