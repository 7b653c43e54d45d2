package bench

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestRunScale guards against runs that are shortened without need, too much, or
// not enough to end in time, and against a measure that starts too late to end
// in time.
func TestRunScale(t *testing.T) {
	now := time.Unix(1000, 0)
	first := measure{fixedTime: 2 * time.Second, scalableTime: 4 * time.Second}
	second := measure{fixedTime: time.Second, scalableTime: 6 * time.Second}
	withOwnFleet := measure{fixedTime: time.Hour, ownFleet: true}
	for _, c := range []struct {
		name  string
		left  time.Duration
		list  []measure
		scale float64
		fits  bool
	}{
		{"enough", 13 * time.Second, []measure{first, second}, 1, true},
		{"shorter", 11 * time.Second, []measure{first, second}, 0.8, true},
		{"beside_others", 11 * time.Second, []measure{first, withOwnFleet, second}, 0.8, true},
		{"only_the_first", 5 * time.Second, []measure{first, second}, minRunScale, true},
		{"too_late", 3 * time.Second, []measure{first, second}, minRunScale, false},
		{"apart_too_late", time.Minute, []measure{withOwnFleet}, 1, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			scale, fits := budget{end: now.Add(c.left)}.runScale(now, c.list)
			is.Equal(scale, c.scale)
			is.Equal(fits, c.fits)
		})
	}
	is := is.New(t)
	scale, fits := budget{}.runScale(now, []measure{withOwnFleet})
	is.True(scale == 1 && fits)
}
