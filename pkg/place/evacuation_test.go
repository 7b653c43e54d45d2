package place

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"chervilspan.example/pkg/ident"
	"chervilspan.example/pkg/store"
)

// TestMerge guards against the end of an evacuation that is lost because a VM which knows
// only its begin sends that later, or not sent on by a VM that never saw the begin, and
// against a snapshot of a former epoch that replaces one of a restored store.
func TestMerge(t *testing.T) {
	is := is.New(t)
	began := Snapshot{}.With("z", 7)
	ended := began.Without("z", 9)
	is.True(ended.Announced())
	is.Equal(began.Merge(ended), ended)
	is.Equal(ended.Merge(began), ended)
	fresh := NewSnapshot(12, nil)
	is.True(!fresh.Announced())
	is.True(fresh.Merge(began).Announced())
	is.True(began.Merge(fresh).Announced())
	is.Equal(began.Merge(fresh).Zones, fresh.Zones)
	restored := NewSnapshot(store.NewRevision(2, 3), nil)
	is.Equal(len(began.Merge(restored).Zones), 0)
	is.Equal(restored.Merge(began).Revision, restored.Revision)
	two := began.With("a", 8)
	is.Equal(two.Zones, []ident.Zone{"a", "z"})
	is.Equal(two.Without("z", 9).Zones, []ident.Zone{"a"})
	is.Equal(two.With("a", 10).Zones, two.Zones)
}

// TestClosing guards against a zone that closes later than the order allows at a VM that
// learned of it late, such as one that was frozen, against one that closes at once at a
// VM that learned of it early, and against a deadline that moves with a later snapshot.
func TestClosing(t *testing.T) {
	is := is.New(t)
	start := time.Unix(1000, 0)
	at := func(s float64) time.Time { return start.Add(time.Duration(s * float64(time.Second))) }
	for _, test := range []struct{ confirmed, learned, closes float64 }{
		{0, 0.5, 3}, {0, 2, 4.5}, {0, 3, 4.5}, {0, 60, 60}, {-100, 1, 1},
	} {
		e := Evacuation{Within: 5 * time.Second}
		e.Confirm(Snapshot{}, at(test.confirmed))
		began, _ := e.Apply(Snapshot{}.With("z", 7), at(test.learned))
		is.Equal(began, []ident.Zone{"z"})
		e.Apply(e.Snapshot().With("y", 8), at(test.learned+0.1))
		if test.closes > test.learned {
			is.Equal(e.View().Status("z", at(test.closes-0.01)), Leaving)
		}
		is.Equal(e.View().Status("z", at(test.closes)), Closed)
		is.Equal(e.View().Status("x", at(test.closes)), InService)
		_, ended := e.Apply(e.Snapshot().Without("z", 9), at(70))
		is.Equal(ended, []ident.Zone{"z"})
		is.Equal(e.View().Status("z", at(70)), InService)
	}
}

// TestConfirm guards against a confirmation of other zones than those known here.
func TestConfirm(t *testing.T) {
	is := is.New(t)
	e := Evacuation{Within: time.Second}
	e.Apply(Snapshot{}.With("z", 7), time.Unix(9, 0))
	e.Confirm(Snapshot{}, time.Unix(10, 0))
	is.True(e.ConfirmedAt().IsZero())
	e.Confirm(NewSnapshot(8, []ident.Zone{"z"}), time.Unix(10, 0))
	is.Equal(e.ConfirmedAt(), time.Unix(10, 0))
}
