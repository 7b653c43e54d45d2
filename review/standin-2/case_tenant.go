package main

import (
	"fmt"
	"time"
)

// configApply is ConfigApplyMs.
const configApply = 4 * time.Second

// tenantCase: a version takes a key away from one tenant and gives it to another, while the
// consumer that has the key is in a transaction.
var tenantCase = testCase{
	services: []string{"orders"},
	config:   func(w *world) configuration { return w.twoTenants(3, false) },
	play:     playTenant,
}

// twoTenants returns a desired state in which the key belongs to the first tenant, or to the
// second if it was moved.
func (w *world) twoTenants(version int, moved bool) configuration {
	c := w.primaryRoute()
	c.Version = version
	c.Tenants = []tenant{
		{Name: "first", APIKeys: []string{"other-key-1"}, RatePerS: 100, Burst: 100},
		{Name: "second", APIKeys: []string{"other-key-2"}, RatePerS: 100, Burst: 100},
	}
	i := 0
	if moved {
		i = 1
	}
	c.Tenants[i].APIKeys = append(c.Tenants[i].APIKeys, "moved-key")
	return c
}

func playTenant(w *world) (bool, error) {
	g := w.groups[0]
	tenants := map[string]string{}
	g.mu.Lock()
	g.onRun = func(r run) {
		g.mu.Lock()
		defer g.mu.Unlock()
		tenants[r.id] = r.tenant
		w.rec.linef(r.db.id, "runs %s %q for tenant %s", r.id, r.text, r.tenant)
	}
	g.mu.Unlock()
	time.Sleep(6 * time.Second) // machines are in touch
	c, err := dial("c1", w.rec, w.nodes[0], "cut-orders", "moved-key")
	if err != nil {
		return false, err
	}
	defer c.close()
	for _, text := range []string{"BEGIN", "WRITE cut1 begun"} {
		if a := c.query(text, time.Second); !a.ok() {
			return false, fmt.Errorf("%s: %s", text, a)
		}
	}
	holder := "first"
	if w.trouble {
		holder = "second"
	}
	ackedAt := w.write(w.twoTenants(5, w.trouble))
	foreign := 0
	for i := range 9 {
		time.Sleep(700 * time.Millisecond) // a pause, shorter than TxIdleMs
		text := fmt.Sprintf("READ cut%d", i)
		if i == 8 {
			text = "COMMIT"
		}
		a := c.query(text, time.Second)
		if a.err != nil {
			break
		}
		g.mu.Lock()
		tenant := tenants[a.id]
		g.mu.Unlock()
		if after := a.sentAt.Sub(ackedAt); after > configApply && tenant != "" && tenant != holder {
			foreign++
			w.rec.linef("judge", "%s was sent %s after version 5 was acknowledged, and ran for tenant %q; the key is that of %q", a.id, after.Round(time.Millisecond), tenant, holder)
		}
		if !a.ok() {
			break
		}
	}
	w.rec.linef("judge", "%d statements ran for a tenant that does not hold the key", foreign)
	return foreign > 0, nil
}
