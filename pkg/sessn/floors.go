package sessn

import (
	"slices"

	"chervilspan.example/pkg/ident"
)

// maxFloors is the number of groups, besides the present one, of which a session's floor is
// kept. A session comes to another group only when its route is moved there.
const maxFloors = 8

// Floors keeps the floors of a session in the groups that its route has left, since the route
// may come back. A position means nothing in the log of another group. The zero Floors has
// none.
type Floors struct {
	groups []groupFloor
	// dropped is set once a floor was dropped.
	dropped bool
}

type groupFloor struct {
	group ident.Group
	floor Session
}

// Move keeps the floor in a group that the route leaves, and returns the one in the group to
// which it is moved.
func (f *Floors) Move(from ident.Group, floor Session, to ident.Group) Session {
	if len(f.groups) == maxFloors {
		f.groups, f.dropped = slices.Delete(f.groups, 0, 1), true
	}
	f.groups = append(f.groups, groupFloor{from, floor})
	i := slices.IndexFunc(f.groups, func(g groupFloor) bool { return g.group == to })
	if i < 0 {
		return Session{mustAttach: f.dropped}
	}
	floor = f.groups[i].floor
	f.groups = slices.Delete(f.groups, i, i+1)
	return floor
}
