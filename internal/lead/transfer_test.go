package lead_test

import (
	"context"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"chervilspan.example/internal/lead"
	"chervilspan.example/internal/linktest"
	"chervilspan.example/pkg/dbop"
	"chervilspan.example/pkg/ident"
	"chervilspan.example/pkg/roster"
)

// TestUnlistedForOneVM guards against the replacement of a primary that is missing
// from the list and unreachable for the VM that wants to replace it, while another VM
// is in contact with it.
func TestUnlistedForOneVM(t *testing.T) {
	run(t, 1, func(is *is.I, f *fixture) {
		other := f.otherMonitor()
		f.cluster.Update("a", func(d *linktest.DB) { d.Unlisted, d.Unreachable = true, true })
		for range 50 {
			other.Confirm("g", "a", ident.Position{Term: 1, Index: 1}, time.Now())
			time.Sleep(100 * time.Millisecond)
		}
		is.Equal(len(f.promotions()), 0)
	})
}

// await waits until a control statement or promotion that begins with prefix was
// carried out.
func (f *fixture) await(is *is.I, prefix string) {
	is.Helper()
	end := time.Now().Add(15 * time.Second)
	for !slices.ContainsFunc(f.cluster.ControlLog(), func(s string) bool { return strings.HasPrefix(s, prefix) }) {
		is.True(time.Now().Before(end)) // carried out in time
		time.Sleep(5 * time.Millisecond)
	}
}

// TestNoUnfenceAfterClaim guards against an Unfence by a VM whose claim may have
// expired: it would lift the fences on which the next claim relies.
func TestNoUnfenceAfterClaim(t *testing.T) {
	run(t, 1, func(is *is.I, f *fixture) {
		f.cluster.Update("c", func(d *linktest.DB) { d.DroppedAnswers[dbop.Fence] = 100 })
		f.remove("a")
		f.await(is, "fence b")
		f.suspend(4 * time.Second)
		time.Sleep(1200 * time.Millisecond) // the fence of c is given up
		is.True(!slices.Contains(f.cluster.ControlLog(), "unfence b"))
		f.cluster.Update("c", func(d *linktest.DB) { d.DroppedAnswers[dbop.Fence] = 0 })
		time.Sleep(3 * time.Second)
		is.Equal(len(f.promotions()), 1)
	})
}

// TestUnansweredUnfence guards against a claim that is released while an Unfence may
// still be carried out, which would lift a fence of the next claim.
func TestUnansweredUnfence(t *testing.T) {
	run(t, 2, func(is *is.I, f *fixture) {
		f.cluster.Update("c", func(d *linktest.DB) { d.DroppedAnswers[dbop.Fence] = 100 })
		f.cluster.Update("b", func(d *linktest.DB) { d.DroppedAnswers[dbop.Unfence] = 1 })
		f.remove("a")
		f.await(is, "unfence b")
		unfenced := time.Now()
		f.cluster.Update("c", func(d *linktest.DB) { d.DroppedAnswers[dbop.Fence] = 0 })
		f.await(is, "promote")
		is.True(time.Since(unfenced) > 3*time.Second) // claimMargin
	})
}

// TestRestoredClaim guards against two VMs that decide about a group at once because the
// store has forgotten the claim of the first: it gives up when it hears of that, and the
// others wait until its claim would have expired.
func TestRestoredClaim(t *testing.T) {
	run(t, 2, func(is *is.I, f *fixture) {
		older := f.store.Copy()
		f.cluster.Update("c", func(d *linktest.DB) { d.DroppedAnswers[dbop.Fence] = 1 })
		f.remove("a")
		f.await(is, "fence b")
		f.store.Restore(older)
		restored := time.Now()
		_, err := f.store.Get(context.Background(), "any") // shows the new epoch
		is.NoErr(err)
		fences := len(f.cluster.ControlLog())
		time.Sleep(lead.ClaimTTL - time.Second)
		is.Equal(len(f.promotions()), 0)
		is.True(!slices.Contains(f.cluster.ControlLog()[fences:], "fence b"))
		f.await(is, "promote")
		is.True(time.Since(restored) >= lead.ClaimTTL)
		is.Equal(len(f.promotions()), 1)
	})
}

// TestNotPromoted guards against a failover that counts as done although the promoted
// database has not become the primary.
func TestNotPromoted(t *testing.T) {
	run(t, 1, func(is *is.I, f *fixture) {
		f.promoter.Ignore = true
		f.remove("a")
		time.Sleep(10 * time.Second)
		tokens := f.promoter.Tokens()
		is.True(len(tokens) > 1) // tried again
		is.True(tokens[1] > tokens[0])
		is.True(!strings.Contains(f.log.String(), "primary_elected"))
	})
}

// TestDemotedBeforePromotion guards against a primary that goes on while another database
// is being promoted: one that joins the group meanwhile is not fenced, and acknowledges
// commits that the promoted one lacks.
func TestDemotedBeforePromotion(t *testing.T) {
	for name, trigger := range map[string]func(*fixture){
		"leaving": func(f *fixture) { f.markLeaving("a") },
		"missing": func(f *fixture) { f.cluster.Update("a", func(d *linktest.DB) { d.Unlisted = true }) },
		"stalled": func(f *fixture) {
			f.cluster.Update("a", func(d *linktest.DB) { d.Index = 9 })
			f.monitors[0].ReportStalledWrite("g", "a")
			f.monitors[0].ReportStalledWrite("g", "a")
		},
	} {
		t.Run(name, func(t *testing.T) {
			run(t, 1, func(is *is.I, f *fixture) {
				trigger(f)
				f.await(is, "promote")
				log := f.cluster.ControlLog()
				is.True(slices.Contains(log, "demote a"))
				is.True(slices.Index(log, "demote a") < slices.Index(log, f.promotions()[0]))
			})
		})
	}
}

// TestJoinedBeforeDemotion guards against the promotion of a database that lacks what one
// has acknowledged that joined the group just before the demotion.
func TestJoinedBeforeDemotion(t *testing.T) {
	for name, trigger := range map[string]func(*fixture){
		"leaving": func(f *fixture) { f.markLeaving("a") },
		"stalled": func(f *fixture) {
			f.setIndex(8, "a")
			f.monitors[0].ReportStalledWrite("g", "a")
			f.monitors[0].ReportStalledWrite("g", "a")
		},
	} {
		t.Run(name, func(t *testing.T) {
			run(t, 1, func(is *is.I, f *fixture) {
				time.Sleep(time.Second) // the in-sync set is stored
				f.cluster.Join("d", 1)
				f.cluster.OnControl(func(k dbop.Kind, _ ident.Target) {
					if d := f.cluster.Find("d"); k == dbop.Demote {
						f.cluster.Find("a").Index, d.Unlisted, d.Index = 9, false, 9
					}
				})
				f.refresh = func() {
					if slices.Contains(f.cluster.ControlLog(), "demote a") {
						f.cluster.UpdateRoster()
					}
				}
				trigger(f)
				f.await(is, "promote")
				is.Equal(f.promotions(), []string{"promote d"})
			})
		})
	}
}

// TestDemotedAndLeft guards against the promotion of a database that lacks acknowledged commits
// after the answer to the demotion was lost, or the VM that asked for it has ended: the next
// attempt finds no primary, and the demoted one among the replicas.
func TestDemotedAndLeft(t *testing.T) {
	for name, lose := range map[string]func(*fixture){
		"answer lost": func(f *fixture) { f.cluster.Find("a").DroppedAnswers[dbop.Demote] = 10 },
		"VM ended":    func(f *fixture) { f.killFirst() },
	} {
		t.Run(name, func(t *testing.T) {
			run(t, 2, func(is *is.I, f *fixture) {
				time.Sleep(time.Second) // the in-sync set is stored
				demoted := false
				f.cluster.OnControl(func(k dbop.Kind, _ ident.Target) {
					if k == dbop.Demote && !demoted {
						demoted = true
						f.cluster.Find("a").Index = 9
						lose(f)
					}
				})
				f.markLeaving("a")
				f.await(is, "promote")
				is.Equal(f.promotions(), []string{"promote a"})
			})
		})
	}
}

// TestWorkingElsewhere guards against the replacement of a primary that this VM does not
// reach and never knew as the primary, for instance because it did not see the end of a
// promotion, while another VM is in contact with it.
func TestWorkingElsewhere(t *testing.T) {
	run(t, 1, func(is *is.I, f *fixture) {
		other := f.otherMonitor()
		f.cluster.Update("b", func(d *linktest.DB) { d.Unlisted, d.Unreachable = true, true })
		f.cluster.Promote("b")
		for range 80 {
			other.Confirm("g", "b", ident.Position{Term: 2, Index: 1}, time.Now())
			time.Sleep(100 * time.Millisecond)
		}
		is.Equal(f.promotions(), []string{"promote b"})
	})
}

// TestUnknownPrimaryGone guards against a group that stays without a primary: a VM that has just
// started learns from another one that a database leads of which it has seen no entry, and
// which then ends.
func TestUnknownPrimaryGone(t *testing.T) {
	run(t, 1, func(is *is.I, f *fixture) {
		time.Sleep(time.Second) // the in-sync set is stored
		f.killFirst()
		other := f.otherMonitor()
		table := &roster.Table{}
		table.Update([]roster.Entry{
			{ID: "b", Group: "g", Address: "b", Slots: 4, ProcessStart: 1},
			{ID: "c", Group: "g", Address: "c", Slots: 4, ProcessStart: 1},
		}, time.Now())
		f.startVM(table)
		for range 40 {
			other.Confirm("g", "a", ident.Position{Term: 1, Index: 1}, time.Now())
			time.Sleep(100 * time.Millisecond)
		}
		is.Equal(len(f.promotions()), 0)
		f.remove("a")
		time.Sleep(5 * time.Second)
		is.Equal(len(f.promotions()), 1)
	})
}

// TestRestartedBeforeDemotion guards against a hand-over to a replica that lacks what another
// one has acknowledged before the primary was demoted: one that does not stay, or that has
// restarted, so that it is not fenced. The primary goes on until the successor has its log.
func TestRestartedBeforeDemotion(t *testing.T) {
	run(t, 1, func(is *is.I, f *fixture) {
		time.Sleep(time.Second) // the in-sync set is stored
		f.setIndex(9, "a", "b", "c")
		f.cluster.OnControl(func(k dbop.Kind, _ ident.Target) {
			if k == dbop.Demote {
				f.cluster.Find("a").Index, f.cluster.Find("c").Index = 20, 20
			}
		})
		f.markLeaving("c")
		f.cluster.Update("a", func(d *linktest.DB) { d.Unlisted = true })
		f.await(is, "promote")
		time.Sleep(5 * time.Second)
		is.Equal(f.promotions(), []string{"promote a"})
		f.setIndex(20, "b")
		f.await(is, "promote b")
	})
}
