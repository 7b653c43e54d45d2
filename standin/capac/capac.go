package capac

import (
	"cmp"
	"context"
	"encoding/json"
	"io"
	"math"
	"slices"
	"time"

	"chervilspan.example/pkg/ident"
	"chervilspan.example/standin/fleet"
)

// Config says where the programs are and what is measured.
type Config struct {
	// Bin is the folder with the programs.
	Bin string
	// Only is the name of one measure; empty means all.
	Only string
	// Daemons leaves fleets of other sizes out of idle and edits; 0 means none.
	Daemons int
	// Out takes the results.
	Out io.Writer
}

// Line is one result.
type Line struct {
	Measure string `json:"measure"`
	// Daemons and Groups are the size of the fleet.
	Daemons int `json:"daemons"`
	Groups  int `json:"groups"`
	// Size is that of the load: connections, or statements a second.
	Size  int     `json:"size,omitempty"`
	Value float64 `json:"value"`
	Unit  string  `json:"unit"`
}

// Measure runs the measures and writes their results.
func Measure(ctx context.Context, cfg Config) error {
	m := &meter{cfg: cfg, out: json.NewEncoder(cfg.Out)}
	for _, c := range []struct {
		name string
		run  func(context.Context) error
	}{
		{"idle", m.idle}, {"connections", m.connections}, {"statements", m.statements}, {"edits", m.edits}, {"catalogue", m.catalogue}, {"serving", m.serving},
	} {
		if cfg.Only != "" && cfg.Only != c.name {
			continue
		}
		if err := c.run(ctx); err != nil {
			return err
		}
	}
	return nil
}

// meter writes the results of the measures.
type meter struct {
	cfg Config
	out *json.Encoder
}

// point is a fleet under measurement.
type point struct {
	m       *meter
	f       *fleet.Fleet
	measure string
	groups  int
}

func (p *point) print(unit string, size int, value float64) error {
	return p.m.out.Encode(Line{
		Measure: p.measure, Daemons: len(p.f.Daemons), Groups: p.groups, Size: size,
		Value: math.Round(value*1000) / 1000, Unit: unit,
	})
}

// settle is how long a new fleet may elect primaries, claim its slices and
// load its code before it counts as idle.
const settle = 6 * time.Second

// with runs f on a fleet with so many daemons in each of three zones.
func (m *meter) with(ctx context.Context, measure string, daemons, groups int, f func(context.Context, *point) error) (err error) {
	layout := fleet.Workshop()
	layout.Groups = layout.Groups[:groups]
	layout.Rate, layout.Burst = 2000, 2000
	for i := range layout.Places {
		layout.Places[i].Daemons = daemons / len(layout.Places)
	}
	fl, err := fleet.New(fleet.Config{Bin: m.cfg.Bin, Layout: layout})
	if err != nil {
		return fail("prepare a fleet", KindFleet, err)
	}
	defer func() { err = cmp.Or(err, fail("stop a fleet", KindFleet, fl.Stop())) }()
	p := &point{m: m, f: fl, measure: measure, groups: groups}
	if err := p.start(ctx); err != nil {
		return fail("start a fleet", KindFleet, err)
	}
	return f(ctx, p)
}

func (p *point) start(ctx context.Context) error {
	if err := p.f.Start(ctx); err != nil {
		return err
	}
	if err := p.f.Publish(ctx); err != nil {
		return err
	}
	return wait(ctx, settle)
}

func wait(ctx context.Context, d time.Duration) error {
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-time.After(d):
		return nil
	}
}

// all reads the counters of all daemons.
func (p *point) all() ([]usage, error) {
	out := make([]usage, len(p.f.Daemons))
	for i, d := range p.f.Daemons {
		var err error
		if out[i], err = read(d.Proc()); err != nil {
			return nil, err
		}
	}
	return out, nil
}

// rates are means over the daemons of a fleet.
type rates struct{ cpu, sent, received float64 }

// during returns the means a second over all daemons during d.
func (p *point) during(ctx context.Context, d time.Duration) (r rates, err error) {
	before, err := p.all()
	if err != nil {
		return r, err
	}
	if err := wait(ctx, d); err != nil {
		return r, err
	}
	after, err := p.all()
	if err != nil {
		return r, err
	}
	for i, a := range after {
		b := before[i]
		s := a.at.Sub(b.at).Seconds() * float64(len(after))
		r.cpu += (a.cpu - b.cpu).Seconds() / s
		r.sent += float64(a.sent-b.sent) / s
		r.received += float64(a.received-b.received) / s
	}
	return r, nil
}

// workspace returns the first workspace of the fleet, and route its first
// route.
func (p *point) workspace() ident.Workspace { return p.f.Workspaces()[0] }

func (p *point) route() ident.Route {
	var all []ident.Route
	for r := range p.f.Catalogue.Routes {
		all = append(all, r)
	}
	return slices.Min(all)
}
