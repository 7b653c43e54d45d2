package quota

import (
	"slices"
	"time"

	"chervilspan.example/pkg/ident"
)

// borrowedGrant has the tokens that another VM lent to this one.
type borrowedGrant struct {
	id        GrantID
	lender    ident.VM
	granted   ident.MicroTokens
	remaining ident.MicroTokens
	expiresAt time.Time
}

// grantCache has the grants of a borrower, ordered by expiry, the soonest first.
type grantCache struct {
	grants []borrowedGrant
	// settlements lists, by holder, what to settle with the next request.
	settlements map[ident.VM][]Settlement
	// settleSoon lists holders whose settlements don't wait for the next need of
	// tokens, because the holder mints little until then or gets tokens back.
	settleSoon []ident.VM
	// settleSoonSize is the least size of a grant that is settled soon even when
	// it is used up.
	settleSoonSize ident.MicroTokens
	// expired is the number of tokens that expired unused.
	expired ident.MicroTokens
}

// maxSettlements bounds the grants that are settled with one request. Further
// grants end with their lifetime.
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

// expire drops the grants whose lifetime is over. They need no settlement, as
// the holder drops them too.
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

func (c *grantCache) total() ident.MicroTokens {
	var s ident.MicroTokens
	for i := range c.grants {
		s += c.grants[i].remaining
	}
	return s
}

// take uses up to amount of the tokens, from the soonest to expire on, and
// returns how much it used.
func (c *grantCache) take(amount ident.MicroTokens) ident.MicroTokens {
	var taken ident.MicroTokens
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

// settleExpiringBefore ends the grants that expire before t and queues the return
// of their unused tokens. Tokens that stay unused until then were borrowed for
// demand that has moved to other VMs.
func (c *grantCache) settleExpiringBefore(t time.Time) {
	n := 0
	for n < len(c.grants) && c.grants[n].expiresAt.Before(t) {
		c.queueSettlement(&c.grants[n])
		n++
	}
	if n > 0 {
		c.grants = append(c.grants[:0], c.grants[n:]...)
	}
}

// queueSettlement adds the settlement of a grant, used up or not, to the next
// request to its lender.
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

// takeSettlements removes and returns the queued settlements for a holder. They
// are not sent again when the message is lost, as the grants end with their
// lifetime anyway.
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
