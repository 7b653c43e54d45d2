package lead

import (
	"time"

	"chervilspan.example/internal/dbpool"
	"chervilspan.example/pkg/ident"
	"chervilspan.example/pkg/roster"
)

// reply is what a database answered to a control statement.
type reply struct {
	member roster.Member
	heard  bool
	status dbpool.Status
}

// unheardLife is how long the list must have lacked a replica before a promotion
// goes on without it. A replica that crashed is back with its log in less.
const unheardLife = 8 * time.Second

// needed reports whether a database that did not answer may hold an acknowledged
// commit that no other has. One that left as planned took no commit with it that
// only it had.
func needed(m *roster.Member) bool {
	if m.MissingSince.IsZero() {
		return true
	}
	return !m.Leaving && time.Since(m.MissingSince) < unheardLife
}

// unheard reports whether enough databases answered for a promotion, and one
// that did not otherwise. While the primary answers, each other must; else the
// primary is among those that did not, so all others must have answered.
func unheard(replies []reply) (ident.Target, bool) {
	allowed := 1
	for _, r := range replies {
		if r.heard && r.status.Primary {
			allowed = 0
		}
	}
	var missing ident.Target
	n := 0
	for _, r := range replies {
		if !r.heard && needed(&r.member) {
			missing = r.member.ID
			n++
		}
	}
	return missing, n <= allowed
}

// leads returns a database other than old that says that it is the primary.
func leads(replies []reply, old ident.Target) (ident.Target, bool) {
	for _, r := range replies {
		if r.heard && r.status.Primary && r.member.ID != old {
			return r.member.ID, true
		}
	}
	return "", false
}

// working returns the database to be replaced if it answered as the primary.
func working(replies []reply, old ident.Target) (roster.Member, bool) {
	for _, r := range replies {
		if r.heard && r.status.Primary && r.member.ID == old {
			return r.member, true
		}
	}
	return roster.Member{}, false
}

// answered reports whether a database answered.
func answered(replies []reply, id ident.Target) bool {
	for _, r := range replies {
		if r.member.ID == id {
			return r.heard
		}
	}
	return false
}

// replicasOf returns the databases that answered and don't lead.
func replicasOf(replies []reply) []roster.Member {
	var out []roster.Member
	for _, r := range replies {
		if r.heard && !r.status.Primary {
			out = append(out, r.member)
		}
	}
	return out
}

// nextTerm returns a term above all that were heard of.
func nextTerm(replies []reply) ident.Term {
	var t ident.Term
	for _, r := range replies {
		t = max(t, r.status.Term, r.status.FenceTerm)
	}
	return t + 1
}

// highest returns the fenced replica with the highest position; of equals one
// that stays, then one in the home region.
func highest(replies []reply, region func(ident.Zone) ident.Region, home ident.Region) (roster.Member, bool) {
	best := -1
	for i := range replies {
		if best < 0 || better(&replies[i], &replies[best], region, home) {
			best = i
		}
	}
	if best < 0 {
		return roster.Member{}, false
	}
	return replies[best].member, true
}

func better(a, b *reply, region func(ident.Zone) ident.Region, home ident.Region) bool {
	if a.status.Received != b.status.Received {
		return b.status.Received.Less(a.status.Received)
	}
	stays := func(r *reply) bool { return !r.member.Leaving && r.member.MissingSince.IsZero() }
	if stays(a) != stays(b) {
		return stays(a)
	}
	return region(a.member.Zone) == home && region(b.member.Zone) != home
}
