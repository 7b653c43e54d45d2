package spread

import (
	"fmt"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"chervilspan.example/internal/proto/peerpb"
	"chervilspan.example/pkg/catal"
	"chervilspan.example/pkg/ident"
	"chervilspan.example/pkg/member"
	"chervilspan.example/pkg/topo"
)

// tableWithPrimaries returns a table in which each group has a primary.
func tableWithPrimaries(groups int) *topo.Table {
	c := &catal.Catalogue{Groups: map[ident.Group]catal.Group{}}
	t := &topo.Table{}
	var hints []topo.Hint
	for i := range groups {
		g := ident.Group(fmt.Sprintf("group-%03d", i))
		p := ident.Target(fmt.Sprintf("db-%03d-a", i))
		c.Groups[g] = catal.Group{Targets: map[ident.Target]catal.Target{p: {Address: "10.0.0.1:5432"}}}
		hints = append(hints, topo.Hint{Group: g, Term: 7, Primary: p})
	}
	t.Configure(c)
	for _, h := range hints {
		t.Learn(h)
	}
	return t
}

// BenchmarkDigest measures how long it takes to build the digest of a ping, by
// the number of groups: the full digest that a new VM requests, one with the
// greatest number of hints while a change propagates, and one without hints.
func BenchmarkDigest(b *testing.B) {
	for _, n := range []int{3, 100, 367} {
		s := New(Config{
			Self: member.Info{VM: "bogota-norte-1", Zone: "bogota-norte", Region: "andina", Address: "10.0.0.1:7000", Number: 1},
			Topo: tableWithPrimaries(n), Store: &zoneStore{}, Peers: &linkClients{}, Seed: 1,
		})
		for _, kind := range []string{"full", "changed", "quiet"} {
			b.Run(fmt.Sprintf("%s/groups=%d", kind, n), func(b *testing.B) {
				b.ReportAllocs()
				m := member.Message{From: s.cfg.Self.VM, TableHash: s.node.TableHash()}
				size := 0
				if kind == "quiet" {
					for _, h := range s.cfg.Topo.Hints() {
						s.hints.byGroup[h.Group] = hintCount{term: h.Term, sent: s.node.RetransmitLimit()}
					}
				}
				for b.Loop() {
					s.stateMu.Lock()
					if kind == "changed" {
						clear(s.hints.byGroup)
					}
					d := s.buildDigest(m, kind == "full", time.Now())
					s.stateMu.Unlock()
					size = proto.Size(&peerpb.PingRequest{Digest: d})
				}
				b.ReportMetric(float64(size), "B/digest")
			})
		}
	}
}
