package speed_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"chervilspan.example/pkg/ident"
	"chervilspan.example/pkg/speed"
)

// load answers statements at a concurrency that varies between one and slots, one each
// interval. factor slows statements down by concurrency. It returns the mean limit.
func load(m *speed.Model, now *time.Time, rnd *rand.Rand, slots, count int, interval time.Duration, factor func(n int) float64) float64 {
	sum := 0
	n := 1
	for range count {
		n = min(max(n+rnd.IntN(3)-1, 1), m.Limit(slots, *now))
		// Times vary like those of statements with a long tail.
		took := time.Duration(rnd.ExpFloat64()*10e6) + 10*time.Millisecond
		if rnd.Float64() < 0.03 {
			took = 140 * time.Millisecond
		}
		*now = now.Add(interval)
		m.Record(speed.Answer{Class: 1, Took: time.Duration(float64(took) * factor(n)), InProgress: n}, *now)
		sum += m.Limit(slots, *now)
	}
	return float64(sum) / float64(count)
}

func even(int) float64 { return 1 }

// TestHealthyIsNotLimited guards against a limit below the slots of a database whose
// times don't depend on concurrency, which would leave slots unused.
func TestHealthyIsNotLimited(t *testing.T) {
	for slots := 3; slots <= 6; slots++ {
		is := is.New(t)
		now := time.Unix(1000, 0)
		var m speed.Model
		rnd := rand.New(rand.NewPCG(uint64(slots), 0))
		mean := load(&m, &now, rnd, slots, 20_000, 10*time.Millisecond, even)
		t.Logf("%d slots: mean limit %.3f", slots, mean)
		is.True(mean > float64(slots)*0.98)
		least := 1.0
		// Slowdowns that affect all concurrencies alike come and go.
		for i := range 40 {
			slow := []float64{1, 5, 1, 5, 1, 5, 1, 5, 1, 2, 1, 2.5}[i%12]
			mean = load(&m, &now, rnd, slots, 300, 10*time.Millisecond, func(int) float64 { return slow })
			least = min(least, mean/float64(slots))
		}
		t.Logf("%d slots: least limit %.2f", slots, least)
		is.True(least > 0.9)
	}
}

// TestLimit guards against a queue that runs more statements at a time than a database
// handles well, and against a limit that stays when the database has recovered.
func TestLimit(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	var m speed.Model
	rnd := rand.New(rand.NewPCG(1, 0))
	half := func(n int) float64 {
		if n > 3 {
			return 3
		}
		return 1
	}
	load(&m, &now, rnd, 6, 200, 10*time.Millisecond, half)
	mean := load(&m, &now, rnd, 6, 3000, 10*time.Millisecond, half)
	t.Logf("mean limit %.2f", mean)
	is.True(mean < 4.2)
	load(&m, &now, rnd, 6, 600, 10*time.Millisecond, even)
	is.True(load(&m, &now, rnd, 6, 600, 10*time.Millisecond, even) > 5.5)
}

// TestSlowStart guards against a burst at a database that has just answered again, and
// against a limit that stays low after single failures.
func TestSlowStart(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	var m speed.Model
	m.Record(speed.Answer{Class: 1, Outcome: speed.Failed, InProgress: 1}, now)
	for range 5 {
		m.Record(speed.Answer{Class: 1, Outcome: speed.Refused, InProgress: 1}, now)
	}
	is.Equal(m.Limit(4, now), 4)
	for range 5 {
		m.Record(speed.Answer{Class: 1, Outcome: speed.Lost, InProgress: 1}, now)
	}
	is.Equal(m.Limit(4, now), 1)
	for i := range 4 {
		is.Equal(m.Limit(4, now), i+1)
		m.Record(speed.Answer{Class: 1, Took: time.Millisecond, InProgress: 1}, now)
	}
	is.Equal(m.Limit(4, now), 4)
}

// TestTime guards against a time that follows tails, lost answers, failures, refusals or
// stalls of the VM, and against one that follows a change by more than a second late.
func TestTime(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	var m speed.Model
	rnd := rand.New(rand.NewPCG(1, 0))
	second := func(mean time.Duration) time.Duration {
		for i := range 20 {
			now = now.Add(50 * time.Millisecond)
			took := time.Duration((0.75 + 0.5*rnd.Float64()) * float64(mean))
			m.Record(speed.Answer{Class: 1, Took: took, InProgress: 1}, now)
			switch i {
			case 3:
				m.Record(speed.Answer{Class: 1, Took: 7 * mean, InProgress: 1}, now)
			case 6:
				m.Record(speed.Answer{Class: 1, Took: time.Second, Outcome: speed.Lost}, now)
				m.Record(speed.Answer{Class: 1, Took: time.Second, Stalled: true}, now)
			case 9:
				m.Record(speed.Answer{Class: 1, Took: time.Microsecond, Outcome: speed.Failed}, now)
			default:
				m.Record(speed.Answer{Class: 1, Took: time.Microsecond, Outcome: speed.Refused}, now)
			}
		}
		d, age, ok := m.Time(1, now)
		is.True(ok)
		is.Equal(age, time.Duration(0))
		return d
	}
	for _, mean := range []time.Duration{20, 20, 100, 20, 40, 20, 5} {
		d := second(mean * time.Millisecond)
		t.Logf("mean %d ms: %v", mean, d)
		is.True(d > mean*time.Millisecond*3/4 && d < mean*time.Millisecond*3/2)
	}
	_, _, ok := m.Time(2, now)
	is.True(!ok)
}

// TestView guards against one class that makes a database look slow, against a database
// that is avoided for long without new reports, and against implausible reports.
func TestView(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	var v speed.View
	report := func(id string, class speed.Class, d time.Duration) {
		v.Record(ident.Target(id), speed.Report{Class: class, Time: d, Limit: 1}, now)
	}
	for range 10 {
		now = now.Add(20 * time.Millisecond)
		report("a", 1, 5*time.Millisecond)
		report("b", 2, 40*time.Millisecond)
		report("a", 2, 40*time.Millisecond)
		report("b", 1, 5*time.Millisecond)
	}
	is.Equal(v.Estimate("a", 1, now).Factor, 1.0)
	is.Equal(v.Estimate("b", 1, now).Factor, 1.0)
	report("b", 2, 160*time.Millisecond)
	report("b", 2, 160*time.Millisecond)
	e := v.Estimate("b", 1, now)
	is.True(e.Factor > 2.5)
	is.True(e.Time > 12*time.Millisecond)
	is.Equal(v.Estimate("a", 1, now).Factor, 1.0)
	report("b", 1, -time.Second)
	report("b", 1, time.Hour)
	report("b", 0, time.Millisecond)
	is.Equal(v.Estimate("b", 1, now), e)
	is.Equal(v.Estimate("b", 1, now.Add(3*time.Second)).Factor, 1.0)
	is.Equal(v.Estimate("c", 3, now).Time, time.Duration(0))
	is.Equal(v.Estimate("c", 3, now).Factor, 1.0)
}

// TestTwoLenders guards against a lender that reports wrong times for a database when
// another one reports right ones, and against an older report that replaces a newer one.
func TestTwoLenders(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	var v speed.View
	report := func(d, age time.Duration) {
		v.Record("a", speed.Report{Class: 1, Time: d, Age: age, Limit: 1}, now)
	}
	for range 20 {
		now = now.Add(20 * time.Millisecond)
		v.Record("b", speed.Report{Class: 1, Time: 20 * time.Millisecond, Limit: 1}, now)
		report(80*time.Millisecond, 100*time.Millisecond)
		report(20*time.Millisecond, 0)
	}
	is.True(v.Estimate("a", 1, now).Factor < 1.5)
	now = now.Add(100 * time.Millisecond)
	report(20*time.Millisecond, 0)
	report(80*time.Millisecond, time.Second) // from a lender that has no new answers
	is.Equal(v.Estimate("a", 1, now).Factor, 1.0)
}

// TestStalls guards against times that include a pause of the VM, also when the ticker
// runs after who asks.
func TestStalls(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	var s speed.Stalls
	is.True(!s.Since(now, now.Add(time.Hour))) // nothing ticks
	s.Tick(now)
	s.Tick(now.Add(20 * time.Millisecond))
	is.True(!s.Since(now, now.Add(40*time.Millisecond)))
	is.True(s.Since(now, now.Add(90*time.Millisecond)))
	s.Tick(now.Add(100 * time.Millisecond))
	is.True(s.Since(now.Add(50*time.Millisecond), now.Add(101*time.Millisecond)))
	is.True(!s.Since(now.Add(100*time.Millisecond), now.Add(101*time.Millisecond)))
}

// BenchmarkRecord measures what a statement costs the holder of connections.
func BenchmarkRecord(b *testing.B) {
	var m speed.Model
	var v speed.View
	now := time.Unix(1000, 0)
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		now = now.Add(time.Millisecond)
		m.Record(speed.Answer{Class: 1, Took: time.Duration(15+i%10) * time.Millisecond, InProgress: 1 + i%5}, now)
		if r, ok := m.Report(1, 5, now); ok {
			v.Record("a", r, now)
		}
	}
}

// BenchmarkEstimate measures what each database costs a read that chooses among them.
func BenchmarkEstimate(b *testing.B) {
	var v speed.View
	now := time.Unix(1000, 0)
	v.Record("a", speed.Report{Class: 1, Time: 20 * time.Millisecond, Limit: 1}, now)
	b.ReportAllocs()
	for b.Loop() {
		v.Estimate("a", speed.ClassOf("reports"), now)
	}
}
