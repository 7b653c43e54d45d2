package quota

import (
	"strconv"
	"time"

	"chervilspan.example/pkg/ident"
)

// Defaults of Config and Sharing.
const (
	// DefaultLifetime is the time for which a permit or a grant may be used.
	DefaultLifetime = time.Second
	// DefaultAhead is the time whose demand is borrowed in advance.
	DefaultLookahead = 100 * time.Millisecond
	// DefaultWait is the time that a request waits for tokens.
	DefaultMaxWait = 250 * time.Millisecond
	// DefaultTransition covers the 9 s in which an edit is in force everywhere
	// and the lifetime of a grant.
	DefaultTransitionPeriod = 10 * time.Second
	// DefaultShards and DefaultSlices apply when the catalogue names none.
	DefaultShards = 16
	DefaultSlices = 12
)

// Limit is a workspace's rate in statements a second and burst in statements.
type Limit struct {
	Rate  float64
	Burst uint32
}

// Shard numbers a set of workspaces that share slices.
type Shard uint32

// Index numbers the slices of a shard.
type Index uint32

// Slice names a slice.
type Slice struct {
	Shard Shard
	Index Index
}

// SlicePrefix starts the store keys of slices.
const SlicePrefix = "slice/"

// Key returns the slice's store key.
func (s Slice) Key() string {
	return SlicePrefix + strconv.Itoa(int(s.Shard)) + "/" + strconv.Itoa(int(s.Index))
}

// GrantID identifies a grant at its lender. A lender starts from a random
// number, so that settlements for a former process match nothing.
type GrantID uint64

// BorrowID identifies a request of a borrower.
type BorrowID uint64

// Ticket identifies a waiting request.
type Ticket uint64

// Config has the parameters of an Account. Zero durations stand for the
// defaults.
type Config struct {
	Self             ident.VM
	Lifetime         time.Duration
	Lookahead        time.Duration
	MaxWait          time.Duration
	TransitionPeriod time.Duration
	// FirstGrant is the random start of grant ids.
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
	// Settled lists grants of this holder that have ended early. The holder
	// stops counting them against the burst.
	Settlements []Settlement
}

// Settlement ends a grant before its lifetime is over. The borrower sends it
// after the last use, so the holder may mint in place of the grant at once.
type Settlement struct {
	Grant GrantID
	// Unused tokens go back to the holder's bucket.
	Unused ident.MicroTokens
}

// OutgoingBorrow is a Request to send to a VM. The answer goes to Receive or Failed.
type OutgoingBorrow struct {
	ID BorrowID
	To ident.VM
	BorrowRequest
}

// BorrowReply answers a Request.
type BorrowReply struct {
	Grant  GrantID
	Amount ident.MicroTokens
	// Left is what the holder could still lend after this grant.
	Remaining ident.MicroTokens
	// Slices is the number of minting slices that the VM holds; 0 means none.
	MintingSlices int
}
