package quota

import (
	"slices"
	"time"

	"chervilspan.example/pkg/ident"
)

// grant is borrowed from another VM.
type borrowedGrant struct {
	id        GrantID
	lender    ident.VM
	granted   ident.Micro
	remaining ident.Micro
	expiresAt time.Time
}

// cache has the grants of a borrower, the soonest to expire first.
type grantCache struct {
	grants []borrowedGrant
	// used lists, by holder, what to settle with the next request.
	settlements map[ident.VM][]Settlement
	// urgent names holders to settle with soon: they mint little until then, or
	// get tokens back.
	settleSoon []ident.VM
	// large is the size of an urgent grant.
	settleSoonSize ident.Micro
	// expired counts the tokens that were not used.
	expired ident.Micro
}

// maxSettled bounds the grants that are settled with one request. What is
// beyond it ends with its lifetime.
const maxSettlements = 64

func (c *grantCache) add(g borrowedGrant) {
	i := len(c.grants)
	for i > 0 && g.expiresAt.Before(c.grants[i-1].expiresAt) {
		i--
	}
	c.grants = append(c.grants, borrowedGrant{})
	copy(c.grants[i+1:], c.grants[i:])
	c.grants[i] = g
}

// expire drops the grants whose lifetime is over. The holder drops them by
// itself.
func (c *grantCache) expire(now time.Time) {
	n := 0
	for n < len(c.grants) && !now.Before(c.grants[n].expiresAt) {
		c.expired += c.grants[n].remaining
		n++
	}
	if n > 0 {
		c.grants = append(c.grants[:0], c.grants[n:]...)
	}
}

func (c *grantCache) total() ident.Micro {
	var s ident.Micro
	for i := range c.grants {
		s += c.grants[i].remaining
	}
	return s
}

// take uses up to amount and returns what it used.
func (c *grantCache) take(amount ident.Micro) ident.Micro {
	var taken ident.Micro
	n := 0
	for n < len(c.grants) && taken < amount {
		g := &c.grants[n]
		used := min(amount-taken, g.remaining)
		g.remaining -= used
		taken += used
		if g.remaining == 0 {
			c.queueSettlement(g)
			n++
		}
	}
	if n > 0 {
		c.grants = append(c.grants[:0], c.grants[n:]...)
	}
	return taken
}

// giveBack returns the tokens of grants that end before the given time. What is
// unused for so long was borrowed for demand that went elsewhere.
func (c *grantCache) settleExpiringBefore(before time.Time) {
	n := 0
	for n < len(c.grants) && c.grants[n].expiresAt.Before(before) {
		c.queueSettlement(&c.grants[n])
		n++
	}
	if n > 0 {
		c.grants = append(c.grants[:0], c.grants[n:]...)
	}
}

// settle notes the end of a grant, used up or not.
func (c *grantCache) queueSettlement(g *borrowedGrant) {
	if c.settlements == nil {
		c.settlements = map[ident.VM][]Settlement{}
	}
	if l := c.settlements[g.lender]; len(l) < maxSettlements {
		c.settlements[g.lender] = append(l, Settlement{g.id, g.remaining})
	}
	if (g.remaining > 0 || g.granted >= c.settleSoonSize) && !slices.Contains(c.settleSoon, g.lender) {
		c.settleSoon = append(c.settleSoon, g.lender)
	}
}

// settled hands over the used grants of a holder. They are not sent again when
// the message is lost, as they end with their lifetime anyway.
func (c *grantCache) takeSettlements(vm ident.VM) []Settlement {
	if i := slices.Index(c.settleSoon, vm); i >= 0 {
		c.settleSoon = slices.Delete(c.settleSoon, i, i+1)
	}
	l := c.settlements[vm]
	if len(l) > 0 {
		delete(c.settlements, vm)
	}
	return l
}
