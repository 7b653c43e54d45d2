package node

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"chervilspan.example/internal/dbpool"
)

// TestSpeedChanged guards against a log line for each small change of a database's
// speed, and against changes that are not logged.
func TestSpeedChanged(t *testing.T) {
	is := is.New(t)
	var r speedReport
	s := dbpool.Speed{Target: "a", Time: 20 * time.Millisecond, Limit: 4, Slots: 4}
	is.True(!r.changed(s))
	s.Time = 35 * time.Millisecond
	is.True(!r.changed(s))
	s.Time = 45 * time.Millisecond
	is.True(r.changed(s))
	is.True(!r.changed(s))
	s.Limit = 2
	is.True(r.changed(s))
	s.Time, s.Age = 20*time.Millisecond, 3*time.Second
	is.True(!r.changed(s))
}
