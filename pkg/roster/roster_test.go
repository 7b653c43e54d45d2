package roster

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"chervilspan.example/pkg/ident"
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

// TestOldReports guards against a report that undoes a later one, and against a
// restarted database whose reports count as old.
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

// TestMissing guards against work for a database that the list lacks, against
// one that a stale list brings back, and against dropping databases right after
// an outage of the list.
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
	tab.Update(both[:1], at(5000+int(missingLife.Milliseconds())+1))
	is.Equal(ids(tab.AllMembers("g")), "a")
}

// TestPrimary guards against a list, which lags, that brings back a database
// which has refused the lead.
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

// TestSettled guards against a decision on a list that may lack databases: just
// after the start, and just after an outage.
func TestSettled(t *testing.T) {
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

// TestReach guards against a database that stays last after it has answered.
func TestReach(t *testing.T) {
	is := is.New(t)
	var tab Table
	tab.Update([]Entry{entry("a", 1, true)}, at(0))
	tab.RecordFailure("g", "a", at(100))
	m, _ := tab.Member("g", "a")
	is.True(!m.Reachable(at(200)))
	is.True(m.Reachable(at(100).Add(failedLife)))
	tab.RecordAnswer("g", "a")
	is.True(tab.UsableMembers("g")[0].Reachable(at(200)))
}
