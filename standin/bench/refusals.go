package bench

import (
	"context"
	"fmt"
	"syscall"
	"time"

	"chervilspan.example/pkg/ident"
	"chervilspan.example/standin/load"
	"chervilspan.example/standin/strsrv"
)

// refusalsGroup is the group that the load goes to.
const refusalsGroup = "taller-2"

// refusals measures wrongful refusals while the store is down, while all
// daemons of a zone are frozen and while a VM dies. All workspaces stay within
// their rate.
func (m *meter) refusals(ctx context.Context) error {
	d := m.span(2*time.Second, time.Minute)
	victim := m.stage.f.Daemons[len(m.stage.f.Daemons)-1]
	zone, err := m.primaryZone(ctx)
	if err != nil {
		return caseError("refusals", err)
	}
	for _, c := range []struct {
		name string
		// without is a zone whose daemons get no load.
		without    ident.Zone
		begin, end func() error
	}{
		{
			fmt.Sprintf("store_outage_%.1fs", d.Seconds()), "",
			func() error { return m.stage.f.StoreFaults(ctx, strsrv.Faults{Outage: true}) },
			func() error { return m.stage.f.StoreFaults(ctx, strsrv.Faults{}) },
		},
		{
			"zone_stopped", zone,
			func() error { return m.signalZone(zone, syscall.SIGSTOP) },
			func() error {
				if err := m.signalZone(zone, syscall.SIGCONT); err != nil {
					return err
				}
				return m.stage.reachable(ctx)
			},
		},
		{
			"vm_death", "",
			func() error { victim.Proc().Kill(); return nil },
			func() error { return m.stage.f.StartDaemon(victim) },
		},
	} {
		r, err := m.under(ctx, c.name, c.without, d, c.begin)
		if err != nil {
			return caseError("refusals "+c.name, err)
		}
		if err := c.end(); err != nil {
			return caseError("refusals "+c.name, err)
		}
		if err := m.out.print(atMost("wrongful_refusals", c.name, refusedShare(r), "share", wrongful)); err != nil {
			return err
		}
		lost := 1 - float64(r.Total.Done)/float64(max(r.Total.Sent, 1))
		if err := m.out.print(plain("not_done", c.name, lost, "share")); err != nil {
			return err
		}
	}
	return nil
}

// primaryZone returns the zone of the loaded group's primary: the VM that lends
// the primary's slots is there.
func (m *meter) primaryZone(ctx context.Context) (ident.Zone, error) {
	t, err := m.stage.f.Primary(ctx, refusalsGroup)
	if err != nil {
		return "", err
	}
	return t.Zone, nil
}

// signalZone sends a signal to all daemons of a zone.
func (m *meter) signalZone(zone ident.Zone, signal syscall.Signal) error {
	for _, d := range m.stage.f.Daemons {
		if d.Settings.Zone != zone {
			continue
		}
		if err := d.Proc().Signal(signal); err != nil {
			return err
		}
	}
	return nil
}

// under runs a load during which a fault begins. The daemons of the zone
// without, unless empty, get no load.
func (m *meter) under(ctx context.Context, name string, without ident.Zone, d time.Duration, begin func() error) (*load.Report, error) {
	g := ident.Group(refusalsGroup)
	if err := m.stage.settle(ctx, g); err != nil {
		return nil, err
	}
	began := make(chan error, 1)
	go func() {
		// A shortened run must still be mostly under the fault.
		time.Sleep(min(faultAfter, d/4))
		began <- begin()
	}()
	cfg := m.load(string(g), steadyRate*float64(len(m.stage.f.Workspaces())), d, 0.2)
	cfg.Addresses = nil
	for _, daemon := range m.stage.f.Daemons {
		if daemon.Settings.Zone != without {
			cfg.Addresses = append(cfg.Addresses, daemon.Callers)
		}
	}
	r, err := m.run(ctx, g, "refusals_"+name, cfg)
	if err != nil {
		return nil, err
	}
	if err := <-began; err != nil {
		return nil, err
	}
	return r, m.bounded("refusals_"+name, r)
}
