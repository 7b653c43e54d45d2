package warm

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"chervilspan.example/pkg/ident"
)

var (
	epoch = time.Unix(1000, 0)
	rule  = Rule{Rate: 10, Duration: 20 * time.Second}
)

func at(d time.Duration) time.Time { return epoch.Add(d) }

// TestLimit guards against a bucket that allows more than the tolerance in a second,
// and against one that wastes the rate of the database.
func TestLimit(t *testing.T) {
	is := is.New(t)
	times := Lifetimes{Grant: 400 * time.Millisecond, Permit: 100 * time.Millisecond}
	x := Tolerance{Fraction: 1.5, Tokens: 5}
	l := x.Limit(20, times)
	is.Equal(l.Rate, 20.0)
	is.Equal(l.Burst, uint32(5))
	is.Equal(Tolerance{}.Limit(20, times).Burst, uint32(0))
	is.Equal(x.Limit(-1, times).Burst, uint32(0))
	rapid.Check(t, func(t *rapid.T) {
		x := Tolerance{rapid.Float64Range(0.01, 4).Draw(t, "fraction"), rapid.Float64Range(0, 20).Draw(t, "tokens")}
		rate := rapid.Float64Range(0.1, 500).Draw(t, "rate")
		l := x.Limit(rate, times)
		if l.Rate*1.5+float64(l.Burst) > x.Fraction*rate+x.Tokens+1e-9 || l.Rate > rate || l.Rate < 0 {
			t.Fatalf("%+v for the rate %v and %+v", l, rate, x)
		}
	})
}

// TestCold guards against a database that is taken for warm too early: before the time
// of its report, or before the time after its start when it reports none.
func TestCold(t *testing.T) {
	is := is.New(t)
	wall := time.UnixMilli(50_000)
	for _, c := range []struct {
		r    Report
		cold time.Duration
	}{
		{Report{Start: 49_000, Left: 3 * time.Second}, 3 * time.Second},
		{Report{Start: 49_000}, 0},
		{Report{Start: 49_000, Unknown: true}, 19 * time.Second},
		{Report{Start: 1_000, Unknown: true}, 0},
		{Report{Unknown: true}, 20 * time.Second},
		{Report{Start: 90_000, Unknown: true}, 20 * time.Second}, // this VM's clock is slow
	} {
		var tab Table
		is.True(tab.Cold("a", epoch))
		is.Equal(tab.Observe("a", c.r, rule, epoch, wall), c.cold > 0)
		is.Equal(tab.Left("a", epoch), c.cold)
		is.True(c.cold == 0 || tab.Cold("a", at(c.cold-1)))
		is.True(!tab.Cold("a", at(c.cold)))
	}
}

// TestLaterReport guards against a repeated or older report that makes a database cold
// again or warm, and against a restarted database that keeps the state of the former
// process.
func TestLaterReport(t *testing.T) {
	is := is.New(t)
	var tab Table
	cold := Report{Start: 1, Sequence: 5, Left: 4 * time.Second}
	tab.Observe("a", cold, rule, epoch, epoch)
	is.True(!tab.Observe("a", cold, rule, at(3*time.Second), epoch))
	is.True(!tab.Observe("a", Report{Start: 1, Sequence: 4}, rule, epoch, epoch))
	is.True(!tab.Cold("a", at(4*time.Second)))
	is.True(tab.Observe("a", Report{Start: 2, Sequence: 1, Left: time.Second}, rule, at(9*time.Second), epoch))
	is.True(tab.Observe("a", Report{Start: 2, Sequence: 2}, rule, at(9*time.Second), epoch))
	is.True(!tab.Cold("a", at(9*time.Second)))
	tab.Retain(func(id ident.Target) bool { return id != "a" })
	is.True(tab.Cold("a", at(9*time.Second)))
}

// TestDoubt guards against a database that was restarted and gets the full load
// because its former process had reported that it is warm.
func TestDoubt(t *testing.T) {
	is := is.New(t)
	var tab Table
	tab.Observe("a", Report{Start: 1, Sequence: 5}, rule, epoch, epoch)
	tab.Doubt("a", Rule{}, epoch)
	is.True(!tab.Cold("a", epoch))
	tab.Doubt("a", rule, epoch)
	tab.Observe("a", Report{Start: 1, Sequence: 6}, rule, at(time.Second), epoch) // written by the former process
	is.True(tab.Cold("a", at(time.Second)))
	tab.Observe("a", Report{Start: 1, Sequence: 6}, rule, at(DoubtTime), epoch)
	is.True(!tab.Cold("a", at(DoubtTime)))
	tab.Doubt("a", rule, at(10*time.Second))
	is.True(tab.Cold("a", at(29*time.Second)))
	is.True(!tab.Cold("a", at(30*time.Second)))
}

// TestRamp guards against a database that gets all requests in the moment in which it
// becomes warm, and against one that was always warm and gets a part only.
func TestRamp(t *testing.T) {
	is := is.New(t)
	var tab Table
	tab.Observe("w", Report{Start: 1}, rule, epoch, epoch)
	tab.Observe("a", Report{Start: 1, Left: time.Second}, rule, epoch, epoch)
	is.Equal(tab.Ramp("w", epoch), 1.0)
	for d, want := range map[time.Duration]float64{0: 0, time.Second: 0, 1500 * time.Millisecond: 0.5, 3 * time.Second: 1} {
		is.Equal(tab.Ramp("a", at(d)), want)
	}
	is.Equal(RampSlots(0, 5), 1)
	is.Equal(RampSlots(0.5, 5), 2)
	is.Equal(RampSlots(1, 5), 5)
}

// TestQueue guards against a read that takes a cold primary's token before a write.
func TestQueue(t *testing.T) {
	is := is.New(t)
	var q Queue
	r1, r2, w := q.Enter(false), q.Enter(false), q.Enter(true)
	for _, want := range []Ticket{w, r1, r2} {
		got, ok := q.First()
		is.True(ok)
		is.Equal(got, want)
		q.Leave(got)
	}
	is.Equal(q.Len(), 0)
	_, ok := q.First()
	is.True(!ok)
}
