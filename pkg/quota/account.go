package quota

import (
	"slices"
	"time"

	"chervilspan.example/pkg/ident"
)

// Setup is what an Account works with. Configure takes a new one at any time.
type Setup struct {
	Limit Limit
	// Slices is the number of slices of the shard; 0 stands for DefaultSlices.
	SliceCount int
	Shard      Shard
	Offset     uint32
	// Held are the slices of the workspace's shard that this VM holds.
	HeldSlices []HeldSlice
	// Holders are the other VMs to ask, in the order of Placement.Order.
	Holders []ident.VM
	// Since is when the workspace was first seen in the catalogue; no bucket
	// mints for the time before.
	FirstSeen time.Time
	// Static, unless nil, replaces slices and lending by this VM's fixed share.
	StaticShare *Share
	// Credit is what all slices together may start with when they are claimed,
	// in tokens. It is at most half of what the platform tolerates above the
	// limit, so that each slice may be claimed twice in a window.
	InitialTokens float64
}

// Counts are totals since the Account was made.
type Counts struct {
	Admitted, Refused uint64
	// Asks counts requests sent to holders. Lent, Borrowed and Expired count
	// tokens; the last ones were borrowed and not used in time.
	BorrowRequests          uint64
	Lent, Borrowed, Expired ident.MicroTokens
}

type waiting struct {
	ticket Ticket
	until  time.Time
}

type ask struct {
	id   BorrowID
	sent time.Time
	to   ident.VM
}

// Account is one workspace at one VM: the buckets of the held slices, the
// borrowed grants and the waiting requests. Every method takes the current
// time; those that use a slice also take the lease's deadline.
type Account struct {
	cfg     Config
	setup   Setup
	layout  bool
	changed time.Time // end of a transition between layouts
	buckets []bucket
	// parked are the buckets of slices that are not held any more. One goes on
	// when its slice is held again under the same claim.
	parked []bucket
	cache  cache
	peers  []peer
	asks   []ask
	queue  []waiting
	demand demand
	counts Counts

	lastGrant  GrantID
	lastAsk    BorrowID
	lastTicket Ticket
}

// NewAccount returns an Account that admits nothing until it is configured.
func NewAccount(cfg Config) *Account {
	cfg = cfg.withDefaults()
	return &Account{cfg: cfg, lastGrant: cfg.FirstGrantID}
}

// Configure takes a new setup while the account is in use. When the layout of
// minting slices changes, VMs with the old and the new catalogue could together
// mint more than either allows, so a slice's increase waits for Transition;
// decreases, and increases under the same layout, apply at once.
func (a *Account) Configure(s Setup, now time.Time) {
	if s.SliceCount == 0 {
		s.SliceCount = DefaultSlices
	}
	if a.layout && a.layoutDiffers(s) {
		a.changed = now.Add(a.cfg.TransitionPeriod)
	}
	moved := a.layout && s.Shard != a.setup.Shard
	a.layout = true
	a.setup = s
	a.setPeers(s.Holders)
	a.cache.large = a.peerShare().Burst / largePart
	if s.StaticShare != nil {
		a.static(*s.StaticShare, now)
		return
	}
	a.setBuckets(moved, now)
}

func (a *Account) layoutDiffers(s Setup) bool {
	old := a.setup
	return old.SliceCount != s.SliceCount || old.Shard != s.Shard || old.Offset != s.Offset ||
		MintingSlices(old.Limit, old.SliceCount) != MintingSlices(s.Limit, s.SliceCount)
}

func (a *Account) setBuckets(moved bool, now time.Time) {
	s := a.setup
	next := make([]bucket, 0, len(s.HeldSlices))
	for _, h := range s.HeldSlices {
		share := SliceShare(s.Limit, h.Slice.Index, s.SliceCount, s.Offset)
		b, known := a.former(h, moved)
		if !known {
			b = bucket{index: h.Slice.Index, ready: h.ReadyAt, last: later(h.ReadyAt, s.FirstSeen)}
			if !a.changed.After(now) {
				b.share = share
				b.level = min(share.Burst, ident.MicroTokens(s.InitialTokens/float64(s.SliceCount)*float64(ident.Token)))
			}
		}
		b.reshare(share, now, a.changed)
		next = append(next, b)
	}
	a.park(next, moved)
	a.buckets = next
}

// former returns the bucket of a held slice, if there was one under this claim.
func (a *Account) former(h HeldSlice, moved bool) (bucket, bool) {
	if moved {
		return bucket{}, false
	}
	for _, list := range [][]bucket{a.buckets, a.parked} {
		for _, b := range list {
			if b.index == h.Slice.Index && b.ready.Equal(h.ReadyAt) {
				return b, true
			}
		}
	}
	return bucket{}, false
}

// park keeps the buckets that are not in next, one for each slice.
func (a *Account) park(next []bucket, moved bool) {
	if moved {
		a.parked = nil
		return
	}
	held := func(b bucket) bool {
		return slices.ContainsFunc(next, func(n bucket) bool { return n.index == b.index })
	}
	for _, b := range a.buckets {
		if !held(b) {
			a.parked = append(slices.DeleteFunc(a.parked, func(p bucket) bool { return p.index == b.index }), b)
		}
	}
	a.parked = slices.DeleteFunc(a.parked, held)
}

func (a *Account) static(s Share, now time.Time) {
	if len(a.buckets) != 1 {
		a.buckets = []bucket{{last: now, ready: now, share: s}}
	}
	a.buckets[0].reshare(s, now, time.Time{})
}

func later(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}

// usable reports whether the VM may mint now: before the lease's deadline. The
// static split depends on no lease.
func (a *Account) usable(now, lease time.Time) bool {
	return a.setup.StaticShare != nil || now.Before(lease)
}

// advance mints, ends what has expired and returns the tokens at hand.
func (a *Account) advance(now, lease time.Time) ident.MicroTokens {
	a.cache.expire(now)
	sum := a.cache.sum()
	if !a.usable(now, lease) {
		return sum
	}
	for i := range a.buckets {
		b := &a.buckets[i]
		b.advance(now)
		if !now.Before(b.ready) {
			sum += b.level
		}
	}
	return sum
}

// Admit takes a token for a request that arrives now. It returns false when
// there is none or others wait already; the request then goes to Enqueue.
func (a *Account) Admit(now, lease time.Time) bool {
	if len(a.queue) > 0 || a.advance(now, lease) < ident.Token {
		return false
	}
	a.demand.arrive(now)
	a.take(now, lease)
	a.counts.Admitted++
	return true
}

// PermitValid reports whether an admission decided at the given time may still be
// used at now. A process that was paused for longer than the lifetime of a
// permit may have lost its slices meanwhile.
func (a *Account) PermitValid(decided, now time.Time) bool {
	return now.Sub(decided) < a.cfg.Lifetime
}

// take uses one token that advance has found: borrowed ones first, as they
// expire, then the fullest buckets.
func (a *Account) take(now, lease time.Time) {
	need := ident.Token - a.cache.take(ident.Token)
	for need > 0 && a.usable(now, lease) {
		b := a.fullest(now)
		if b == nil {
			return
		}
		t := min(need, b.level)
		b.level -= t
		need -= t
	}
}

func (a *Account) fullest(now time.Time) *bucket {
	var best *bucket
	for i := range a.buckets {
		b := &a.buckets[i]
		if !now.Before(b.ready) && b.level > 0 && (best == nil || b.level > best.level) {
			best = b
		}
	}
	return best
}

// Enqueue adds a request that arrives now to those that wait.
func (a *Account) Enqueue(now time.Time) Ticket {
	a.demand.arrive(now)
	a.lastTicket++
	a.queue = append(a.queue, waiting{a.lastTicket, now.Add(a.cfg.MaxWait)})
	return a.lastTicket
}

// Cancel removes a waiting request whose caller has gone. It reports false when
// the request no longer waits.
func (a *Account) Cancel(t Ticket) bool {
	i := slices.IndexFunc(a.queue, func(w waiting) bool { return w.ticket == t })
	if i < 0 {
		return false
	}
	a.queue = slices.Delete(a.queue, i, i+1)
	return true
}

// Counts returns the totals.
func (a *Account) Counts() Counts {
	c := a.counts
	c.Expired = a.cache.expired
	return c
}

// Queued returns the number of waiting requests.
func (a *Account) Queued() int { return len(a.queue) }

// Demand returns the arrivals a second seen lately.
func (a *Account) Demand(now time.Time) float64 {
	a.demand.roll(now)
	return a.demand.rate
}

// HeldSliceCount returns the number of held slices.
func (a *Account) HeldSliceCount() int { return len(a.setup.HeldSlices) }
