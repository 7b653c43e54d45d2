package dbctl

import (
	"fmt"

	"chervilspan.example/pkg/ident"
	"chervilspan.example/pkg/topo"
)

// Floor gathers the positions of a group's databases for a read-index: the
// highest log position among a majority covers every acknowledged write,
// because each of those is on a majority too. Asking the primary alone would
// not be enough, since it may have been replaced. The zero Floor is for a group
// without members; a Floor must not be used by several goroutines at once.
type Floor struct {
	members, answers, failures int
	highest                    ident.Position
}

// NewFloor returns a Floor for a group of n databases.
func NewFloor(n int) *Floor { return &Floor{members: n} }

// Add takes a database's answer. One that rebuilds its log does not count,
// because it may lack entries that it had confirmed.
func (f *Floor) Add(s topo.Status, err error) {
	if err != nil || s.Role == topo.RoleRebuild {
		f.failures++
		return
	}
	f.answers++
	f.highest = f.highest.Max(s.Log)
}

// Result returns the position once a majority has answered. While that is
// open, done is false; when it can't happen any more, the error is of kind
// KindNoMajority.
func (f *Floor) Result() (p ident.Position, done bool, err error) {
	need := f.members/2 + 1
	if f.answers >= need {
		return f.highest, true, nil
	}
	if f.members-f.failures < need {
		return ident.Position{}, true, &Error{
			Op: "floor", Kind: KindNoMajority,
			Err: fmt.Errorf("%d of %d databases failed to answer", f.failures, f.members),
		}
	}
	return ident.Position{}, false, nil
}
