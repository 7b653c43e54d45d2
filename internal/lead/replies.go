package lead

import (
	"time"

	"chervilspan.example/internal/dbpool"
	"chervilspan.example/pkg/ident"
	"chervilspan.example/pkg/roster"
)

// reply is the outcome of a control statement at one database.
type reply struct {
	member   roster.Member
	answered bool
	// outstanding is set when a try got no answer, so that the statement may still
	// be carried out.
	outstanding bool
	status      dbpool.Status
}

const (
	// goneTimeout is how long a database must have been missing from the list before it
	// counts as gone. One that crashed is back with its log in less time.
	goneTimeout = 8 * time.Second
	// lostTimeout is how long a database that has not left as planned must have been
	// missing from the list before a promotion proceeds without it and a second one.
	// Commits that only they hold are lost then, which is the last resort for a group
	// whose databases are gone for good.
	lostTimeout = 20 * time.Second
)

// enoughAnswered reports whether enough databases of the in-sync set answered for a
// promotion, and returns one that is missing otherwise. If the primary answered, all
// others must have answered too, since it goes on having commits acknowledged. If not,
// one missing answer is allowed, as each commit is in two logs; with more, those are waited
// for that may come back.
func enoughAnswered(replies []reply) (ident.Target, bool) {
	maxMissing, primaryWorks := 1, false
	for _, r := range replies {
		if r.answered && r.status.Primary {
			maxMissing, primaryWorks = 0, true
		}
	}
	var missing ident.Target
	lost := !primaryWorks
	for _, r := range replies {
		if !r.answered {
			missing = r.member.ID
			lost = lost && isLost(&r.member)
		}
	}
	return missing, missingCount(replies) <= maxMissing || lost
}

// missingCount returns the number of databases that did not answer.
func missingCount(replies []reply) int {
	n := 0
	for _, r := range replies {
		if !r.answered {
			n++
		}
	}
	return n
}

// isLost reports whether a database that does not answer is not waited for: it has left as
// planned, or has been missing from the list for too long.
func isLost(m *roster.Member) bool {
	return !m.MissingSince.IsZero() && (m.Leaving || time.Since(m.MissingSince) >= lostTimeout)
}

// otherPrimary returns a database other than old that reports being the primary.
func otherPrimary(replies []reply, old ident.Target) (ident.Target, bool) {
	for _, r := range replies {
		if r.answered && r.status.Primary && r.member.ID != old {
			return r.member.ID, true
		}
	}
	return "", false
}

// highestTerm returns the highest term that a database has seen.
func highestTerm(replies []reply) ident.Term {
	var t ident.Term
	for _, r := range replies {
		t = max(t, r.status.Term, r.status.Received.Term)
	}
	return t
}

// primaryOf returns the database that is the primary in the highest term. ok is false
// if there is none.
func primaryOf(replies []reply) (primary reply, ok bool) {
	highest := highestTerm(replies)
	for _, r := range replies {
		if r.answered && r.status.Primary && r.status.Term == highest {
			return r, true
		}
	}
	return primary, false
}

// answeringPrimary returns the database to be replaced if it answered that it is
// the primary.
func answeringPrimary(replies []reply, old ident.Target) (reply, bool) {
	for _, r := range replies {
		if r.answered && r.status.Primary && r.member.ID == old {
			return r, true
		}
	}
	return reply{}, false
}

// hasAnswered reports whether a database answered.
func hasAnswered(replies []reply, id ident.Target) bool {
	for _, r := range replies {
		if r.member.ID == id {
			return r.answered
		}
	}
	return false
}

// answeredReplicas returns the databases that answered and are not the primary.
func answeredReplicas(replies []reply) []roster.Member {
	var out []roster.Member
	for _, r := range replies {
		if r.answered && !r.status.Primary {
			out = append(out, r.member)
		}
	}
	return out
}

// stayingReplicas returns the replicas that answered, are listed and are not
// leaving. If there are none, it returns all replicas that answered.
func stayingReplicas(replies []reply) []roster.Member {
	all := answeredReplicas(replies)
	var out []roster.Member
	for _, m := range all {
		if !m.Leaving && m.MissingSince.IsZero() {
			out = append(out, m)
		}
	}
	if len(out) == 0 {
		return all
	}
	return out
}

// nextTerm returns a term above all that the replies contain.
func nextTerm(replies []reply) ident.Term {
	t := highestTerm(replies)
	for _, r := range replies {
		t = max(t, r.status.FenceTerm)
	}
	return t + 1
}

// mostAdvanced returns the fenced replica with the highest position. Among equals
// it prefers one that is neither leaving nor missing, then the best placed one.
func mostAdvanced(replies []reply, p placement) (roster.Member, bool) {
	return bestOf(replies, func(a, b *reply) bool { return preferred(a, b, p) })
}

// bestOf returns the database that is preferred to all others.
func bestOf(replies []reply, preferred func(a, b *reply) bool) (roster.Member, bool) {
	best := -1
	for i := range replies {
		if best < 0 || preferred(&replies[i], &replies[best]) {
			best = i
		}
	}
	if best < 0 {
		return roster.Member{}, false
	}
	return replies[best].member, true
}

// preferred reports whether a is a better choice for promotion than b.
func preferred(a, b *reply, p placement) bool {
	if a.status.Received != b.status.Received {
		return b.status.Received.Less(a.status.Received)
	}
	staysInService := func(r *reply) bool { return !r.member.Leaving && r.member.MissingSince.IsZero() }
	if staysInService(a) != staysInService(b) {
		return staysInService(a)
	}
	if c := p.compare(a.member.Zone, b.member.Zone); c != 0 {
		return c > 0
	}
	return p.isHome(a.member.Zone) && !p.isHome(b.member.Zone)
}
