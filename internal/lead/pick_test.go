package lead

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"chervilspan.example/internal/dbpool"
	"chervilspan.example/pkg/ident"
	"chervilspan.example/pkg/roster"
)

func heard(id string, index uint64, primary bool) reply {
	return reply{
		member: roster.Member{Entry: roster.Entry{ID: ident.Target(id), Zone: ident.Zone("z-" + id)}}, heard: true,
		status: dbpool.Status{Primary: primary, Term: 3, Received: ident.Position{Term: 3, Index: index}},
	}
}

func silent(id string) reply {
	return reply{member: roster.Member{Entry: roster.Entry{ID: ident.Target(id)}}}
}

// TestUnheardRule guards against a promotion while an acknowledged commit may be
// on a database that did not answer.
func TestUnheardRule(t *testing.T) {
	gone := silent("c")
	gone.member.MissingSince = time.Now().Add(-unheardLife - time.Second)
	lately := silent("c")
	lately.member.MissingSince = time.Now().Add(-time.Second)
	left := lately
	left.member.Leaving = true
	for name, c := range map[string]struct {
		replies []reply
		ok      bool
	}{
		"all heard":                      {[]reply{heard("a", 1, true), heard("b", 1, false), heard("c", 1, false)}, true},
		"the primary is silent":          {[]reply{silent("a"), heard("b", 1, false), heard("c", 1, false)}, true},
		"a replica is silent":            {[]reply{heard("a", 1, true), heard("b", 1, false), silent("c")}, false},
		"primary and replica are silent": {[]reply{silent("a"), heard("b", 1, false), silent("c")}, false},
		"the replica crashed just now":   {[]reply{silent("a"), heard("b", 1, false), lately}, false},
		"the replica left as planned":    {[]reply{silent("a"), heard("b", 1, false), left}, true},
		"the replica is gone":            {[]reply{silent("a"), heard("b", 1, false), gone}, true},
	} {
		t.Run(name, func(t *testing.T) {
			_, ok := unheard(c.replies)
			is.New(t).Equal(ok, c.ok)
		})
	}
}

// TestHighest guards against the choice of a database that lacks entries which
// another one has, and against one that leaves where another will do.
func TestHighest(t *testing.T) {
	is := is.New(t)
	region := func(z ident.Zone) ident.Region {
		if z == "z-c" {
			return "home"
		}
		return "far"
	}
	m, ok := highest([]reply{heard("a", 7, false), heard("b", 9, false), heard("c", 8, false)}, region, "home")
	is.True(ok)
	is.Equal(m.ID, ident.Target("b"))
	m, _ = highest([]reply{heard("a", 9, false), heard("b", 9, false), heard("c", 9, false)}, region, "home")
	is.Equal(m.ID, ident.Target("c"))
	leaving := heard("c", 9, false)
	leaving.member.Leaving = true
	m, _ = highest([]reply{leaving, heard("b", 9, false)}, region, "home")
	is.Equal(m.ID, ident.Target("b"))
	m, _ = highest([]reply{leaving, heard("b", 8, false)}, region, "home")
	is.Equal(m.ID, ident.Target("c"))
	older := heard("b", 50, false)
	older.status.Received.Term = 2
	m, _ = highest([]reply{older, heard("a", 9, false)}, region, "home")
	is.Equal(m.ID, ident.Target("a"))
	_, ok = highest(nil, region, "home")
	is.True(!ok)
}

// TestNextTerm guards against a fence that a database does not take because its
// term is not above those in use.
func TestNextTerm(t *testing.T) {
	is := is.New(t)
	fenced := heard("b", 1, false)
	fenced.status.FenceTerm = 7
	is.Equal(nextTerm([]reply{heard("a", 1, true), fenced}), ident.Term(8))
	is.Equal(nextTerm([]reply{heard("a", 1, true)}), ident.Term(4))
}

// TestReplicas guards against fencing or promoting the primary itself.
func TestReplicas(t *testing.T) {
	is := is.New(t)
	replies := []reply{heard("a", 9, true), heard("b", 9, false), silent("c")}
	got := replicasOf(replies)
	is.Equal(len(got), 1)
	is.Equal(got[0].ID, ident.Target("b"))
	m, ok := working(replies, "a")
	is.True(ok)
	is.Equal(m.ID, ident.Target("a"))
	_, ok = working(replies, "b")
	is.True(!ok)
	is.True(answered(replies, "a") && !answered(replies, "c") && !answered(replies, "d"))
	id, ok := leads(replies, "b")
	is.True(ok)
	is.Equal(id, ident.Target("a"))
	_, ok = leads(replies, "a")
	is.True(!ok)
}
