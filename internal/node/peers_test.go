package node

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"chervilspan.example/internal/dbpool"
	"chervilspan.example/internal/fleet"
	"chervilspan.example/internal/lead"
	"chervilspan.example/internal/linktest"
	"chervilspan.example/internal/peer"
	"chervilspan.example/internal/proto/peerpb"
	"chervilspan.example/pkg/ident"
	"chervilspan.example/pkg/member"
	"chervilspan.example/pkg/roster"
)

// answeringVM returns the address of a VM that answers questions about primaries.
func answeringVM(t *testing.T, c *linktest.Cluster) (*lead.Monitor, string) {
	t.Helper()
	pools := &dbpool.Pools{Dialer: c, Roster: c.Roster(), ConnLimit: func(*roster.Member) int { return 4 }}
	mon := lead.New(lead.Config{Roster: c.Roster(), Pools: pools, Store: &linktest.Store{}})
	address, _ := linktest.ServePeer(t, peer.Handlers{Watcher: suspectHandler{&Node{monitor: mon}}})
	return mon, address
}

// TestAcknowledgedOfOthers guards against a VM that learns less of the acknowledged commits than
// others know. It asks without confirmTimeout, so that the speed of the machine does not
// matter.
func TestAcknowledgedOfOthers(t *testing.T) {
	is := is.New(t)
	c := linktest.New("g", "a", "b")
	first, firstAddress := answeringVM(t, c)
	second, secondAddress := answeringVM(t, c)
	asking := vmPeers{&Node{
		settings: &Settings{}, peers: peer.NewCache(peer.CacheConfig{AllowPlaintext: true}),
		fleet: fleet.New(fleet.Config{Self: member.Info{VM: "self"}, Seeds: []string{firstAddress, "127.0.0.1:1", secondAddress}}),
	}}
	highest := func() (after ident.Position) {
		for r := range asking.askWatchers(t.Context(), &peerpb.SuspectRequest{Group: "g"}) {
			after = after.Max(ackedAfter(r))
		}
		return after
	}
	is.Equal(highest(), ident.Position{})
	m, _ := c.Roster().Member("g", "a")
	for mon, index := range map[*lead.Monitor]uint64{first: 5, second: 7} {
		is.True(mon.ConfirmCommit(time.Now().Add(time.Minute), &m, ident.Position{Term: 2, Index: index}))
	}
	is.Equal(highest(), ident.Position{Term: 2, Index: 7})
}
