package node

import (
	"context"
	"time"

	"chervilspan.example/internal/cold"
	"chervilspan.example/pkg/catal"
	"chervilspan.example/pkg/ident"
	"chervilspan.example/pkg/quota"
	"chervilspan.example/pkg/roster"
	"chervilspan.example/pkg/uptime"
	"chervilspan.example/pkg/warm"
)

// permitLifetime is how long after its admission a request may be sent to a cold
// database. The burst is smaller by what the rate yields in this time; see
// warm.Tolerance.Limit.
const permitLifetime = 100 * time.Millisecond

// setColdGuard sets the guard of cold databases if the settings ask for one.
func (n *Node) setColdGuard() {
	x := n.settings.ColdExcess
	n.cold = cold.New(cold.Config{
		Tolerance: warm.Tolerance{Fraction: x.Fraction, Tokens: x.Tokens},
		Lifetimes: warm.Lifetimes{Grant: grantLifetime, Permit: permitLifetime},
		Admit:     func(ctx context.Context, id ident.Target) error { return n.limiter.AdmitAt(ctx, id) },
		Catalogue: n.follower, Roster: n.roster, Clock: uptime.Now, Log: n.log, Scope: n.metrics.Scope,
	})
	if n.cold != nil {
		n.pools.Guard = n.cold
	}
}

// coldLimits returns the source of limits of databases, nil without a guard.
func (n *Node) coldLimits() func(*catal.Catalogue) map[ident.Target]quota.Limit {
	if n.cold == nil {
		return nil
	}
	return n.cold.Limits
}

// coldRamp returns the source of the parts of reads that databases may get, nil
// without a guard.
func (n *Node) coldRamp() func(*roster.Member) float64 {
	if n.cold == nil {
		return nil
	}
	return n.cold.Ramp
}
