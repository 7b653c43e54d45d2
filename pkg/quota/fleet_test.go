package quota

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// slack covers the rounding of floating-point time.
const slack = 1e-3

// TestFleetNeverExceeds guards against two VMs that together admit more than
// rate x time + burst in any window, whatever is lost, repeated, paused,
// restarted, cut off or edited.
func TestFleetNeverExceeds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l := Limit{Rate: float64(rapid.IntRange(1, 200).Draw(t, "rate")), Burst: uint32(rapid.IntRange(1, 60).Draw(t, "burst"))}
		s := newSim(5, 3, rapid.SampledFrom([]int{1, 3, 12}).Draw(t, "slices"), l)
		edits := []edit{{s.now.Add(-time.Hour), l}}
		vm := func(t *rapid.T) *simVM { return s.vms[rapid.IntRange(0, len(s.vms)-1).Draw(t, "vm")] }
		s.lossy = func() (bool, bool) {
			return rapid.IntRange(0, 9).Draw(t, "drop") == 0, rapid.IntRange(0, 9).Draw(t, "twice") == 0
		}
		t.Repeat(map[string]func(*rapid.T){
			"arrive": func(t *rapid.T) {
				v := vm(t)
				for range rapid.IntRange(1, 40).Draw(t, "n") {
					if s.running(v) {
						s.arrive(v)
					}
				}
			},
			"step":  func(t *rapid.T) { s.step(time.Duration(rapid.IntRange(1, 400).Draw(t, "ms")) * time.Millisecond) },
			"flood": func(t *rapid.T) { s.flood(rapid.IntRange(1, 9).Draw(t, "seconds")) },
			"pause": func(t *rapid.T) {
				v := vm(t)
				v.paused = s.now.Add(time.Duration(rapid.IntRange(1, 12000).Draw(t, "ms")) * time.Millisecond)
			},
			"check, pause, use": func(t *rapid.T) {
				s.lateUse(vm(t), time.Duration(rapid.IntRange(0, 8000).Draw(t, "ms"))*time.Millisecond)
			},
			"take over": func(t *rapid.T) {
				v := vm(t)
				switch rapid.IntRange(0, 2).Draw(t, "how") {
				case 0:
					v.paused = s.now.Add(simTTL + time.Second)
				case 1:
					s.cut = v.info.Zone
				case 2:
					v.up = false
				}
				s.flood(9)
				s.cut = ""
			},
			"kill": func(t *rapid.T) { vm(t).up = false },
			"restart": func(t *rapid.T) {
				if s.now.Sub(edits[len(edits)-1].at) > 2*DefaultTransitionPeriod {
					s.start(vm(t))
				}
			},
			"store":       func(*rapid.T) { s.down = !s.down },
			"lost answer": func(*rapid.T) { s.lose = true },
			"cut": func(t *rapid.T) {
				s.cut = ""
				if rapid.Bool().Draw(t, "cut") {
					s.cut = vm(t).info.Zone
				}
			},
			"edit": func(t *rapid.T) {
				if s.now.Sub(edits[len(edits)-1].at) <= 2*DefaultTransitionPeriod {
					s.flood(2)
					return
				}
				s.limit = Limit{Rate: float64(rapid.IntRange(1, 200).Draw(t, "rate")), Burst: uint32(rapid.IntRange(1, 60).Draw(t, "burst"))}
				edits = append(edits, edit{s.now, s.limit})
				s.spread(func(int) time.Duration { return time.Duration(rapid.IntRange(0, 9).Draw(t, "after")) * time.Second })
			},
			"": func(t *rapid.T) {
				if e := excess(s.admitted, func(at time.Time) Limit { return inForce(edits, at) }); e > slack {
					t.Fatalf("%v tokens above the limit", e)
				}
			},
		})
	})
}

type edit struct {
	at    time.Time
	limit Limit
}

// inForce returns the greatest rate and burst that any VM may still use at a
// moment.
func inForce(edits []edit, at time.Time) Limit {
	var l Limit
	for i, e := range edits {
		if e.at.After(at) {
			break
		}
		if i+1 < len(edits) && at.Sub(edits[i+1].at) > DefaultTransitionPeriod+DefaultLifetime {
			continue
		}
		l = Limit{math.Max(l.Rate, e.limit.Rate), max(l.Burst, e.limit.Burst)}
	}
	return l
}

func (s *sim) run(d, step time.Duration) {
	for end := s.now.Add(d); s.now.Before(end); {
		s.step(step)
	}
}

// flood sends every running VM more than the limit allows, so that a token that
// is counted twice shows.
func (s *sim) flood(seconds int) {
	for end := s.now.Add(time.Duration(seconds) * time.Second); s.now.Before(end); {
		s.step(100 * time.Millisecond)
		for _, v := range s.vms {
			for n := 0; s.running(v) && v.account.Queued() < 3 && n < 20; n++ {
				s.arrive(v)
			}
		}
	}
}

// spread lets the VMs take the limit in force one after the other.
func (s *sim) spread(after func(int) time.Duration) {
	for i, v := range s.vms {
		setup := v.account.setup
		setup.Limit = s.limit
		at, boot := s.now.Add(after(i)), v.boot
		s.network = append(s.network, simMessage{at, v.info.VM, v.info.VM, func() {
			if v.boot == boot {
				setup.HeldSlices, setup.Holders = v.account.setup.HeldSlices, v.account.setup.Holders
				v.account.Configure(setup, s.now)
			}
		}})
	}
}

// lateUse lets a VM read the clock, pause, and then take a token for the time
// that it read.
func (s *sim) lateUse(v *simVM, pause time.Duration) {
	if !s.running(v) {
		return
	}
	read, lease, boot := s.now, v.holdings.Deadline(), v.boot
	v.paused = s.now.Add(time.Hour)
	s.run(pause, 100*time.Millisecond)
	v.paused = time.Time{}
	if v.up && v.boot == boot && v.account.Admit(read, lease) && v.account.PermitValid(read, s.now) {
		s.admitted = append(s.admitted, read)
	}
}

// TestNoWrongfulRefusal guards against a workspace that is refused although it
// stays within its rate: at 95% of it, however spread over VMs and moved
// between them, a single central bucket with the same waiting time refuses
// nothing, and so must the fleet. The burst is at least half a second of the
// rate and one token for each slice; below that, tokens on their way between
// VMs take up so much of the burst that slices mint less than their rate.
func TestNoWrongfulRefusal(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		rate := rapid.SampledFrom([]float64{5, 40, 150, 600}).Draw(t, "rate")
		burst := uint32(max(12, rate*rapid.Float64Range(0.5, 2).Draw(t, "burst")))
		s := newSim(9, 3, 12, Limit{rate, burst})
		rng := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1))
		until, next := s.now, s.now
		var on []*simVM
		for end := s.now.Add(20 * time.Second); s.now.Before(end); {
			if !s.now.Before(until) {
				until = s.now.Add(time.Duration(rapid.IntRange(200, 5000).Draw(t, "move")) * time.Millisecond)
				n := rapid.SampledFrom([]int{1, 2, 9}).Draw(t, "vms")
				rng.Shuffle(len(s.vms), func(i, j int) { s.vms[i], s.vms[j] = s.vms[j], s.vms[i] })
				on = s.vms[:n]
			}
			s.step(time.Millisecond)
			for ; !next.After(s.now); next = next.Add(time.Duration(float64(time.Second) / rate / 0.95)) {
				s.arrive(on[rng.IntN(len(on))])
			}
		}
		if s.refused > centralRefuses(s.limit, 0.95*rate) {
			t.Fatalf("%d refused of %d, %d asks", s.refused, s.refused+len(s.admitted), s.messages)
		}
	})
}

// centralRefuses returns how many of 20 s of even arrivals one bucket for the
// whole fleet refuses, in which each arrival waits up to DefaultWait.
func centralRefuses(l Limit, arrivals float64) int {
	refused, level := 0, float64(l.Burst)
	for range int(20 * arrivals) {
		level = min(float64(l.Burst), level+l.Rate/arrivals)
		if level-1 < -l.Rate*DefaultMaxWait.Seconds() {
			refused++
			continue
		}
		level--
	}
	return refused
}
