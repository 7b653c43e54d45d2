package node

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"chervilspan.example/pkg/catal"
	"chervilspan.example/pkg/ident"
	"chervilspan.example/pkg/member"
)

// Capacities of the deployments' narrowest links, in bytes per second.
const (
	narrowVMLink     = 10_000_000 / 8
	narrowRegionLink = 60_000_000 / 8
)

// growingDocuments returns versions 1 to n, the contents of a store whose configuration
// grows by some routes with each even version, and a little with each odd one.
func growingDocuments(n ident.Version, routes int) map[ident.Version][]byte {
	r := rand.New(rand.NewPCG(1, 1))
	c := catal.Catalogue{
		Zones:   map[ident.Zone]catal.Zone{"z1": {Region: "r1"}, "z3": {Region: "r2"}},
		Classes: map[ident.Class]catal.Class{}, Routes: map[ident.Route]catal.Route{}, Workspaces: map[ident.Workspace]catal.Workspace{},
	}
	for i := range 87 {
		key := fmt.Sprintf("%064x", r.Uint64())
		c.Workspaces[ident.Workspace(fmt.Sprintf("workspace%d", i))] = catal.Workspace{
			Owner: "operators", Rate: 10 + r.Float64(), Burst: r.Uint32N(100), Keys: map[string]catal.Key{key[:16]: {SHA256: key}},
		}
	}
	addRoute := func() {
		name := fmt.Sprintf("%x", r.Uint32())
		c.Classes[ident.Class(name)] = catal.Class{Weight: 2, DeadlineMS: 1000, ObjectiveMS: 1500}
		c.Routes[ident.Route(name)] = catal.Route{Owner: "operators", Class: ident.Class(name), Group: "group1", Reads: catal.ConsistencyBounded, MaxAgeMS: 1500}
	}
	out := map[ident.Version][]byte{}
	for v := ident.Version(1); v <= n; v++ {
		added := 20
		if v%2 == 0 {
			added = routes
		}
		for range added {
			addRoute()
		}
		c.Version = v
		raw, err := catal.Encode(&c)
		if err != nil {
			panic(err)
		}
		out[v] = raw
	}
	return out
}

var largePlays = flag.Int("inforce.largeplays", 6, "number of plays of TestVersionInForceLarge, which takes longer")

// maxDocument is about the greatest size of a value in the store.
const maxDocument = 1 << 20

// fillerDocuments returns versions 1 to n, which grow up to a size, and compress and decode
// about as documents with many routes do but in less time.
func fillerDocuments(n ident.Version, largest int) map[ident.Version][]byte {
	r := rand.New(rand.NewPCG(2, 2))
	const route = "{'owner':'operators','class':'%08x','group':'group1','reads':'bounded','max_age_ms':1500},'%08x':{'weight':2,'deadline_ms':1000,'objective_ms':1500},"
	var filler strings.Builder
	out := map[ident.Version][]byte{}
	for v := ident.Version(1); v <= n; v++ {
		for filler.Len() < largest*int(v)/int(n) {
			fmt.Fprintf(&filler, route, r.Uint32(), r.Uint32())
		}
		raw, err := catal.Encode(&catal.Catalogue{Version: v, Workspaces: map[ident.Workspace]catal.Workspace{"w": {Owner: filler.String()}}})
		if err != nil {
			panic(err)
		}
		out[v] = raw
	}
	return out
}

// TestVersionInForceLarge guards against versions that are late where documents have up to
// the greatest size that the store takes, links are narrow and VMs are in trouble.
func TestVersionInForceLarge(t *testing.T) {
	documents := fillerDocuments(45, maxDocument)
	playInForce(t, *largePlays, drawTroubles, func(r *rand.Rand, s *simFleet) {
		s.links = simLinks{vmRate: narrowVMLink, regionRate: narrowRegionLink}
		s.documents = documents
		s.version = ident.Version(r.IntN(30))
	})
}

// TestLargeVersions guards against versions that are late where the configuration is large
// and links are narrow: documents that are sent whole and in vain fill the links, and the
// fleet does not recover. No VM, link or connection is disrupted.
func TestLargeVersions(t *testing.T) {
	for _, vms := range []int{24, 89} {
		t.Run(fmt.Sprint(vms), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				const routes = 1400
				s := newSimFleet(vms, func([]member.Info) []disruption { return nil })
				s.links = simLinks{vmRate: narrowVMLink, regionRate: narrowRegionLink}
				s.documents = growingDocuments(7, routes)
				var writes []time.Duration
				for at := simWarmup; len(writes) < 6; at += 8 * time.Second {
					writes = append(writes, at, at+2*time.Second)
				}
				if breach := s.run(t.Context(), writes); breach != "" {
					t.Errorf("%s, of %d bytes", breach, len(s.documents[s.required()]))
				}
				t.Logf("longest time to the last VM: %v", s.slowest)
			})
		})
	}
}

// TestLargestVersion guards against a document of the greatest size that the store takes
// being given up at each read before it has come through a narrow link.
func TestLargestVersion(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const vms = 10
		s := newSimFleet(vms, func([]member.Info) []disruption { return nil })
		s.links = simLinks{vmRate: narrowVMLink}
		s.documents = fillerDocuments(2, maxDocument)
		s.version = 1
		if breach := s.run(t.Context(), nil); breach != "" {
			t.Errorf("%s, of %d bytes", breach, len(s.documents[s.required()]))
		}
	})
}

// TestStartWithLargeDocument guards against a fleet that starts all at once and stays without
// a catalogue, as each VM reads a large one from the store through the link between regions.
func TestStartWithLargeDocument(t *testing.T) {
	for _, vms := range []int{24, 89} {
		t.Run(fmt.Sprint(vms), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := newSimFleet(vms, func([]member.Info) []disruption { return nil })
				s.links = simLinks{vmRate: narrowVMLink, regionRate: narrowRegionLink}
				s.documents = fillerDocuments(2, maxDocument)
				s.version = 1
				if breach := s.run(t.Context(), nil); breach != "" {
					t.Error(breach)
				}
				t.Logf("longest time to the last VM: %v", s.slowest)
			})
		})
	}
}

// TestLargeVersionAfterOutage guards against a large version that is late after an outage of
// the store: all VMs read it at once, if the store has lost the history since they knew of it
// too.
func TestLargeVersionAfterOutage(t *testing.T) {
	for _, forgetful := range []bool{false, true} {
		t.Run(fmt.Sprint("forgetful ", forgetful), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				const vms = 89
				end := simWarmup + 20*time.Second
				s := newSimFleet(vms, func([]member.Info) []disruption { return []disruption{{storeDown, nil, simWarmup, end}} })
				s.links = simLinks{vmRate: narrowVMLink, regionRate: narrowRegionLink}
				s.documents, s.forgetful = fillerDocuments(4, maxDocument), forgetful
				s.version = 2
				if breach := s.run(t.Context(), []time.Duration{end}); breach != "" {
					t.Error(breach)
				}
				t.Logf("longest time to the last VM in touch: %v", s.slowest)
			})
		})
	}
}
