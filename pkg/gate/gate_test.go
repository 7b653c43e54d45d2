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

// simVM is a simulated VM: its borrower and the number of statements that it runs.
type simVM struct {
	borrower Borrower
	inUse    int
}

// TestLoansWithinSlots guards against loans that let the VMs of one gate run
// more statements than the target has slots when messages are lost, delayed or
// reordered.
func TestLoansWithinSlots(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var g Gate
		now := epoch
		slots := rapid.IntRange(1, 5).Draw(t, "slots")
		g.SetSlots(slots)
		vms := map[ident.VM]*simVM{}
		for i := range 4 {
			s := &simVM{}
			s.borrower.RecordDemand(now)
			s.borrower.Configure(0, 1)
			vms[ident.VM(fmt.Sprint(i))] = s
		}
		var late []func()
		limit := func(s *simVM) int {
			if !now.Before(s.borrower.expiry) {
				return 0
			}
			return s.borrower.Limit(now)
		}
		t.Repeat(map[string]func(*rapid.T){
			"demand": func(t *rapid.T) {
				vm := ident.VM(fmt.Sprint(rapid.IntRange(0, 3).Draw(t, "vm")))
				s := vms[vm]
				d := Demand{VM: vm, InUse: s.inUse, Confirmed: s.borrower.Confirmed(), Number: s.borrower.RecordDemand(now), Workspaces: []WorkspaceDemand{{
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
					s := vms[l.VM]
					switch rapid.IntRange(0, 5).Draw(t, "fate") {
					case 0:
					case 1:
						late = append(late, func() { s.borrower.Accept(l) })
					default:
						s.borrower.Accept(l)
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
				for _, s := range vms {
					s.inUse = rapid.IntRange(0, limit(s)).Draw(t, "in use")
				}
			},
			"step": func(t *rapid.T) {
				now = now.Add(time.Duration(rapid.IntRange(1, 700).Draw(t, "ms")) * time.Millisecond)
			},
			"": func(t *rapid.T) {
				total := 0
				for _, s := range vms {
					total += limit(s)
				}
				if total > slots {
					t.Fatalf("%d slots in use of %d", total, slots)
				}
			},
		})
	})
}

func waitingDemand(ws ident.Workspace, waiting int) []WorkspaceDemand {
	return []WorkspaceDemand{{Workspace: ws, Waiting: waiting}}
}

// TestMaxMin guards against a workspace that gets more slots by queueing more
// requests or by using more VMs, and against idle slots while requests wait.
func TestMaxMin(t *testing.T) {
	is := is.New(t)
	var g Gate
	g.SetSlots(5)
	g.SetDemand(Demand{VM: "1", Workspaces: waitingDemand("loud", 50)}, epoch)
	g.SetDemand(Demand{VM: "2", Workspaces: waitingDemand("loud", 50)}, epoch)
	g.SetDemand(Demand{VM: "3", Workspaces: waitingDemand("quiet", 2)}, epoch)
	got := map[ident.VM]int{}
	for _, l := range g.Assign(epoch) {
		got[l.VM] = l.Slots
	}
	is.Equal(got["3"], 2)
	is.Equal(got["1"]+got["2"], 3)
	is.True(got["1"] > 0 && got["2"] > 0)
}

// TestSlotRotation guards against starvation of VMs when there are fewer slots
// than VMs with waiting requests.
func TestSlotRotation(t *testing.T) {
	is := is.New(t)
	var g Gate
	g.SetSlots(3)
	slotSteps := map[ident.VM]int{}
	confirmed := map[ident.VM]Sequence{}
	held := map[ident.VM]int{}
	for ms := 0; ms < 4000; ms += 10 {
		now := epoch.Add(time.Duration(ms) * time.Millisecond)
		total := 0
		for i := range 9 {
			vm := ident.VM(fmt.Sprint(i))
			g.SetDemand(Demand{VM: vm, Confirmed: confirmed[vm], Workspaces: waitingDemand(ident.Workspace("w"+vm), 1)}, now)
			slotSteps[vm] += held[vm]
			total += held[vm]
		}
		is.True(total <= 3)
		for _, l := range g.Assign(now) {
			confirmed[l.VM], held[l.VM] = l.Sequence, l.Slots
		}
	}
	for vm, n := range slotSteps {
		if n < 90 || n > 180 { // the fair share is 3 slots * 400 steps / 9 VMs = 133
			t.Errorf("%s had a slot for %d of 400 steps", vm, n)
		}
	}
}

// TestBorrower guards against a VM that starts statements without a loan while it
// waits for its gate's answer, and against one that starts none without a gate.
func TestBorrower(t *testing.T) {
	is := is.New(t)
	var b Borrower
	b.Configure(5, 2)
	is.Equal(b.Limit(epoch), 2)
	b.RecordGateReachable()
	is.Equal(b.Limit(epoch), 0)
	b.RecordDemand(epoch)
	is.Equal(b.Limit(epoch.Add(100*time.Millisecond)), 0)
	is.Equal(b.Limit(b.FallbackAt()), 2)
	b.RecordDemand(epoch.Add(time.Millisecond))
	is.True(b.Accept(Loan{Slots: 4, Sequence: 2, DemandNumber: 1}))
	is.True(!b.Accept(Loan{Slots: 5, Sequence: 1, DemandNumber: 2}))
	is.True(!b.Accept(Loan{Slots: 5, Sequence: 3, DemandNumber: 3})) // no such demand
	is.Equal(b.Limit(epoch.Add(999*time.Millisecond)), 4)
	is.Equal(b.Limit(epoch.Add(time.Second)), 0)
	b.ForgetGate()
	is.Equal(b.Limit(epoch.Add(time.Second)), 2)
	b.Configure(3, 9)
	is.Equal(b.FallbackLimit(), 1)
}

// TestHandover guards against a new gate that lends slots which the previous gate
// has lent and whose loans are still in use.
func TestHandover(t *testing.T) {
	is := is.New(t)
	var g Gate
	g.SetSlots(4)
	g.StartHandover(epoch)
	g.SetDemand(Demand{VM: "1", Workspaces: waitingDemand("w", 4)}, epoch)
	is.Equal(g.Assign(epoch)[0].Slots, 0)
	g.SetDemand(Demand{VM: "2", InUse: 3, Workspaces: []WorkspaceDemand{{Workspace: "v", InUse: 3}}}, epoch)
	is.Equal(g.Assign(epoch.Add(handoverPeriod - 1))[0].Slots, 2) // a recall; 3 still run
	g.SetDemand(Demand{VM: "1", Workspaces: waitingDemand("w", 4)}, epoch.Add(handoverPeriod))
	is.Equal(g.Assign(epoch.Add(handoverPeriod))[0].Slots, 1)
}

// BenchmarkAssign measures one demand and one division of the slots by the number
// of VMs.
func BenchmarkAssign(b *testing.B) {
	for _, n := range []int{9, 48, 480} {
		b.Run(fmt.Sprint("vms=", n), func(b *testing.B) {
			var g Gate
			g.SetSlots(5)
			now := epoch
			for i := range n {
				g.SetDemand(Demand{VM: ident.VM(fmt.Sprint(i)), Workspaces: waitingDemand(ident.Workspace(fmt.Sprint(i%8)), 1)}, now)
			}
			i := 0
			for b.Loop() {
				i++
				now = now.Add(time.Microsecond)
				g.SetDemand(Demand{VM: ident.VM(fmt.Sprint(i % n)), Workspaces: waitingDemand(ident.Workspace(fmt.Sprint(i%8)), 1)}, now)
				g.Assign(now)
			}
		})
	}
}
