package quota

import (
	"slices"
	"time"

	"chervilspan.example/pkg/ident"
)

// grant is borrowed from another VM.
type grant struct {
	id    GrantID
	from  ident.VM
	size  ident.MicroTokens
	micro ident.MicroTokens
	until time.Time
}

// cache has the grants of a borrower, the soonest to expire first.
type cache struct {
	grants []grant
	// used lists, by holder, what to settle with the next request.
	used map[ident.VM][]Settlement
	// urgent names holders to settle with soon: they mint little until then, or
	// get tokens back.
	urgent []ident.VM
	// large is the size of an urgent grant.
	large ident.MicroTokens
	// expired counts the tokens that were not used.
	expired ident.MicroTokens
}

// maxSettled bounds the grants that are settled with one request. What is
// beyond it ends with its lifetime.
const maxSettled = 64

func (c *cache) add(g grant) {
	i := len(c.grants)
	for i > 0 && g.until.Before(c.grants[i-1].until) {
		i--
	}
	c.grants = append(c.grants, grant{})
	copy(c.grants[i+1:], c.grants[i:])
	c.grants[i] = g
}

// expire drops the grants whose lifetime is over. The holder drops them by
// itself.
func (c *cache) expire(now time.Time) {
	n := 0
	for n < len(c.grants) && !now.Before(c.grants[n].until) {
		c.expired += c.grants[n].micro
		n++
	}
	if n > 0 {
		c.grants = append(c.grants[:0], c.grants[n:]...)
	}
}

func (c *cache) sum() ident.MicroTokens {
	var s ident.MicroTokens
	for i := range c.grants {
		s += c.grants[i].micro
	}
	return s
}

// take uses up to amount and returns what it used.
func (c *cache) take(amount ident.MicroTokens) ident.MicroTokens {
	var got ident.MicroTokens
	n := 0
	for n < len(c.grants) && got < amount {
		g := &c.grants[n]
		t := min(amount-got, g.micro)
		g.micro -= t
		got += t
		if g.micro == 0 {
			c.settle(g)
			n++
		}
	}
	if n > 0 {
		c.grants = append(c.grants[:0], c.grants[n:]...)
	}
	return got
}

// giveBack returns the tokens of grants that end before the given time. What is
// unused for so long was borrowed for demand that went elsewhere.
func (c *cache) giveBack(before time.Time) {
	n := 0
	for n < len(c.grants) && c.grants[n].until.Before(before) {
		c.settle(&c.grants[n])
		n++
	}
	if n > 0 {
		c.grants = append(c.grants[:0], c.grants[n:]...)
	}
}

// settle notes the end of a grant, used up or not.
func (c *cache) settle(g *grant) {
	if c.used == nil {
		c.used = map[ident.VM][]Settlement{}
	}
	if l := c.used[g.from]; len(l) < maxSettled {
		c.used[g.from] = append(l, Settlement{g.id, g.micro})
	}
	if (g.micro > 0 || g.size >= c.large) && !slices.Contains(c.urgent, g.from) {
		c.urgent = append(c.urgent, g.from)
	}
}

// settled hands over the used grants of a holder. They are not sent again when
// the message is lost, as they end with their lifetime anyway.
func (c *cache) settled(vm ident.VM) []Settlement {
	if i := slices.Index(c.urgent, vm); i >= 0 {
		c.urgent = slices.Delete(c.urgent, i, i+1)
	}
	l := c.used[vm]
	if len(l) > 0 {
		delete(c.used, vm)
	}
	return l
}
