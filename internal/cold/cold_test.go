package cold

import (
	"context"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/rs/zerolog"

	"chervilspan.example/pkg/catal"
	"chervilspan.example/pkg/ident"
	"chervilspan.example/pkg/roster"
	"chervilspan.example/pkg/warm"
)

// fixture is a Guard with a limiter that gives a token each interval.
type fixture struct {
	*Guard
	cat      *catal.Catalogue
	table    roster.Table
	log      strings.Builder
	interval time.Duration
}

func (f *fixture) Catalogue() *catal.Catalogue { return f.cat }

func newFixture(entry roster.Entry) *fixture {
	f := &fixture{interval: 20 * time.Millisecond, cat: &catal.Catalogue{Version: 1, Groups: map[ident.Group]catal.Group{
		"g": {WarmUp: catal.WarmUp{Rate: 10, Duration: 20 * time.Second}}, "free": {},
	}}}
	f.update(entry)
	f.Guard = New(Config{
		Tolerance: warm.Tolerance{Fraction: 1.5, Tokens: 5}, Catalogue: f, Roster: &f.table, Log: zerolog.New(&f.log),
		Admit: func(ctx context.Context, _ ident.Target) error {
			select {
			case <-ctx.Done():
				return ctx.Err()
			case <-time.After(f.interval):
				return nil
			}
		},
	})
	return f
}

func (f *fixture) update(e roster.Entry) *roster.Member {
	e.ID, e.Group, e.Slots = "a", "g", 4
	f.table.Update([]roster.Entry{e}, time.Now())
	return &roster.Member{Entry: e}
}

func soon() time.Time { return time.Now().Add(time.Second) }

// TestAdmit guards against statements to a cold database, or to one that this VM does
// not know, without a token; against a warm one, or a group without a limit, that needs
// tokens; and against all statements at once when a database becomes warm.
func TestAdmit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		e := roster.Entry{ProcessStart: 1, ColdLeft: 5 * time.Second}
		f := newFixture(e)
		took := func(m *roster.Member) time.Duration {
			start := time.Now()
			release, ok := f.Admit(soon(), m, false)
			is.True(ok)
			release()
			return time.Since(start)
		}
		is.Equal(f.Limits(f.cat)["a"].Burst, uint32(10))
		is.Equal(len(f.Limits(f.cat)), 1)
		m := f.update(e)
		is.Equal(took(m), f.interval)
		is.Equal(took(&roster.Member{Entry: roster.Entry{Group: "free"}}), time.Duration(0))
		is.Equal(took(&roster.Member{Entry: roster.Entry{ID: "a", Group: "g", ProcessStart: 2}}), f.interval)
		is.Equal(took(&roster.Member{Entry: roster.Entry{ID: "b", Group: "g"}}), f.interval)
		f.interval = 2 * time.Second
		_, ok := f.Admit(soon(), m, false)
		is.True(!ok)
		time.Sleep(4240 * time.Millisecond) // 300 ms after the database became warm
		is.True(f.Ramp(m) > 0 && f.Ramp(m) < 1)
		releases := 0
		for releases < 9 {
			if _, ok = f.Admit(soon(), m, false); !ok {
				break
			}
			releases++
		}
		is.True(releases >= 1 && releases < 4)
		time.Sleep(time.Second)
		is.Equal(took(m), time.Duration(0))
		f.Limits(f.cat)
		is.Equal(f.Ramp(&roster.Member{Entry: roster.Entry{ID: "a", Group: "g", ProcessStart: 2}}), 0.0)
		f.Closed(m)
		_, ok = f.Admit(soon(), m, false)
		is.True(!ok)
		f.Limits(f.cat)
		is.Equal(strings.Count(f.log.String(), `"target_cold"`), 2)
	})
}

// TestUrgentFirst guards against reads that take the tokens for which writes wait.
func TestUrgentFirst(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		e := roster.Entry{ProcessStart: 1, ColdLeft: 5 * time.Second}
		f := newFixture(e)
		m := f.update(e)
		var mu sync.Mutex
		var order []bool
		f.interval = 40 * time.Millisecond
		for i := range 8 {
			go func() {
				if _, ok := f.Admit(soon(), m, i >= 5); ok {
					mu.Lock()
					defer mu.Unlock()
					order = append(order, i >= 5)
				}
			}()
			time.Sleep(time.Millisecond)
		}
		time.Sleep(time.Second)
		is.Equal(order, []bool{false, true, true, true}) // the others do not get their turn in time
		is.Equal(f.admissions["a"].queue.Len(), 0)
	})
}

// TestInvalid guards against a log line at each read of an unusable value, and against
// a guard without settings that limits something.
func TestInvalid(t *testing.T) {
	is := is.New(t)
	f := newFixture(roster.Entry{ProcessStart: 1, ColdUnknown: true, ColdInvalid: true})
	f.cat.Groups["bad"] = catal.Group{WarmUp: catal.WarmUp{Invalid: "ColdPerS"}}
	for range 3 {
		f.Limits(f.cat)
	}
	is.Equal(strings.Count(f.log.String(), `"cold_invalid"`), 2)
	is.True(New(Config{}) == nil)
	is.Equal((*Guard)(nil).Ramp(&roster.Member{}), 1.0)
}
