package roster

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"chervilspan.example/pkg/ident"
	"chervilspan.example/pkg/store"
)

var epoch = time.Unix(1_000, 0)

func at(ms int) time.Time { return epoch.Add(time.Duration(ms) * time.Millisecond) }

func entry(id string, sequence int64, primary bool) Entry {
	return Entry{ID: ident.Target(id), Group: "g", Address: "10.0.0.1:1", Primary: primary, Sequence: sequence, ProcessStart: 1}
}

func ids(ms []Member) string {
	s := ""
	for _, m := range ms {
		s += string(m.ID)
	}
	return s
}

// TestOldReports guards against an old report that overwrites a later one, and
// against treating the reports of a restarted database as old because its
// sequence starts again.
func TestOldReports(t *testing.T) {
	is := is.New(t)
	var tab Table
	leaving := entry("a", 5, false)
	leaving.Leaving = true
	tab.Update([]Entry{leaving, entry("b", 1, true)}, at(0))
	is.Equal(ids(tab.UsableMembers("g")), "b")
	tab.Merge([]Entry{entry("a", 4, false)}, at(10))
	is.Equal(ids(tab.UsableMembers("g")), "b")
	again := entry("a", 1, false)
	again.ProcessStart = 2
	tab.Merge([]Entry{again}, at(20))
	is.Equal(ids(tab.UsableMembers("g")), "ab")
}

// TestMissing guards against using a database that is missing from the list,
// against a stale list that restores it, and against removing databases right
// after an outage of the list, when their entries may not be back yet.
func TestMissing(t *testing.T) {
	is := is.New(t)
	var tab Table
	both := []Entry{entry("a", 1, true), entry("b", 1, false)}
	tab.Update(both, at(0))
	tab.RecordOutage(at(1000))
	tab.Update(both[:1], at(1500))
	is.Equal(ids(tab.UsableMembers("g")), "ab")
	tab.Update(both[:1], at(4000))
	is.Equal(ids(tab.UsableMembers("g")), "a")
	tab.Merge(both, at(4100))
	is.Equal(ids(tab.UsableMembers("g")), "a")
	is.Equal(ids(tab.AllMembers("g")), "ab")
	tab.Update(both, at(4200))
	is.Equal(ids(tab.UsableMembers("g")), "ab")
	tab.Update(both[:1], at(5000))
	tab.Update(both[:1], at(5000+int(missingRetentionPeriod.Milliseconds())+1))
	is.Equal(ids(tab.AllMembers("g")), "a")
}

// TestPrimary guards against a lagging list that restores as primary a database
// which has just refused a writing transaction.
func TestPrimary(t *testing.T) {
	is := is.New(t)
	var tab Table
	tab.Update([]Entry{entry("a", 1, true), entry("b", 1, false)}, at(0))
	id, ok := tab.Primary("g")
	is.True(ok)
	is.Equal(id, ident.Target("a"))
	is.True(tab.DeposePrimary("g", "a", at(100)))
	_, ok = tab.Primary("g")
	is.True(!ok)
	tab.Update([]Entry{entry("a", 2, true), entry("b", 2, false)}, at(200))
	_, ok = tab.Primary("g")
	is.True(!ok)
	is.Equal(tab.LastPrimary("g"), ident.Target("a"))
	is.True(tab.ConfirmPrimary("g", "b"))
	is.True(!tab.ConfirmPrimary("g", "b"))
	id, _ = tab.Primary("g")
	is.Equal(id, ident.Target("b"))
	is.True(!tab.DeposePrimary("g", "a", at(300)))
}

// TestListComplete guards against treating a list as complete just after the
// start or an outage, when entries may still be missing.
func TestListComplete(t *testing.T) {
	is := is.New(t)
	var tab Table
	is.True(!tab.ListComplete(at(0)))
	tab.Update(nil, at(0))
	is.True(!tab.ListComplete(at(3000)))
	is.True(tab.ListComplete(at(3500)))
	tab.RecordOutage(at(4000))
	is.True(!tab.ListComplete(at(7000)))
	is.True(tab.ListComplete(at(7500)))
}

// TestRecordAnswer guards against a database that is still tried last after it
// has answered.
func TestRecordAnswer(t *testing.T) {
	is := is.New(t)
	var tab Table
	tab.Update([]Entry{entry("a", 1, true)}, at(0))
	tab.RecordFailure("g", "a", at(100))
	m, _ := tab.Member("g", "a")
	is.True(!m.Reachable(at(200)))
	is.True(m.Reachable(at(100).Add(unreachablePeriod)))
	tab.RecordAnswer("g", "a")
	is.True(tab.UsableMembers("g")[0].Reachable(at(200)))
}

// TestOddReport guards against an entry of another writer under a database's id that
// outlasts the database's own later reports, because its numbers are higher or it names
// another group.
func TestOddReport(t *testing.T) {
	is := is.New(t)
	var tab Table
	now := time.Now()
	own := Entry{ID: "a", Group: "g", Address: "x", ProcessStart: 5, Sequence: 3, Revision: store.NewRevision(1, 10)}
	tab.Update([]Entry{own}, now)
	odd := own
	odd.Address, odd.Sequence, odd.ProcessStart, odd.Revision = "y", 1<<50, 1<<50, store.NewRevision(1, 11)
	tab.Update([]Entry{odd}, now)
	own.Sequence, own.Revision = 4, store.NewRevision(1, 12)
	tab.Update([]Entry{own}, now)
	is.Equal(tab.UsableMembers("g")[0].Address, "x")
	tab.Merge([]Entry{odd}, now) // from a list that is stale
	is.Equal(tab.UsableMembers("g")[0].Address, "x")
	restored := own
	restored.Sequence, restored.Address, restored.Revision = 2, "z", store.NewRevision(2, 7)
	tab.Update([]Entry{restored}, now)
	is.Equal(tab.UsableMembers("g")[0].Address, "x") // an older report, of a restored store
	odd = own
	odd.Group, odd.Revision = "h", store.NewRevision(1, 13)
	tab.Update([]Entry{odd}, now)
	is.Equal(len(tab.UsableMembers("g")), 0)
}
