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

// refusalsGroup is the group that gets the load.
const refusalsGroup = "taller-2"

// measureRefusals measures wrongful refusals while the store is down, while all
// daemons of a zone are stopped and when a VM is killed. All workspaces stay
// within their rate, so that any refusal is wrongful.
func (m *measurement) measureRefusals(ctx context.Context) error {
	d := m.runDuration(2*time.Second, time.Minute)
	victim := m.testbed.fleet.Daemons[len(m.testbed.fleet.Daemons)-1]
	zone, err := m.primaryZone(ctx)
	if err != nil {
		return caseError("refusals", err)
	}
	for _, c := range []struct {
		name string
		// excludedZone is a zone whose daemons get no load.
		excludedZone ident.Zone
		begin, end   func() error
	}{
		{
			fmt.Sprintf("store_outage_%.1fs", d.Seconds()), "",
			func() error { return m.testbed.fleet.SetStoreFaults(ctx, strsrv.Faults{Outage: true}) },
			func() error { return m.testbed.fleet.SetStoreFaults(ctx, strsrv.Faults{}) },
		},
		{
			"zone_stopped", zone,
			func() error { return m.signalZone(zone, syscall.SIGSTOP) },
			func() error {
				if err := m.signalZone(zone, syscall.SIGCONT); err != nil {
					return err
				}
				return m.testbed.waitServing(ctx)
			},
		},
		{
			"vm_death", "",
			func() error { victim.Proc().Kill(); return nil },
			func() error { return m.testbed.fleet.StartDaemon(victim) },
		},
	} {
		r, err := m.runUnderFault(ctx, c.name, c.excludedZone, d, c.begin)
		if err != nil {
			return caseError("refusals "+c.name, err)
		}
		if err := c.end(); err != nil {
			return caseError("refusals "+c.name, err)
		}
		if err := m.out.print(atMost("wrongful_refusals", c.name, refusedShare(r), "share", wrongfulRefusalObjective)); err != nil {
			return err
		}
		notDone := 1 - float64(r.Total.Done)/float64(max(r.Total.Sent, 1))
		if err := m.out.print(withoutObjective("not_done", c.name, notDone, "share")); err != nil {
			return err
		}
	}
	return nil
}

// primaryZone returns the zone of the loaded group's primary, which is also that
// of the VM that lends the primary's slots.
func (m *measurement) primaryZone(ctx context.Context) (ident.Zone, error) {
	t, err := m.testbed.fleet.Primary(ctx, refusalsGroup)
	if err != nil {
		return "", err
	}
	return t.Zone, nil
}

// signalZone sends a signal to all daemons of a zone.
func (m *measurement) signalZone(zone ident.Zone, signal syscall.Signal) error {
	for _, d := range m.testbed.fleet.Daemons {
		if d.Settings.Zone != zone {
			continue
		}
		if err := d.Proc().Signal(signal); err != nil {
			return err
		}
	}
	return nil
}

// runUnderFault runs a load during which a fault begins. The daemons of
// excludedZone, unless empty, get no load.
func (m *measurement) runUnderFault(ctx context.Context, name string, excludedZone ident.Zone, d time.Duration, begin func() error) (*load.Report, error) {
	g := ident.Group(refusalsGroup)
	if err := m.testbed.waitSettled(ctx, g); err != nil {
		return nil, err
	}
	began := make(chan error, 1)
	go func() {
		// The fault must last for most of a shortened run too.
		time.Sleep(min(faultDelay, d/4))
		began <- begin()
	}()
	cfg := m.loadConfig(string(g), steadyRate*float64(len(m.testbed.fleet.Workspaces())), d, 0.2)
	cfg.Addresses = nil
	for _, daemon := range m.testbed.fleet.Daemons {
		if daemon.Settings.Zone != excludedZone {
			cfg.Addresses = append(cfg.Addresses, daemon.CallerAddress)
		}
	}
	r, err := m.runVerified(ctx, g, "refusals_"+name, cfg)
	if err != nil {
		return nil, err
	}
	if err := <-began; err != nil {
		return nil, err
	}
	return r, m.printExcess("refusals_"+name, r)
}
