package uptime

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestNow guards against a clock that goes backwards or stands still.
func TestNow(t *testing.T) {
	is := is.New(t)
	a := Now()
	time.Sleep(2 * time.Millisecond)
	b := Now()
	is.True(b.Sub(a) >= time.Millisecond)
	is.True(!a.IsZero())
}
