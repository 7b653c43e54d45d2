package quota

import (
	"slices"
	"time"

	"chervilspan.example/pkg/ident"
)

// Setup has the changeable parameters of an Account; see Account.Configure.
type Setup struct {
	Limit Limit
	// SliceCount is the number of slices of the shard; 0 stands for DefaultSlices.
	SliceCount int
	Shard      Shard
	// Offset is the workspace's SliceOffset.
	Offset uint32
	// HeldSlices are the slices of the workspace's shard that this VM holds.
	HeldSlices []HeldSlice
	// Holders are the other VMs to borrow from, in the order of
	// Placement.SortByDistance.
	Holders []ident.VM
	// FirstSeen is when the workspace first appeared in the catalogue; no bucket
	// mints for the time before.
	FirstSeen time.Time
	// StaticShare, unless nil, replaces slices and lending by a fixed share.
	StaticShare *Share
	// InitialTokens is the number of tokens that all slices together may start
	// with when they are claimed. It is at most half of the excess over the limit
	// that the platform tolerates, so that each slice may be claimed twice in a
	// window.
	InitialTokens float64
}

// Counts are totals since the Account was created.
type Counts struct {
	Admitted, Refused uint64
	// BorrowRequests counts requests sent to holders. Lent, Borrowed and Expired
	// count tokens; Expired ones were borrowed but not used in time.
	BorrowRequests          uint64
	Lent, Borrowed, Expired ident.MicroTokens
}

type queuedRequest struct {
	ticket   Ticket
	deadline time.Time
}

type pendingBorrow struct {
	id     BorrowID
	sentAt time.Time
	lender ident.VM
}

// Account limits the rate of one workspace on one VM. It has the buckets of the
// held slices, the borrowed grants and the waiting requests. Methods take the
// current time; those that use a slice also take the lease's deadline.
type Account struct {
	cfg           Config
	setup         Setup
	configured    bool
	transitionEnd time.Time // when increases apply after a change of the layout
	buckets       []bucket
	// inactive has the buckets of slices that are no longer held. A bucket becomes
	// active again, with its tokens, when its slice is held again under the same
	// claim.
	inactive []bucket
	borrowed grantCache
	holders  []holderState
	pending  []pendingBorrow
	queue    []queuedRequest
	demand   demand
	counts   Counts
	// scarceUntil is the end of scarcePeriod.
	scarceUntil time.Time

	lastGrant  GrantID
	lastBorrow BorrowID
	lastTicket Ticket
}

// NewAccount returns an Account that admits nothing until it is configured.
func NewAccount(cfg Config) *Account {
	cfg = cfg.withDefaults()
	return &Account{cfg: cfg, lastGrant: cfg.FirstGrantID}
}

// Configure replaces the setup; it may be called while the account is in use.
// When the layout of minting slices changes, VMs with the old and the new
// catalogue could together mint more than either allows, so increases of a
// slice's share are delayed by Config.TransitionPeriod. Decreases, and increases
// under the same layout, apply at once.
func (a *Account) Configure(s Setup, now time.Time) {
	if s.SliceCount == 0 {
		s.SliceCount = DefaultSlices
	}
	if a.configured && a.layoutDiffers(s) {
		a.transitionEnd = now.Add(a.cfg.TransitionPeriod)
	}
	shardChanged := a.configured && s.Shard != a.setup.Shard
	a.configured = true
	a.setup = s
	a.setHolders(s.Holders)
	a.borrowed.settleSoonSize = a.nominalShare().Burst / largeGrantDivisor
	if s.StaticShare != nil {
		a.setStaticShare(*s.StaticShare, now)
		return
	}
	a.setBuckets(shardChanged, now)
}

// layoutDiffers reports whether s divides the limit among other slices than the
// present setup.
func (a *Account) layoutDiffers(s Setup) bool {
	old := a.setup
	return old.SliceCount != s.SliceCount || old.Shard != s.Shard || old.Offset != s.Offset ||
		MintingSlices(old.Limit, old.SliceCount) != MintingSlices(s.Limit, s.SliceCount)
}

func (a *Account) setBuckets(shardChanged bool, now time.Time) {
	s := a.setup
	next := make([]bucket, 0, len(s.HeldSlices))
	for _, h := range s.HeldSlices {
		share := SliceShare(s.Limit, h.Slice.Index, s.SliceCount, s.Offset)
		b, known := a.priorBucket(h, shardChanged)
		if !known {
			b = bucket{index: h.Slice.Index, readyAt: h.ReadyAt, mintedUntil: later(h.ReadyAt, s.FirstSeen)}
			if !a.transitionEnd.After(now) {
				b.share = share
				b.level = min(share.Burst, ident.MicroTokens(s.InitialTokens/float64(s.SliceCount)*float64(ident.Token)))
			}
		}
		b.setShare(share, now, a.transitionEnd)
		next = append(next, b)
	}
	a.keepInactive(next, shardChanged)
	a.buckets = next
}

// priorBucket returns the existing bucket of a held slice, if there is one under
// the same claim. Equal ready times identify the claim.
func (a *Account) priorBucket(h HeldSlice, shardChanged bool) (bucket, bool) {
	if shardChanged {
		return bucket{}, false
	}
	for _, list := range [][]bucket{a.buckets, a.inactive} {
		for _, b := range list {
			if b.index == h.Slice.Index && b.readyAt.Equal(h.ReadyAt) {
				return b, true
			}
		}
	}
	return bucket{}, false
}

// keepInactive moves the buckets that are not in next to the inactive ones, at
// most one for each slice.
func (a *Account) keepInactive(next []bucket, shardChanged bool) {
	if shardChanged {
		a.inactive = nil
		return
	}
	held := func(b bucket) bool {
		return slices.ContainsFunc(next, func(n bucket) bool { return n.index == b.index })
	}
	for _, b := range a.buckets {
		if !held(b) {
			a.inactive = append(slices.DeleteFunc(a.inactive, func(p bucket) bool { return p.index == b.index }), b)
		}
	}
	a.inactive = slices.DeleteFunc(a.inactive, held)
}

func (a *Account) setStaticShare(s Share, now time.Time) {
	if len(a.buckets) != 1 {
		a.buckets = []bucket{{mintedUntil: now, readyAt: now, share: s}}
	}
	a.buckets[0].setShare(s, now, time.Time{})
}

func later(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}

// mayMint reports whether the VM may use its buckets at now, which is before the
// lease's deadline. A static share depends on no lease.
func (a *Account) mayMint(now, leaseDeadline time.Time) bool {
	return a.setup.StaticShare != nil || now.Before(leaseDeadline)
}

// advance mints tokens up to now, drops expired grants and returns the number of
// available tokens.
func (a *Account) advance(now, leaseDeadline time.Time) ident.MicroTokens {
	a.borrowed.expire(now)
	sum := a.borrowed.total()
	if !a.mayMint(now, leaseDeadline) {
		return sum
	}
	for i := range a.buckets {
		b := &a.buckets[i]
		b.advance(now)
		if !now.Before(b.readyAt) {
			sum += b.level
		}
	}
	return sum
}

// Admit takes a token for a request that arrives now. It returns false when
// there is no token or other requests are waiting; the caller then calls Enqueue.
func (a *Account) Admit(now, leaseDeadline time.Time) bool {
	if len(a.queue) > 0 || a.advance(now, leaseDeadline) < ident.Token {
		return false
	}
	a.demand.recordArrival(now)
	a.takeToken(now, leaseDeadline)
	a.counts.Admitted++
	return true
}

// PermitValid reports whether a permit that Admit gave at the time decided may
// still be used at now. A process that was paused for longer than the lifetime
// of a permit may have lost its slices meanwhile.
func (a *Account) PermitValid(decided, now time.Time) bool {
	return now.Sub(decided) < a.cfg.Lifetime
}

// takeToken removes one token, which advance must have reported as available.
// It uses borrowed tokens first, as they expire, then those of the fullest
// buckets.
func (a *Account) takeToken(now, leaseDeadline time.Time) {
	need := ident.Token - a.borrowed.take(ident.Token)
	for need > 0 && a.mayMint(now, leaseDeadline) {
		b := a.fullestBucket(now)
		if b == nil {
			return
		}
		taken := min(need, b.level)
		b.level -= taken
		need -= taken
	}
}

func (a *Account) fullestBucket(now time.Time) *bucket {
	var best *bucket
	for i := range a.buckets {
		b := &a.buckets[i]
		if !now.Before(b.readyAt) && b.level > 0 && (best == nil || b.level > best.level) {
			best = b
		}
	}
	return best
}

// Enqueue appends a request that arrives now to the queue.
func (a *Account) Enqueue(now time.Time) Ticket {
	a.demand.recordArrival(now)
	a.lastTicket++
	a.queue = append(a.queue, queuedRequest{a.lastTicket, now.Add(a.cfg.MaxWait)})
	return a.lastTicket
}

// Cancel removes a waiting request whose caller has gone. It returns false when
// the request is no longer waiting.
func (a *Account) Cancel(t Ticket) bool {
	i := slices.IndexFunc(a.queue, func(w queuedRequest) bool { return w.ticket == t })
	if i < 0 {
		return false
	}
	a.queue = slices.Delete(a.queue, i, i+1)
	return true
}

// Counts returns the totals.
func (a *Account) Counts() Counts {
	c := a.counts
	c.Expired = a.borrowed.expired
	return c
}

// Queued returns the number of waiting requests.
func (a *Account) Queued() int { return len(a.queue) }

// Demand returns the recent arrival rate in requests per second.
func (a *Account) Demand(now time.Time) float64 {
	a.demand.advanceWindow(now)
	return a.demand.rate
}

// HeldSliceCount returns the number of held slices.
func (a *Account) HeldSliceCount() int { return len(a.setup.HeldSlices) }
