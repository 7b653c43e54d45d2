package lead

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"chervilspan.example/internal/dbpool"
	"chervilspan.example/pkg/ident"
	"chervilspan.example/pkg/roster"
)

func answeredReply(id string, index uint64, primary bool) reply {
	return reply{
		member: roster.Member{Entry: roster.Entry{ID: ident.Target(id), Zone: ident.Zone("z-" + id)}}, answered: true,
		status: dbpool.Status{Primary: primary, Term: 3, Received: ident.Position{Term: 3, Index: index}},
	}
}

func missingReply(id string) reply {
	return reply{member: roster.Member{Entry: roster.Entry{ID: ident.Target(id)}}}
}

// TestEnoughAnswered guards against a promotion while an acknowledged commit may be
// on a database that did not answer.
func TestEnoughAnswered(t *testing.T) {
	gone := missingReply("c")
	gone.member.MissingSince = time.Now().Add(-lostTimeout - time.Second)
	lostPrimary := missingReply("a")
	lostPrimary.member.MissingSince = gone.member.MissingSince
	lately := missingReply("c")
	lately.member.MissingSince = time.Now().Add(-time.Second)
	left := lately
	left.member.Leaving = true
	leftPrimary := left
	leftPrimary.member.ID = "a"
	for name, c := range map[string]struct {
		replies []reply
		ok      bool
	}{
		"all heard":                      {[]reply{answeredReply("a", 1, true), answeredReply("b", 1, false), answeredReply("c", 1, false)}, true},
		"the primary is silent":          {[]reply{missingReply("a"), answeredReply("b", 1, false), answeredReply("c", 1, false)}, true},
		"a replica is silent":            {[]reply{answeredReply("a", 1, true), answeredReply("b", 1, false), missingReply("c")}, false},
		"primary and replica are silent": {[]reply{missingReply("a"), answeredReply("b", 1, false), missingReply("c")}, false},
		"the replica crashed just now":   {[]reply{missingReply("a"), answeredReply("b", 1, false), lately}, false},
		"the replica left as planned":    {[]reply{missingReply("a"), answeredReply("b", 1, false), left}, false},
		"the replica is gone":            {[]reply{missingReply("a"), answeredReply("b", 1, false), gone}, false},
		"both left as planned":           {[]reply{leftPrimary, answeredReply("b", 1, false), left}, true},
		"both are gone":                  {[]reply{lostPrimary, answeredReply("b", 1, false), gone}, true},
		"gone, but the primary works":    {[]reply{answeredReply("a", 1, true), answeredReply("b", 1, false), gone}, false},
	} {
		t.Run(name, func(t *testing.T) {
			_, ok := enoughAnswered(c.replies)
			is.New(t).Equal(ok, c.ok)
		})
	}
}

// TestMostAdvanced guards against the choice of a database that lacks entries of
// another one, and of a leaving database where another is as advanced.
func TestMostAdvanced(t *testing.T) {
	is := is.New(t)
	region := func(z ident.Zone) ident.Region {
		if z == "z-c" {
			return "home"
		}
		return "far"
	}
	m, ok := mostAdvanced([]reply{answeredReply("a", 7, false), answeredReply("b", 9, false), answeredReply("c", 8, false)}, placement{region: region, home: "home"})
	is.True(ok)
	is.Equal(m.ID, ident.Target("b"))
	m, _ = mostAdvanced([]reply{answeredReply("a", 9, false), answeredReply("b", 9, false), answeredReply("c", 9, false)}, placement{region: region, home: "home"})
	is.Equal(m.ID, ident.Target("c"))
	leaving := answeredReply("c", 9, false)
	leaving.member.Leaving = true
	m, _ = mostAdvanced([]reply{leaving, answeredReply("b", 9, false)}, placement{region: region, home: "home"})
	is.Equal(m.ID, ident.Target("b"))
	m, _ = mostAdvanced([]reply{leaving, answeredReply("b", 8, false)}, placement{region: region, home: "home"})
	is.Equal(m.ID, ident.Target("c"))
	older := answeredReply("b", 50, false)
	older.status.Received.Term = 2
	m, _ = mostAdvanced([]reply{older, answeredReply("a", 9, false)}, placement{region: region, home: "home"})
	is.Equal(m.ID, ident.Target("a"))
	_, ok = mostAdvanced(nil, placement{region: region, home: "home"})
	is.True(!ok)
}

// TestNextTerm guards against a fence that a database rejects because the fence's
// term is not above those in use.
func TestNextTerm(t *testing.T) {
	is := is.New(t)
	fenced := answeredReply("b", 1, false)
	fenced.status.FenceTerm = 7
	is.Equal(nextTerm([]reply{answeredReply("a", 1, true), fenced}), ident.Term(8))
	is.Equal(nextTerm([]reply{answeredReply("a", 1, true)}), ident.Term(4))
}

// TestReplicas guards against fencing or promoting the primary itself.
func TestReplicas(t *testing.T) {
	is := is.New(t)
	replies := []reply{answeredReply("a", 9, true), answeredReply("b", 9, false), missingReply("c")}
	got := answeredReplicas(replies)
	is.Equal(len(got), 1)
	is.Equal(got[0].ID, ident.Target("b"))
	m, ok := answeringPrimary(replies, "a")
	is.True(ok)
	is.Equal(m.member.ID, ident.Target("a"))
	_, ok = answeringPrimary(replies, "b")
	is.True(!ok)
	is.True(hasAnswered(replies, "a") && !hasAnswered(replies, "c") && !hasAnswered(replies, "d"))
	id, ok := otherPrimary(replies, "b")
	is.True(ok)
	is.Equal(id, ident.Target("a"))
	_, ok = otherPrimary(replies, "a")
	is.True(!ok)
}
