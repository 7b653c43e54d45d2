package cold

import (
	"github.com/uber-go/tally/v4"

	"chervilspan.example/internal/evlog"
	"chervilspan.example/pkg/catal"
	"chervilspan.example/pkg/ident"
	"chervilspan.example/pkg/quota"
)

// logged is what was last logged of a database.
type logged struct {
	cold bool
	// invalidSince is the start of the process whose unusable report was logged.
	invalidSince int64
}

type metrics struct {
	admitted, refused tally.Counter
	cold              tally.Gauge
}

func newMetrics(s tally.Scope) metrics {
	s = s.SubScope("cold")
	return metrics{admitted: s.Counter("admitted"), refused: s.Counter("refused"), cold: s.Gauge("targets")}
}

func (m *metrics) count(admitted bool) {
	if admitted {
		m.admitted.Inc(1)
		return
	}
	m.refused.Inc(1)
}

// logInvalid logs the unusable values of a version of the catalogue, once.
func (g *Guard) logInvalid(c *catal.Catalogue) {
	g.mu.Lock()
	known := g.warned == c.Version
	g.warned = c.Version
	g.mu.Unlock()
	if known {
		return
	}
	for name, group := range c.Groups {
		if v := group.WarmUp.Invalid; v != "" {
			evlog.At(g.cfg.Log, evlog.ColdInvalid).Uint64("version", uint64(c.Version)).Str("group", string(name)).Str("field", v).Send()
		}
	}
}

// follow logs which databases have become cold or warm, and forgets those without a
// limit.
func (g *Guard) follow(limits map[ident.Target]quota.Limit) {
	now := g.cfg.Clock()
	g.mu.Lock()
	defer g.mu.Unlock()
	limited := func(id ident.Target) bool { _, ok := limits[id]; return ok }
	g.table.Retain(limited)
	for id := range g.reported {
		if !limited(id) {
			delete(g.reported, id)
		}
	}
	for id, a := range g.admissions {
		if !limited(id) && a.queue.Len() == 0 && a.inFlight == 0 {
			delete(g.admissions, id)
		}
	}
	count := 0
	for id, limit := range limits {
		last, cold := g.reported[id], g.table.Cold(id, now)
		if cold {
			count++
		}
		if cold == last.cold {
			continue
		}
		last.cold = cold
		g.reported[id] = last
		if cold {
			evlog.At(g.cfg.Log, evlog.TargetCold).Str("target", string(id)).Int64("left_ms", g.table.Left(id, now).Milliseconds()).
				Float64("rate", limit.Rate).Uint32("burst", limit.Burst).Send()
		} else {
			evlog.At(g.cfg.Log, evlog.TargetWarm).Str("target", string(id)).Send()
		}
	}
	g.metrics.cold.Update(float64(count))
}

// logReport logs an unusable report, once for each process.
func (g *Guard) logReport(id ident.Target, start int64) {
	g.mu.Lock()
	last := g.reported[id]
	known := last.invalidSince == start
	last.invalidSince = start
	g.reported[id] = last
	g.mu.Unlock()
	if !known {
		evlog.At(g.cfg.Log, evlog.ColdInvalid).Str("target", string(id)).Str("field", "ColdLeftMs").Send()
	}
}
