package node

import (
	"flag"
	"math/rand/v2"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"chervilspan.example/pkg/ident"
	"chervilspan.example/pkg/member"
	"chervilspan.example/pkg/rendez"
)

var (
	plays    = flag.Int("inforce.plays", 40, "number of plays of TestVersionInForce")
	playSeed = flag.Uint64("inforce.seed", 1, "seed of the first play")
)

// someOf returns about a share of the VMs, by chance preferring the readers of regions.
func someOf(r *rand.Rand, live []member.Info, share float64) map[ident.VM]bool {
	out := map[ident.VM]bool{}
	readersFirst := r.IntN(2) == 0
	for _, m := range live {
		if r.Float64() < share || readersFirst && len(readersFor(m, live)) == 0 && r.IntN(2) == 0 {
			out[m.VM] = true
		}
	}
	return out
}

// drawTroubles returns up to three disruptions that overlap or follow each other.
func drawTroubles(r *rand.Rand, live []member.Info) []disruption {
	var out []disruption
	seconds := func(least, most float64) time.Duration {
		return time.Duration((least + r.Float64()*(most-least)) * float64(time.Second))
	}
	for range 1 + r.IntN(3) {
		d := disruption{from: simWarmup + seconds(0, 14)}
		d.to = d.from + seconds(1, 14)
		switch r.IntN(7) {
		case 6:
			d.trouble, d.vms = apart, someOf(r, live, 0.5*r.Float64())
		case 0, 1, 2:
			d.trouble, d.vms = turnedAway, someOf(r, live, 0.2+0.5*r.Float64())
		case 3:
			d.trouble, d.vms = storeCut, someOf(r, live, 0.3*r.Float64())
		case 4:
			d.trouble, d.vms = cutOff, someOf(r, live, 0.3*r.Float64())
		case 5:
			d.trouble = storeDown
		}
		out = append(out, d)
	}
	return out
}

// playInForce plays some days of drawn troubles, on fleets that setUp, unless nil, prepares.
func playInForce(t *testing.T, plays int, draw func(*rand.Rand, []member.Info) []disruption, setUp func(*rand.Rand, *simFleet)) {
	var slowest time.Duration
	for seed := *playSeed; seed < *playSeed+uint64(plays); seed++ {
		synctest.Test(t, func(t *testing.T) {
			r := rand.New(rand.NewPCG(seed, seed))
			vms := []int{10, 24, 40, 89}[seed%4]
			s := newSimFleet(vms, func(live []member.Info) []disruption { return draw(r, live) })
			if setUp != nil {
				setUp(r, s)
			}
			var writes []time.Duration
			for at := simWarmup; at < simLength; at += time.Duration(float64(time.Second) * (1 + 7*r.Float64())) {
				writes = append(writes, at)
			}
			if breach := s.run(t.Context(), writes); breach != "" {
				t.Errorf("seed %d, %d VMs: %s; troubles %v", seed, vms, breach, s.disruptions)
			}
			slowest = max(slowest, s.slowest)
		})
	}
	t.Logf("longest time from an acknowledgement to the last VM in touch: %v", slowest)
}

// TestVersionInForce guards against a VM in touch at which a version is not in force
// Config.Within after its acknowledgement, by plays of up to three troubles at once on
// fleets of several sizes. A seed fixes the troubles and versions, not the jitter.
func TestVersionInForce(t *testing.T) { playInForce(t, *plays, drawTroubles, nil) }

// TestVersionInForceSilent guards against the same where all connections go silent once or
// twice, before, during or after other troubles.
func TestVersionInForceSilent(t *testing.T) {
	playInForce(t, *plays, func(r *rand.Rand, live []member.Info) []disruption {
		out := drawTroubles(r, live)
		for range 1 + r.IntN(2) {
			at := simWarmup + time.Duration(r.Float64()*float64(20*time.Second))
			out = append(out, disruption{trouble: silenced, from: at, to: at + 1})
		}
		return out
	}, nil)
}

// allBut returns all VMs but some.
func allBut(live []member.Info, served ...ident.VM) map[ident.VM]bool {
	out := map[ident.VM]bool{}
	for _, m := range live {
		out[m.VM] = !slices.Contains(served, m.VM)
	}
	return out
}

// readersOfRegion returns the VMs of a region that watch the store, in the order in which
// others ask them.
func readersOfRegion(live []member.Info, region ident.Region) []ident.VM {
	var inRegion []ident.VM
	for _, m := range live {
		if m.Region == region {
			inRegion = append(inRegion, m.VM)
		}
	}
	return rendez.Top("region reader", inRegion, readersPerRegion)
}

// TestStaleReaders guards against VMs that stay behind because the readers which they ask
// answer, but have been turned away by the store, while another VM knows the version.
func TestStaleReaders(t *testing.T) {
	for _, vms := range []int{10, 24, 89} {
		synctest.Test(t, func(t *testing.T) {
			s := newSimFleet(vms, func(live []member.Info) []disruption {
				served := readersOfRegion(live, "r2")[readersPerRegion-1]
				return []disruption{{turnedAway, allBut(live, served), simWarmup, simLength}}
			})
			if breach := s.run(t.Context(), []time.Duration{simWarmup + time.Second, simWarmup + 4*time.Second, simWarmup + 9*time.Second}); breach != "" {
				t.Errorf("%d VMs: %s", vms, breach)
			}
		})
	}
}

// TestStaleLists guards against VMs that stay behind because the store turns them away and
// their lists of VMs lack those that came back from a cut and have the version.
func TestStaleLists(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSimFleet(10, func(live []member.Info) []disruption {
			away := map[ident.VM]bool{live[1].VM: true, live[6].VM: true, live[7].VM: true}
			cut := map[ident.VM]bool{}
			for _, m := range live {
				cut[m.VM] = !away[m.VM]
			}
			healed := simWarmup + simLeaseTTL + 4*time.Second
			return []disruption{{cutOff, cut, simWarmup, healed}, {turnedAway, away, healed - time.Second, simLength}}
		})
		if breach := s.run(t.Context(), []time.Duration{simWarmup + 17*time.Second}); breach != "" {
			t.Error(breach)
		}
	})
}

// TestReadAfterOutage guards against a VM that waits too long after a failed read of the
// store: nobody else can tell it of a version that is written once an outage is over.
func TestReadAfterOutage(t *testing.T) {
	for length := 4 * time.Second; length < 20*time.Second; length += time.Second {
		synctest.Test(t, func(t *testing.T) {
			end := simWarmup + length
			s := newSimFleet(24, func(live []member.Info) []disruption {
				alone := live[0].VM
				for _, m := range live {
					if len(readersFor(m, live)) > 0 {
						alone = m.VM
					}
				}
				return []disruption{{storeDown, nil, simWarmup, end}, {apart, allBut(live, alone), simWarmup, simLength}}
			})
			if breach := s.run(t.Context(), []time.Duration{end, end + 7*time.Second}); breach != "" {
				t.Errorf("after an outage of %v: %s", length, breach)
			}
		})
	}
}
