package engine

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"chervilspan.example/internal/dbpool"
	"chervilspan.example/pkg/ident"
	"chervilspan.example/pkg/roster"
	"chervilspan.example/pkg/speed"
)

// TestReadCost guards against cost terms that send reads to another region or to
// the primary while a replica nearby is idle, or that keep reads waiting at a
// nearby replica while others are idle.
func TestReadCost(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1_000, 0)
	at := Place{Zone: "z1", Region: "r1", RegionOf: func(z ident.Zone) ident.Region {
		if z == "z3" {
			return "r2"
		}
		return "r1"
	}}
	in := func(z ident.Zone) *roster.Member { return &roster.Member{Entry: roster.Entry{Zone: z}} }
	cost := func(m *roster.Member, l dbpool.Load, isPrimary bool) time.Duration {
		total, _ := readCost(m, at, l, speed.Estimate{}, isPrimary, now)
		return total
	}
	idle := dbpool.Load{HasIdle: true}
	is.True(cost(in("z1"), idle, false) < cost(in("z2"), idle, false))
	is.True(cost(in("z2"), idle, false) < cost(in("z1"), idle, true))
	is.True(cost(in("z2"), idle, true) < cost(in("z3"), idle, false))
	is.True(cost(in("z2"), idle, false) < cost(in("z1"), dbpool.Load{Busy: 2, HasIdle: true}, false))
	is.True(cost(in("z3"), idle, false) < cost(in("z1"), dbpool.Load{Busy: 3, Waiting: 2, Full: true}, false))
	is.True(cost(in("z2"), idle, false) < cost(in("z1"), dbpool.Load{HasIdle: true, FailureRate: 0.2}, false))
	behind := in("z1")
	behind.LaggedAt = now
	is.True(cost(in("z3"), idle, false) < cost(behind, idle, false))
	failed := in("z1")
	failed.FailedAt = now
	is.True(cost(in("z3"), dbpool.Load{Busy: 9}, true) < cost(failed, idle, false))
}
