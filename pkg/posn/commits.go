package posn

import (
	"slices"
	"time"

	"chervilspan.example/pkg/ident"
)

// maxGroups is the number of groups of which a session's last commit is kept. A session
// writes to another group only after its route has been moved there.
const maxGroups = 8

// Commit is an acknowledged commit.
type Commit struct {
	// Position is in the log of the commit's group. It covers the commit and the earlier
	// ones of the session. It is zero if it is not known.
	Position ident.Position
	// At is when the commit was acknowledged.
	At time.Time
}

// Commits holds the last commit of a session in each group, whatever route the session was on.
// A position means nothing in the log of another group. The zero Commits holds none.
type Commits struct {
	groups []groupCommit
	// droppedAt is when the last commit was acknowledged that is not held any more.
	droppedAt time.Time
}

type groupCommit struct {
	group ident.Group
	last  Commit
}

func (c *Commits) index(g ident.Group) int {
	return slices.IndexFunc(c.groups, func(gc groupCommit) bool { return gc.group == g })
}

// Record records a commit, which is the session's last one.
func (c *Commits) Record(g ident.Group, last Commit) {
	if i := c.index(g); i >= 0 {
		c.groups = slices.Delete(c.groups, i, i+1)
	} else if len(c.groups) == maxGroups {
		c.droppedAt = c.groups[0].last.At
		c.groups = slices.Delete(c.groups, 0, 1)
	}
	c.groups = append(c.groups, groupCommit{g, last})
}

// Last returns the session's last commit in a group, zero if there is none. If it may be one
// that is not held any more, the position is zero and the time not before that of the commit.
func (c *Commits) Last(g ident.Group) Commit {
	if i := c.index(g); i >= 0 {
		return c.groups[i].last
	}
	return Commit{At: c.droppedAt}
}
