package sessn

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"chervilspan.example/pkg/ident"
)

// TestFloors guards against a floor that is forgotten when a route is moved, or taken for that
// of another group, and against a session that holds more and more floors: a session whose
// floor is not known has to ask the group, whatever age it accepts.
func TestFloors(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var f Floors
		var floor Session
		want, group := map[ident.Group]ident.Position{}, ident.Group("a")
		for i := range rapid.IntRange(1, 60).Draw(t, "steps") {
			if rapid.Bool().Draw(t, "writes") {
				want[group] = ident.Position{Term: 1, Index: uint64(i + 1)}
				floor.RecordWrite(want[group])
			}
			to := ident.Group(rapid.StringMatching("[a-p]").Draw(t, "group"))
			if to == group {
				continue
			}
			floor, group = f.Move(group, floor, to), to
			if floor.Floor() != want[group] && !floor.NeedsFloor(time.Minute) {
				t.Fatalf("%s: got %v, want %v", group, floor.Floor(), want[group])
			}
			if len(f.groups) > maxFloors {
				t.Fatalf("%d floors are held", len(f.groups))
			}
			if floor.NeedsFloor(time.Minute) {
				floor.Attach(want[group])
			}
		}
	})
}
