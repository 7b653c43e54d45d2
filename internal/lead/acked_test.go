package lead_test

import (
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"chervilspan.example/internal/lead"
	"chervilspan.example/internal/linktest"
	"chervilspan.example/pkg/ident"
)

// acknowledgeElsewhere makes the second VM see a commit of a acknowledged above an index. The
// replicas b and c do not have it.
func (f *fixture) acknowledgeElsewhere(is *is.I, after uint64) {
	is.Helper()
	time.Sleep(time.Second) // the in-sync set is stored
	f.setIndex(after+1, "a")
	m, _ := f.cluster.Roster().Member("g", "a")
	is.True(f.monitors[1].ConfirmCommit(time.Now().Add(time.Second), &m, ident.Position{Term: 1, Index: after}))
}

// TestSilentBesideJoined guards against the promotion of a database that lacks acknowledged
// commits while the primary does not answer: one that has joined and is not listed yet has
// acknowledged them.
func TestSilentBesideJoined(t *testing.T) {
	run(t, 2, func(is *is.I, f *fixture) {
		f.acknowledgeElsewhere(is, 8)
		f.cluster.Join("d", 9)
		f.cluster.Update("a", func(d *linktest.DB) { d.Unreachable = true })
		time.Sleep(5 * time.Second)
		is.Equal(len(f.promotions()), 0)
		is.True(strings.Contains(f.log.String(), "commits_missing"))
		f.cluster.Update("d", func(d *linktest.DB) { d.Unlisted = false })
		f.cluster.UpdateRoster()
		f.await(is, "promote")
		is.Equal(f.promotions(), []string{"promote d"})
	})
}

// TestStalledBesideJoined guards against the same loss where the primary answers, and its
// replicas receive nothing. It leads again, and the one that has joined receives its log.
func TestStalledBesideJoined(t *testing.T) {
	run(t, 2, func(is *is.I, f *fixture) {
		f.acknowledgeElsewhere(is, 8)
		f.monitors[0].ReportStalledWrite("g", "a")
		f.monitors[0].ReportStalledWrite("g", "a")
		f.await(is, "promote")
		time.Sleep(4 * time.Second)
		is.Equal(f.promotions(), []string{"promote a"})
	})
}

// TestMissingCommitsGone guards against a group that stays without a primary because
// acknowledged commits are gone for good.
func TestMissingCommitsGone(t *testing.T) {
	run(t, 2, func(is *is.I, f *fixture) {
		f.acknowledgeElsewhere(is, 8)
		f.remove("a")
		time.Sleep(18 * time.Second)
		is.Equal(len(f.promotions()), 0)
		time.Sleep(7 * time.Second)
		is.Equal(len(f.promotions()), 1)
	})
}

// TestReceivedCommitsNotMissing guards against a promotion that waits although the database
// chosen has every commit that was acknowledged. The primary's log may be longer.
func TestReceivedCommitsNotMissing(t *testing.T) {
	run(t, 2, func(is *is.I, f *fixture) {
		f.acknowledgeElsewhere(is, 8)
		f.setIndex(12, "a")
		f.setIndex(9, "b")
		f.remove("a")
		time.Sleep(4 * time.Second)
		is.Equal(f.promotions(), []string{"promote b"})
	})
}

// TestAnswerAfterDemotion guards against an acknowledgement that is passed on although it
// arrives after another VM has demoted the primary and has asked for what is acknowledged.
func TestAnswerAfterDemotion(t *testing.T) {
	run(t, 1, func(is *is.I, f *fixture) {
		is.True(f.allows("a"))
		f.claimFor(is, t, "a")
		m, _ := f.cluster.Roster().Member("g", "a")
		confirm := func() bool {
			return f.monitors[0].ConfirmCommit(time.Now().Add(time.Second), &m, ident.Position{})
		}
		is.True(confirm()) // it is in contact with the primary
		f.monitors[0].RecordDemoted("g", "b")
		is.True(confirm())
		f.monitors[0].RecordDemoted("g", "a")
		is.True(!confirm())
		time.Sleep(lead.ClaimTTL)
	})
}
