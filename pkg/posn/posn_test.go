package posn

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"chervilspan.example/pkg/ident"
)

var epoch = time.Unix(1_000, 0)

func at(ms int) time.Time { return epoch.Add(time.Duration(ms) * time.Millisecond) }

// TestCovering guards against a floor below a commit that was acknowledged
// before the accepted age, and against one above the lowest that covers it,
// which replicas would lack.
func TestCovering(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var tr Tracker
		type confirmed struct {
			sent  int
			index uint64
		}
		var all []confirmed
		ms, index := 0, uint64(1)
		for range rapid.IntRange(1, 60).Draw(t, "n") {
			ms += rapid.IntRange(1, 120).Draw(t, "gap")
			index += uint64(rapid.IntRange(0, 5).Draw(t, "commits"))
			tr.Confirm(ident.Position{Term: 1, Index: index}, at(ms))
			all = append(all, confirmed{ms, index})
		}
		since := rapid.IntRange(0, ms+50).Draw(t, "since")
		pos, ok := tr.Covering(at(since))
		if ok != (since <= ms) {
			t.Fatalf("covering %d of %d: %v", since, ms, ok)
		}
		if !ok {
			return
		}
		for _, c := range all {
			// What was confirmed before since was acknowledged before it.
			if c.sent < since && c.index > pos.Index {
				t.Fatalf("floor %d lacks %d, confirmed at %d before %d", pos.Index, c.index, c.sent, since)
			}
		}
	})
}

// TestCoveringLate guards against a sample that was confirmed before the time
// asked for.
func TestCoveringLate(t *testing.T) {
	is := is.New(t)
	var tr Tracker
	_, ok := tr.Covering(at(0))
	is.True(!ok)
	tr.Confirm(ident.Position{Term: 1, Index: 7}, at(100))
	_, ok = tr.Covering(at(101))
	is.True(!ok)
	pos, ok := tr.Covering(at(100))
	is.True(ok)
	is.Equal(pos.Index, uint64(7))
	last, sent := tr.Latest()
	is.Equal(last, pos)
	is.Equal(sent, at(100))
}
