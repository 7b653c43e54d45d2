package dbpool_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"chervilspan.example/internal/linktest"
	"chervilspan.example/pkg/dbop"
	"chervilspan.example/pkg/roster"
	"chervilspan.example/pkg/speed"
)

// TestLearnedTime guards against a time that includes more than the exchange with the
// database, against times learned while the VM did not run, and against the use of
// learned figures where that is switched off.
func TestLearnedTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		c := linktest.New("g", "a")
		p, m := pools(c, 2)
		learns := true
		p.Learns = func(*roster.Member) bool { return learns }
		read := dbop.Statement{Kind: dbop.Read, Text: "r", Scheduling: dbop.Scheduling{Class: "reports", MaxWait: time.Second}}
		run := func(took time.Duration, ticks bool) speed.Report {
			c.Update("a", func(d *linktest.DB) { d.Latency = took })
			conn, err := p.Get(in(time.Second), m, "w", 0)
			is.NoErr(err)
			defer conn.Release(true)
			time.Sleep(200 * time.Millisecond) // the statement waits for its turn
			for range 6 {
				if ticks {
					p.Tick(time.Now())
				}
				_, err = conn.Do(in(time.Second), read)
				is.NoErr(err)
			}
			r, _ := p.SpeedReport(m, conn)
			return r
		}
		r := run(20*time.Millisecond, true)
		is.Equal(r.Time, 20*time.Millisecond)
		is.Equal(r.Class, speed.ClassOf("reports"))
		is.Equal(r.Limit, 1.0)
		is.Equal(p.Estimate(m, "reports").Time.Round(time.Millisecond), 20*time.Millisecond)
		r = run(100*time.Millisecond, false)
		is.Equal(r.Time, 20*time.Millisecond) // the tick was overdue
		p.StopTicks()
		is.True(run(100*time.Millisecond, false).Time > 20*time.Millisecond)
		learns = false
		is.Equal(p.Estimate(m, "reports"), speed.Estimate{})
		is.Equal(p.SlotLimit(m), m.SlotCount())
	})
}

// TestRefusalHasNoTime guards against a database that looks fast because it refuses or
// fails statements at once, and against one without slow start after failures.
func TestRefusalHasNoTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		c := linktest.New("g", "a")
		p, m := pools(c, 2)
		p.Learns = func(*roster.Member) bool { return true }
		read := dbop.Statement{Kind: dbop.Read, Text: "r", Scheduling: dbop.Scheduling{Class: "reports", MaxWait: time.Second}}
		c.Update("a", func(d *linktest.DB) { d.Latency = time.Millisecond })
		conn, err := p.Get(in(time.Second), m, "w", 0)
		is.NoErr(err)
		for _, code := range []dbop.Code{dbop.Busy, dbop.Busy, dbop.Busy, dbop.Lagging, dbop.Lagging, dbop.Failed, dbop.Failed, dbop.Failed} {
			c.Update("a", func(d *linktest.DB) { d.AnswerCodes[dbop.Read] = []dbop.Code{code} })
			_, err = conn.Do(in(time.Second), read)
			is.NoErr(err)
		}
		_, ok := p.SpeedReport(m, conn)
		is.True(!ok)
		is.Equal(p.SlotLimit(m), 1)
	})
}
