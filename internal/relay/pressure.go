package relay

import (
	"time"

	"chervilspan.example/internal/dbpool"
	"chervilspan.example/pkg/ident"
	"chervilspan.example/pkg/place"
	"chervilspan.example/pkg/roster"
)

// pressureKey identifies the queue of turns of one lender at a database.
type pressureKey struct {
	target  ident.Target
	address string
}

// recordPressure stores the delays that a lender has reported; none means that no
// request waits.
func (c *Client) recordPressure(k pressureKey, delays []uint32) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(delays) == 0 {
		delete(c.pressure, k)
		return
	}
	if c.pressure == nil {
		c.pressure = map[pressureKey]dbpool.Pressure{}
	}
	c.pressure[k] = dbpool.Pressure{Delays: delays, At: time.Now(), Source: k.address}
}

// Pressure implements dbpool.Lender. It is that of the first lender that is not
// avoided.
func (c *Client) Pressure(m *roster.Member, ws ident.Workspace, allowed place.Regions) dbpool.Pressure {
	c.mu.Lock()
	none := len(c.pressure) == 0
	c.mu.Unlock()
	if none {
		return dbpool.Pressure{}
	}
	for _, address := range c.cfg.Lenders(m, ws, allowed) {
		if c.avoids(address, m.ID) {
			continue
		}
		c.mu.Lock()
		defer c.mu.Unlock()
		return c.pressure[pressureKey{m.ID, address}]
	}
	return dbpool.Pressure{}
}
