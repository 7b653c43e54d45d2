package gate

import (
	"flag"
	"fmt"
	"os"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"chervilspan.example/pkg/ident"
)

var epoch = time.Unix(1_000, 0)

// TestMain fixes the seed of the property tests; -rapid.seed overrides it.
func TestMain(m *testing.M) {
	_ = flag.Set("rapid.seed", "1")
	_ = flag.Set("rapid.nofailfile", "true")
	flag.Parse()
	os.Exit(m.Run())
}

// side is a VM in the test: its lot and what it runs.
type side struct {
	lot   Borrower
	inUse int
}

// TestLoansWithinSlots guards against loans that let the VMs of one gate run
// more statements than the target has slots, whatever messages are lost, late
// or in another order.
func TestLoansWithinSlots(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var g Gate
		now := epoch
		slots := rapid.IntRange(1, 5).Draw(t, "slots")
		g.SetSlots(slots)
		sides := map[ident.VM]*side{}
		for i := range 4 {
			s := &side{}
			s.lot.RecordDemand(now)
			s.lot.Configure(0, 1)
			sides[ident.VM(fmt.Sprint(i))] = s
		}
		var late []func()
		limit := func(s *side) int {
			if !now.Before(s.lot.until) {
				return 0
			}
			return s.lot.Limit(now)
		}
		t.Repeat(map[string]func(*rapid.T){
			"demand": func(t *rapid.T) {
				vm := ident.VM(fmt.Sprint(rapid.IntRange(0, 3).Draw(t, "vm")))
				s := sides[vm]
				d := Demand{VM: vm, InUse: s.inUse, Confirmed: s.lot.Confirmed(), Number: s.lot.RecordDemand(now), Workspaces: []WorkspaceDemand{{
					Workspace: ident.Workspace(rapid.SampledFrom([]string{"a", "b"}).Draw(t, "ws")),
					Waiting:   rapid.IntRange(0, 6).Draw(t, "waiting"), InUse: s.inUse,
				}}}
				if rapid.IntRange(0, 5).Draw(t, "lost") == 0 {
					return
				}
				g.SetDemand(d, now)
			},
			"assign": func(t *rapid.T) {
				for _, l := range g.Assign(now) {
					s := sides[l.VM]
					switch rapid.IntRange(0, 5).Draw(t, "fate") {
					case 0:
					case 1:
						late = append(late, func() { s.lot.Accept(l) })
					default:
						s.lot.Accept(l)
					}
				}
			},
			"late": func(*rapid.T) {
				for _, f := range late {
					f()
				}
				late = nil
			},
			"run": func(t *rapid.T) {
				for _, s := range sides {
					s.inUse = rapid.IntRange(0, limit(s)).Draw(t, "in use")
				}
			},
			"step": func(t *rapid.T) {
				now = now.Add(time.Duration(rapid.IntRange(1, 700).Draw(t, "ms")) * time.Millisecond)
			},
			"": func(t *rapid.T) {
				total := 0
				for _, s := range sides {
					total += limit(s)
				}
				if total > slots {
					t.Fatalf("%d slots in use of %d", total, slots)
				}
			},
		})
	})
}

func claim(ws ident.Workspace, waiting int) []WorkspaceDemand {
	return []WorkspaceDemand{{Workspace: ws, Waiting: waiting}}
}

// TestMaxMin guards against a workspace that gets more slots by waiting in
// greater number or on more VMs, and against slots left idle.
func TestMaxMin(t *testing.T) {
	is := is.New(t)
	var g Gate
	g.SetSlots(5)
	g.SetDemand(Demand{VM: "1", Workspaces: claim("loud", 50)}, epoch)
	g.SetDemand(Demand{VM: "2", Workspaces: claim("loud", 50)}, epoch)
	g.SetDemand(Demand{VM: "3", Workspaces: claim("quiet", 2)}, epoch)
	got := map[ident.VM]int{}
	for _, l := range g.Assign(epoch) {
		got[l.VM] = l.Slots
	}
	is.Equal(got["3"], 2)
	is.Equal(got["1"]+got["2"], 3)
	is.True(got["1"] > 0 && got["2"] > 0)
}

// TestTurns guards against claimants that wait forever when there are fewer
// slots than VMs.
func TestTurns(t *testing.T) {
	is := is.New(t)
	var g Gate
	g.SetSlots(3)
	have := map[ident.VM]int{}
	confirmed := map[ident.VM]Sequence{}
	held := map[ident.VM]int{}
	for ms := 0; ms < 4000; ms += 10 {
		now := epoch.Add(time.Duration(ms) * time.Millisecond)
		total := 0
		for i := range 9 {
			vm := ident.VM(fmt.Sprint(i))
			g.SetDemand(Demand{VM: vm, Confirmed: confirmed[vm], Workspaces: claim(ident.Workspace("w"+vm), 1)}, now)
			have[vm] += held[vm]
			total += held[vm]
		}
		is.True(total <= 3)
		for _, l := range g.Assign(now) {
			confirmed[l.VM], held[l.VM] = l.Sequence, l.Slots
		}
	}
	for vm, n := range have {
		if n < 90 || n > 180 { // a ninth of 3 slots for 400 steps is 133
			t.Errorf("%s had a slot for %d of 400 steps", vm, n)
		}
	}
}

// TestLot guards against a VM that overfills a target while it awaits its
// gate, or that stands still without one.
func TestLot(t *testing.T) {
	is := is.New(t)
	var l Borrower
	l.Configure(5, 2)
	is.Equal(l.Limit(epoch), 2)
	l.MarkGateReachable()
	is.Equal(l.Limit(epoch), 0)
	l.RecordDemand(epoch)
	is.Equal(l.Limit(epoch.Add(100*time.Millisecond)), 0)
	is.Equal(l.Limit(l.FallbackAt()), 2)
	l.RecordDemand(epoch.Add(time.Millisecond))
	is.True(l.Accept(Loan{Slots: 4, Sequence: 2, DemandNumber: 1}))
	is.True(!l.Accept(Loan{Slots: 5, Sequence: 1, DemandNumber: 2}))
	is.True(!l.Accept(Loan{Slots: 5, Sequence: 3, DemandNumber: 3})) // no such demand
	is.Equal(l.Limit(epoch.Add(999*time.Millisecond)), 4)
	is.Equal(l.Limit(epoch.Add(time.Second)), 0)
	l.ForgetGate()
	is.Equal(l.Limit(epoch.Add(time.Second)), 2)
	l.Configure(3, 9)
	is.Equal(l.FallbackLimit(), 1)
}

// TestNewGateWaits guards against a gate that lends slots which its predecessor
// has lent out.
func TestNewGateWaits(t *testing.T) {
	is := is.New(t)
	var g Gate
	g.SetSlots(4)
	g.StartHandover(epoch)
	g.SetDemand(Demand{VM: "1", Workspaces: claim("w", 4)}, epoch)
	is.Equal(g.Assign(epoch)[0].Slots, 0)
	g.SetDemand(Demand{VM: "2", InUse: 3, Workspaces: []WorkspaceDemand{{Workspace: "v", InUse: 3}}}, epoch)
	is.Equal(g.Assign(epoch.Add(settle - 1))[0].Slots, 2) // a recall; 3 still run
	g.SetDemand(Demand{VM: "1", Workspaces: claim("w", 4)}, epoch.Add(settle))
	is.Equal(g.Assign(epoch.Add(settle))[0].Slots, 1)
}

// BenchmarkAssign measures one round of a gate by the number of VMs.
func BenchmarkAssign(b *testing.B) {
	for _, n := range []int{9, 48, 480} {
		b.Run(fmt.Sprint("vms=", n), func(b *testing.B) {
			var g Gate
			g.SetSlots(5)
			now := epoch
			for i := range n {
				g.SetDemand(Demand{VM: ident.VM(fmt.Sprint(i)), Workspaces: claim(ident.Workspace(fmt.Sprint(i%8)), 1)}, now)
			}
			i := 0
			for b.Loop() {
				i++
				now = now.Add(time.Microsecond)
				g.SetDemand(Demand{VM: ident.VM(fmt.Sprint(i % n)), Workspaces: claim(ident.Workspace(fmt.Sprint(i%8)), 1)}, now)
				g.Assign(now)
			}
		})
	}
}
