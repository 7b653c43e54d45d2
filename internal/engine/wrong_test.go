package engine_test

import (
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/rs/zerolog"

	"chervilspan.example/internal/engine"
	"chervilspan.example/internal/linktest"
	"chervilspan.example/pkg/access"
	"chervilspan.example/pkg/dbop"
)

// TestWrongStatements guards against sessions that take the processor and the log lines of
// others by unknown statements without a pause, and against a caller that is slowed for
// the statements that it had sent ahead when one failed.
func TestWrongStatements(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		log := &linktest.LogBuffer{}
		f := &fixture{index: access.NewKeyIndex(catalogue(1, "key"))}
		f.e = engine.New(engine.Config{Access: f, Limiter: f, Log: zerolog.New(log)})
		time.Sleep(time.Minute) // waits for the rate of a workspace are over

		s := f.open(t, "primary")
		start := time.Now()
		for range 2 {
			is.Equal(s.run(dbop.Begin).State, dbop.Open)
			for range 12 {
				is.Equal(s.run(0).Code, dbop.Malformed)
			}
			is.Equal(s.run(dbop.Rollback).Code, dbop.OK)
		}
		is.Equal(time.Since(start), time.Duration(0))

		const seconds, sessions = 5, 30
		end, before := time.Now().Add(seconds*time.Second), log.Count("request_refused")
		var answered atomic.Int64
		flooding := make([]*session, sessions)
		for i := range flooding {
			flooding[i] = f.open(t, "primary")
			go func() {
				for time.Now().Before(end) {
					flooding[i].run(0)
					answered.Add(1)
				}
				flooding[i].end()
			}()
		}
		for time.Now().Before(end) {
			is.Equal(s.run(dbop.Set).Code, dbop.OK)
			time.Sleep(10 * time.Millisecond)
		}
		time.Sleep(time.Second)
		s.end()
		is.True(answered.Load() <= sessions*(33+10*seconds))
		lines := log.Count("request_refused") - before
		is.True(lines > 0 && lines <= 10*seconds+1)
		is.True(strings.Contains(log.String(), `"count":`))
	})
}

// TestLongID guards against log lines as long as the longest message, by whose id a caller
// would fill the memory of the log's queue.
func TestLongID(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		log := &linktest.LogBuffer{}
		f := &fixture{index: access.NewKeyIndex(catalogue(1, "key"))}
		f.e = engine.New(engine.Config{Access: f, Limiter: f, Log: zerolog.New(log)})
		s := f.open(t, "primary")
		id := strings.Repeat("i", 1<<20)
		is.Equal(s.run(0, func(st *dbop.Statement) { st.ID = id }).Code, dbop.Malformed)
		s.end()
		is.Equal(log.Count("request_refused"), 1)
		is.True(len(log.String()) < 1<<10)
	})
}

// TestRefusedLogins guards against strangers who displace the log lines of others by
// logins with wrong keys.
func TestRefusedLogins(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		log := &linktest.LogBuffer{}
		f := &fixture{index: access.NewKeyIndex(catalogue(1, "key"))}
		f.e = engine.New(engine.Config{Access: f, Limiter: f, Log: zerolog.New(log)})
		const seconds = 5
		for range seconds * 1000 {
			_, refusal := f.e.Open(engine.Login{Route: "primary", Key: "wrong"}, newCaller())
			is.Equal(refusal.Code, dbop.BadKey)
			time.Sleep(time.Millisecond)
		}
		is.True(log.Count("login_refused") <= 10*seconds+1)
		is.True(strings.Contains(log.String(), `"count":100`))
	})
}
