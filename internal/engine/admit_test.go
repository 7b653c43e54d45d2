package engine

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestAdmitTimeout guards against a refusal for the rate that comes later than a quarter
// of the latency objective, and against one that comes before tokens of another region
// can arrive.
func TestAdmitTimeout(t *testing.T) {
	is := is.New(t)
	for objective, want := range map[time.Duration]time.Duration{
		0:                      minAdmitTimeout,
		400 * time.Millisecond: minAdmitTimeout,
		time.Second:            250 * time.Millisecond,
		4 * time.Second:        maxAdmitTimeout,
	} {
		s := &Session{}
		s.auth.LatencyObjective = objective
		is.Equal(s.admitTimeout(), want)
	}
}
