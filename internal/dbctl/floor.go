package dbctl

import (
	"fmt"

	"chervilspan.example/pkg/ident"
	"chervilspan.example/pkg/topo"
)

// Floor computes the floor of a read, its read index, from the positions of a
// group's databases: the highest log position among a majority covers every
// acknowledged write, because each of these is on a majority too. The position of
// the primary alone would not do, since it may have been replaced. The zero Floor
// is for a group without members; a Floor must not be used by several goroutines
// at once.
type Floor struct {
	members, answers, failures int
	highest                    ident.Position
}

// NewFloor returns a Floor for a group of n databases.
func NewFloor(n int) *Floor { return &Floor{members: n} }

// Add adds a database's answer. A database that is rebuilding its log counts as a
// failure, because it may lack entries that it had confirmed.
func (f *Floor) Add(s topo.Status, err error) {
	if err != nil || s.Role == topo.RoleRebuild {
		f.failures++
		return
	}
	f.answers++
	f.highest = f.highest.Max(s.Log)
}

// Result returns the floor once a majority has answered. Until then done is false.
// If a majority can no longer answer, the error is of kind KindNoMajority.
func (f *Floor) Result() (p ident.Position, done bool, err error) {
	majority := f.members/2 + 1
	if f.answers >= majority {
		return f.highest, true, nil
	}
	if f.members-f.failures < majority {
		return ident.Position{}, true, &Error{
			Op: "floor", Kind: KindNoMajority,
			Err: fmt.Errorf("%d of %d databases failed to answer", f.failures, f.members),
		}
	}
	return ident.Position{}, false, nil
}
