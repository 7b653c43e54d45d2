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

// Config holds the settings of a measurement.
type Config struct {
	// Bin is the directory of the programs.
	Bin string
	// Only is the name of the only measure to run; empty means all.
	Only string
	// Daemons restricts idle, edits and serving to fleets with this number of
	// daemons; 0 means all sizes.
	Daemons int
	// Out receives the results.
	Out io.Writer
}

// Line is one result.
type Line struct {
	Measure string `json:"measure"`
	// Daemons and Groups are the size of the fleet.
	Daemons int `json:"daemons"`
	Groups  int `json:"groups"`
	// Size is the number of connections or workspaces, or the statements per
	// second; 0 where the measure has none of these.
	Size  int     `json:"size,omitempty"`
	Value float64 `json:"value"`
	Unit  string  `json:"unit"`
}

// Measure runs the measures and writes their results as JSON lines.
func Measure(ctx context.Context, cfg Config) error {
	m := &measurement{cfg: cfg, out: json.NewEncoder(cfg.Out)}
	for _, c := range []struct {
		name string
		run  func(context.Context) error
	}{
		{"idle", m.measureIdle}, {"connections", m.measureConnections}, {"statements", m.measureStatements}, {"edits", m.measureEdits}, {"catalogue", m.measureCatalogue}, {"serving", m.measureServing},
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

// measurement runs the measures.
type measurement struct {
	cfg Config
	out *json.Encoder
}

// experiment is a fleet of one size under measurement.
type experiment struct {
	measurement *measurement
	fleet       *fleet.Fleet
	measure     string
	groups      int
}

func (e *experiment) print(unit string, size int, value float64) error {
	return e.measurement.out.Encode(Line{
		Measure: e.measure, Daemons: len(e.fleet.Daemons), Groups: e.groups, Size: size,
		Value: math.Round(value*1000) / 1000, Unit: unit,
	})
}

// settleTime is the time in which a new fleet elects primaries, claims its slices
// and loads its code before it counts as idle.
const settleTime = 6 * time.Second

// withFleet runs f on a new fleet, whose daemons are divided evenly among the
// zones.
func (m *measurement) withFleet(ctx context.Context, measure string, daemons, groups int, f func(context.Context, *experiment) error) (err error) {
	layout := fleet.Workshop()
	layout.Groups = layout.Groups[:groups]
	layout.Rate, layout.Burst = 2000, 2000
	for i := range layout.Zones {
		layout.Zones[i].Daemons = daemons / len(layout.Zones)
	}
	fl, err := fleet.New(fleet.Config{Bin: m.cfg.Bin, Layout: layout})
	if err != nil {
		return wrapError("prepare a fleet", KindFleet, err)
	}
	defer func() { err = cmp.Or(err, wrapError("stop a fleet", KindFleet, fl.Stop())) }()
	e := &experiment{measurement: m, fleet: fl, measure: measure, groups: groups}
	if err := e.start(ctx); err != nil {
		return wrapError("start a fleet", KindFleet, err)
	}
	return f(ctx, e)
}

func (e *experiment) start(ctx context.Context) error {
	if err := e.fleet.Start(ctx); err != nil {
		return err
	}
	if err := e.fleet.Publish(ctx); err != nil {
		return err
	}
	return sleep(ctx, settleTime)
}

func sleep(ctx context.Context, d time.Duration) error {
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-time.After(d):
		return nil
	}
}

// readAllUsage reads the counters of all daemons.
func (e *experiment) readAllUsage() ([]processUsage, error) {
	out := make([]processUsage, len(e.fleet.Daemons))
	for i, d := range e.fleet.Daemons {
		var err error
		if out[i], err = readUsage(d.Proc()); err != nil {
			return nil, err
		}
	}
	return out, nil
}

// meanRates are means per second and daemon.
type meanRates struct{ cpu, sent, received float64 }

// measureRates returns the mean rates of a fleet's daemons over d.
func (e *experiment) measureRates(ctx context.Context, d time.Duration) (r meanRates, err error) {
	before, err := e.readAllUsage()
	if err != nil {
		return r, err
	}
	if err := sleep(ctx, d); err != nil {
		return r, err
	}
	after, err := e.readAllUsage()
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

// firstWorkspace returns the first workspace of the fleet.
func (e *experiment) firstWorkspace() ident.Workspace { return e.fleet.Workspaces()[0] }

// firstRoute returns the first route of the fleet in the order of names.
func (e *experiment) firstRoute() ident.Route {
	var all []ident.Route
	for r := range e.fleet.Catalogue.Routes {
		all = append(all, r)
	}
	return slices.Min(all)
}
