package bench

import (
	"context"
	"fmt"
	"time"

	"chervilspan.example/pkg/ident"
	"chervilspan.example/standin/load"
	"chervilspan.example/standin/strsrv"
)

// refusals measures wrongful refusals while a VM dies and while the store is
// down. All workspaces stay within their rate.
func (m *meter) refusals(ctx context.Context) error {
	d := m.span(2*time.Second, time.Minute)
	victim := m.stage.f.Daemons[len(m.stage.f.Daemons)-1]
	for _, c := range []struct {
		name       string
		begin, end func() error
	}{
		{
			fmt.Sprintf("store_outage_%.0fs", d.Seconds()),
			func() error { return m.stage.storeFaults(ctx, strsrv.Faults{Outage: true}) },
			func() error { return m.stage.storeFaults(ctx, strsrv.Faults{}) },
		},
		{
			"vm_death",
			func() error { victim.Proc().Kill(); return nil },
			func() error { return m.stage.f.StartDaemon(victim) },
		},
	} {
		r, err := m.under(ctx, c.name, d, c.begin)
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

// under runs a load during which a fault begins.
func (m *meter) under(ctx context.Context, name string, d time.Duration, begin func() error) (*load.Report, error) {
	g := ident.Group("taller-2")
	if err := m.stage.settle(ctx, g); err != nil {
		return nil, err
	}
	began := make(chan error, 1)
	go func() {
		time.Sleep(faultAfter)
		began <- begin()
	}()
	cfg := m.load(string(g), steadyRate*float64(len(m.stage.f.Workspaces())), d, 0.2)
	r, err := m.run(ctx, g, "refusals_"+name, cfg)
	if err != nil {
		return nil, err
	}
	return r, <-began
}
