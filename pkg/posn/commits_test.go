package posn

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"chervilspan.example/pkg/ident"
)

// TestCommits guards against a commit of a session that is forgotten, or taken for one of
// another group, and against a session that holds more and more: it compares with a map.
func TestCommits(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var c Commits
		want := map[ident.Group]Commit{}
		now := epoch
		for i := range rapid.IntRange(1, 60).Draw(t, "steps") {
			g := ident.Group(rapid.StringMatching("[a-p]").Draw(t, "group"))
			now = now.Add(time.Millisecond)
			want[g] = Commit{ident.Position{Term: 1, Index: uint64(i + 1)}, now}
			c.Record(g, want[g])
			for g := ident.Group("a"); g <= "p"; g = ident.Group(g[0] + 1) {
				got, exact := c.Last(g), want[g]
				if got != exact && (!got.Position.IsZero() || got.At.Before(exact.At)) {
					t.Fatalf("%s: got %+v, want %+v", g, got, exact)
				}
			}
			if len(c.groups) > maxGroups {
				t.Fatalf("%d groups are held", len(c.groups))
			}
		}
	})
}
