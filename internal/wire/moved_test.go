package wire

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"

	"chervilspan.example/internal/wiretest"
	"chervilspan.example/pkg/access"
	"chervilspan.example/pkg/catal"
	"chervilspan.example/pkg/ident"
	"chervilspan.example/pkg/topo"
)

// refreshed is an Access whose route may be moved to another group.
type refreshed struct{ *fixture }

func (r refreshed) Refresh(auth access.Authorization) (access.Authorization, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	auth.Group, auth.MaxAge = r.auth.Group, r.auth.MaxAge
	return auth, nil
}

// addGroup adds the group h, whose only database is c.
func (fx *fixture) addGroup() {
	fx.mu.Lock()
	defer fx.mu.Unlock()
	fx.targets["c"] = wiretest.New("c")
	fx.targets["c"].Handle = echo
	groups := map[ident.Group]catal.Group{"g": {Targets: map[ident.Target]catal.Target{}}, "h": {Targets: map[ident.Target]catal.Target{}}}
	for id, g := range map[ident.Target]ident.Group{"a": "g", "b": "g", "c": "h"} {
		groups[g].Targets[id] = catal.Target{Address: targetAddress(id), Zone: "z1", Slots: 4, Connections: 8}
	}
	fx.table.Configure(&catal.Catalogue{Groups: groups})
	fx.table.Learn(topo.Hint{Group: "g", Term: 1, Primary: "a"})
	fx.table.Learn(topo.Hint{Group: "h", Term: 1, Primary: "c"})
}

func (fx *fixture) moveRoute(g ident.Group) {
	fx.mu.Lock()
	defer fx.mu.Unlock()
	fx.auth.Group = g
}

// TestOwnWriteMovedRoute guards against reads that accept stale data and miss the session's own
// write, after its route was moved to another group and back.
func TestOwnWriteMovedRoute(t *testing.T) {
	var fx *fixture
	access := &refreshed{}
	withFixture(t, func(t *testing.T, is *is.I, f *fixture) {
		fx = f
		access.fixture = fx
		fx.addGroup()
		fx.auth.MaxAge = time.Minute
		c := fx.connect()
		read := func() {
			is.Helper()
			_, err := c.Exec(context.Background(), "SELECT 1")
			is.NoErr(err)
		}
		_, err := c.Exec(t.Context(), "INSERT INTO t VALUES (1)")
		is.NoErr(err)
		read()
		is.Equal(len(fx.targets["b"].Calls()), 0) // it lacks the write
		fx.moveRoute("h")
		read()
		is.True(len(fx.targets["c"].Calls()) > 0)
		fx.moveRoute("g")
		read()
		is.Equal(len(fx.targets["b"].Calls()), 0)
	}, func(cfg *Config) { cfg.Access = access })
}
