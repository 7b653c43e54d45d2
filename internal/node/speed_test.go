package node

import (
	"encoding/json"
	"testing"
	"time"

	"github.com/matryer/is"

	"chervilspan.example/internal/dbpool"
	"chervilspan.example/pkg/roster"
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

// TestLearnSpeedSetting guards against learned speed that can't be switched off, and
// against a missing setting that counts as false.
func TestLearnSpeedSetting(t *testing.T) {
	is := is.New(t)
	for _, on := range []bool{true, false} {
		n := &Node{settings: &Settings{LearnSpeed: &on}}
		is.Equal(n.learnsSpeed(&roster.Member{}), on)
	}
	var s Settings
	is.NoErr(json.Unmarshal([]byte(`{"vm": "a"}`), &s))
	is.True(s.LearnSpeed == nil)
	is.NoErr(json.Unmarshal([]byte(`{"learn_speed": false}`), &s))
	is.True(!*s.LearnSpeed)
}
