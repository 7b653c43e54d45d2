package bench

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestShrink guards against runs that are shortened without need, to nothing,
// or not enough to end in time, and against a measure that starts too late.
func TestShrink(t *testing.T) {
	now := time.Unix(1000, 0)
	first := measure{fixed: 2 * time.Second, spans: 4 * time.Second}
	next := measure{fixed: time.Second, spans: 6 * time.Second}
	beside := measure{fixed: time.Hour, apart: true}
	for _, c := range []struct {
		name string
		left time.Duration
		list []measure
		part float64
		fits bool
	}{
		{"enough", 13 * time.Second, []measure{first, next}, 1, true},
		{"shorter", 11 * time.Second, []measure{first, next}, 0.8, true},
		{"beside_others", 11 * time.Second, []measure{first, beside, next}, 0.8, true},
		{"only_the_first", 5 * time.Second, []measure{first, next}, leastShrink, true},
		{"too_late", 3 * time.Second, []measure{first, next}, leastShrink, false},
		{"apart_too_late", time.Minute, []measure{beside}, 1, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			part, fits := budget{end: now.Add(c.left)}.shrink(now, c.list)
			is.Equal(part, c.part)
			is.Equal(fits, c.fits)
		})
	}
	is := is.New(t)
	part, fits := budget{}.shrink(now, []measure{beside})
	is.True(part == 1 && fits)
}
