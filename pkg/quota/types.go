package quota

import (
	"strconv"
	"time"

	"chervilspan.example/pkg/ident"
)

// Defaults of Config and of the catalogue's sharing section.
const (
	// DefaultLifetime is the time for which a permit or a grant may be used.
	DefaultLifetime = time.Second
	// DefaultLookahead is the period of expected demand that is borrowed in
	// advance.
	DefaultLookahead = 100 * time.Millisecond
	// DefaultMaxWait is the longest time that a request waits for tokens.
	DefaultMaxWait = 250 * time.Millisecond
	// DefaultTransitionPeriod covers the 9 s within which a catalogue edit takes
	// effect on every VM, and the lifetime of a grant.
	DefaultTransitionPeriod = 10 * time.Second
	// DefaultShards and DefaultSlices apply when the catalogue sets no numbers.
	DefaultShards = 16
	DefaultSlices = 12
)

// Limit is a workspace's rate in statements per second and burst in statements.
type Limit struct {
	Rate  float64
	Burst uint32
}

// Shard is the number of a set of workspaces that share slices.
type Shard uint32

// Index is the number of a slice within its shard.
type Index uint32

// Slice identifies a slice.
type Slice struct {
	Shard Shard
	Index Index
}

// SlicePrefix is the prefix of the store keys of slices.
const SlicePrefix = "slice/"

// Key returns the slice's store key.
func (s Slice) Key() string {
	return SlicePrefix + strconv.Itoa(int(s.Shard)) + "/" + strconv.Itoa(int(s.Index))
}

// GrantID identifies a grant at its lender. A lender starts counting at a random
// number, so that settlements meant for an earlier process match no grant.
type GrantID uint64

// BorrowID identifies a borrow request at its borrower.
type BorrowID uint64

// Ticket identifies a waiting request.
type Ticket uint64

// Config has the fixed parameters of an Account. Zero durations stand for the
// defaults.
type Config struct {
	Self ident.VM
	// Lifetime is how long a permit or a grant may be used.
	Lifetime time.Duration
	// Lookahead is the period of expected demand that is borrowed in advance.
	Lookahead time.Duration
	// MaxWait is the longest time that a request waits for tokens.
	MaxWait time.Duration
	// TransitionPeriod delays increases after a change of the slice layout.
	TransitionPeriod time.Duration
	// FirstGrantID is the random number from which grant IDs count up.
	FirstGrantID GrantID
}

func (c Config) withDefaults() Config {
	set := func(d *time.Duration, v time.Duration) {
		if *d == 0 {
			*d = v
		}
	}
	set(&c.Lifetime, DefaultLifetime)
	set(&c.Lookahead, DefaultLookahead)
	set(&c.MaxWait, DefaultMaxWait)
	set(&c.TransitionPeriod, DefaultTransitionPeriod)
	return c
}

// BorrowRequest asks a holder for tokens.
type BorrowRequest struct {
	Amount ident.MicroTokens
	// Settlements lists grants of this holder that have ended early. The holder
	// stops counting them against the burst.
	Settlements []Settlement
}

// Settlement ends a grant before its lifetime is over. The borrower sends it
// after the last use, so the holder may mint replacement tokens at once.
type Settlement struct {
	Grant GrantID
	// Unused is the number of tokens that go back to the holder's bucket.
	Unused ident.MicroTokens
}

// OutgoingBorrow is a BorrowRequest to send to a VM. The outcome goes to
// Account.HandleReply or Account.HandleFailure.
type OutgoingBorrow struct {
	ID BorrowID
	To ident.VM
	BorrowRequest
}

// BorrowReply answers a BorrowRequest.
type BorrowReply struct {
	Grant  GrantID
	Amount ident.MicroTokens
	// Remaining is what the holder could still lend after this grant.
	Remaining ident.MicroTokens
	// MintingSlices is the number of slices with a share of the limit that the
	// VM holds; 0 means that it is not a holder.
	MintingSlices int
}
