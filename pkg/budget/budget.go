package budget

import (
	"cmp"
	"slices"
	"sync"
)

// ownerFraction is the inverse of the part of the budget that one owner may hold.
const ownerFraction = 2

// Budget is a number of bytes that is divided among messages. The zero value has no
// limit. Its methods may be called from several goroutines.
type Budget struct {
	// Size is the budget in bytes; 0 means no limit. It is at least ownerFraction times
	// MaxShare.
	Size int
	// MaxShare is the maximum number of bytes of an incomplete message.
	MaxShare int

	mu     sync.Mutex
	all    account
	owners map[string]*owner
	// arrivals counts the calls of Grow.
	arrivals uint64
}

// owner has the shares of one owner.
type owner struct {
	account
	// fresh has waiting shares that hold nothing yet, grown those that hold some bytes,
	// each in the order of arrival.
	fresh, grown []*Share
}

// account sums up shares.
type account struct {
	// held is the number of bytes held, complete that of complete messages among them.
	held, complete int
	// growing has the number of incomplete messages by the bytes that each holds.
	growing map[int]int
}

// Share is what one message holds. Its fields but Owner are used by the Budget only.
type Share struct {
	// Owner says on whose behalf the message is received. It must not change while the
	// share holds or awaits bytes.
	Owner string

	held     int
	complete bool
	// wanted is the number of bytes that the message waits for; 0 if it does not wait.
	wanted  int
	arrival uint64
	granted chan struct{}
}

// Granted returns a channel that is closed when the bytes of the last Grow are granted.
func (s *Share) Granted() <-chan struct{} { return s.granted }

// InUse returns the number of bytes held by all shares.
func (b *Budget) InUse() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.all.held
}

// Grow asks for n more bytes. It reports whether they were granted at once; if not, the
// share waits in the queue until Granted is closed or Release is called.
func (b *Budget) Grow(s *Share, n int) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.arrivals++
	s.wanted, s.arrival, s.granted = n, b.arrivals, make(chan struct{})
	q := b.owner(s.Owner).queue(s)
	*q = append(*q, s)
	b.grantAll()
	return s.wanted == 0
}

// Complete sets the number of bytes that a complete message holds until it is released.
// It never waits.
func (b *Budget) Complete(s *Share, n int) { b.set(s, n, true) }

// TryHold sets the number of bytes that a share holds until it is released, and reports
// whether they fit. It never waits.
func (b *Budget) TryHold(s *Share, n int) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if more := n - s.held; more > 0 && b.Size > 0 {
		held := 0
		if o := b.owners[s.Owner]; o != nil {
			held = o.held
		}
		if b.all.held+more > b.Size || held+more > b.Size/ownerFraction {
			return false
		}
	}
	b.setLocked(s, n, true)
	return true
}

// Release returns the bytes of a share, and ends its wait.
func (b *Budget) Release(s *Share) { b.set(s, 0, false) }

func (b *Budget) set(s *Share, n int, complete bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.setLocked(s, n, complete)
}

func (b *Budget) setLocked(s *Share, n int, complete bool) {
	if s.wanted > 0 {
		b.dequeue(s)
	}
	b.change(s, n, complete)
	b.grantAll()
}

// owner returns what an owner holds.
func (b *Budget) owner(name string) *owner {
	o := b.owners[name]
	if o == nil {
		o = &owner{}
		if b.owners == nil {
			b.owners = map[string]*owner{}
		}
		b.owners[name] = o
	}
	return o
}

// queue returns the queue in which a share waits.
func (o *owner) queue(s *Share) *[]*Share {
	if s.held == 0 {
		return &o.fresh
	}
	return &o.grown
}

func (b *Budget) dequeue(s *Share) {
	s.wanted = 0
	q := b.owner(s.Owner).queue(s)
	i := slices.Index(*q, s)
	*q = slices.Delete(*q, i, i+1)
}

// change sets what a share holds.
func (b *Budget) change(s *Share, n int, complete bool) {
	o := b.owner(s.Owner)
	for _, a := range [...]*account{&b.all, &o.account} {
		a.remove(s.held, s.complete)
		a.add(n, complete)
	}
	s.held, s.complete = n, complete
	if o.held == 0 && len(o.fresh)+len(o.grown) == 0 {
		delete(b.owners, s.Owner)
	}
}

func (a *account) add(n int, complete bool) {
	a.held += n
	switch {
	case complete:
		a.complete += n
	case n > 0:
		if a.growing == nil {
			a.growing = map[int]int{}
		}
		a.growing[n]++
	}
}

func (a *account) remove(n int, complete bool) {
	a.held -= n
	switch {
	case complete:
		a.complete -= n
	case n > 0:
		a.growing[n]--
		if a.growing[n] == 0 {
			delete(a.growing, n)
		}
	}
}

// fits reports whether a message that holds some bytes can get n more out of size, so
// that afterwards the message that holds most could still grow to maxShare.
func (a *account) fits(held, n, size, maxShare int) bool {
	if a.held+n > size {
		return false
	}
	most := held + n
	for h := range a.growing {
		most = max(most, h)
	}
	return size-(a.held-a.complete)-n >= maxShare-most
}

// grantAll grants bytes to those waiting shares that can have them, in their order.
func (b *Budget) grantAll() {
	for {
		s := b.next()
		if s == nil {
			return
		}
		n := s.held + s.wanted
		b.dequeue(s)
		b.change(s, n, false)
		close(s.granted)
	}
}

// next returns the waiting share that gets its bytes next, nil if there is none.
func (b *Budget) next() *Share {
	var grown, fresh *Share
	for _, o := range b.owners {
		for _, s := range o.grown {
			if b.fitsOwner(o, s) && b.fitsAll(s) && b.before(s, grown) {
				grown = s
			}
		}
		if len(o.fresh) > 0 && b.fitsOwner(o, o.fresh[0]) && b.before(o.fresh[0], fresh) {
			fresh = o.fresh[0]
		}
	}
	if fresh != nil && b.before(fresh, grown) && b.fitsAll(fresh) {
		return fresh
	}
	return grown
}

// before reports whether a share is served before another one, which may be nil.
func (b *Budget) before(s, other *Share) bool {
	if other == nil {
		return true
	}
	return cmp.Or(cmp.Compare(b.owners[s.Owner].held, b.owners[other.Owner].held), cmp.Compare(s.arrival, other.arrival)) < 0
}

func (b *Budget) fitsAll(s *Share) bool {
	return b.Size == 0 || b.all.fits(s.held, s.wanted, b.Size, b.MaxShare)
}

func (b *Budget) fitsOwner(o *owner, s *Share) bool {
	return b.Size == 0 || o.fits(s.held, s.wanted, b.Size/ownerFraction, b.MaxShare)
}
