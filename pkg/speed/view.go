package speed

import (
	"math"
	"time"

	"chervilspan.example/pkg/ident"
)

const (
	// trustFor is how long a report counts in full, and forgetAfter when it no longer
	// counts. In between its weight falls linearly. A database that is avoided is
	// thereby tried again within the three seconds that a return may take.
	trustFor    = time.Second
	forgetAfter = 3 * time.Second
	// classDivisor is the inverse of the least weight of a report in the time of its
	// class over all databases. The weight is small, so that a database that becomes slow
	// differs from the others instead of moving what they are compared with.
	classDivisor = 64
	// factorWeight is the weight of a report in the factor of its database. Reports
	// are averages already.
	factorWeight = 0.7
	// tolerance is the logarithm of a factor that counts as no difference; it is the
	// noise of a mean of a few statements.
	tolerance = 0.2
	// minFactor and maxFactor are the limits of the logarithm of a factor. A wrong
	// figure can't make a database more attractive than one that is twice as fast.
	minFactor = -math.Ln2
	maxFactor = 3
	// minTime and maxTime are the plausible times of a report.
	minTime = 50 * time.Microsecond
	maxTime = 10 * time.Second
	// minLimit is the least plausible limit of a report, as a fraction of the slots.
	minLimit = 0.05
)

// Report is what a Model knows about a database.
type Report struct {
	// Time is the service time of the class, Age the time since the last answer of it.
	Class     Class
	Time, Age time.Duration
	// Limit is the concurrency limit, as a fraction of the slots.
	Limit float64
}

// Estimate is what a View expects of a statement at a database. Its zero value
// means that nothing is known.
type Estimate struct {
	// Time is the service time of the statement, Typical that of a statement at a
	// database of average speed, of any class. Both are 0 when not known.
	Time, Typical time.Duration
	// Factor is the time at the database relative to an average one; 1 when not known.
	Factor float64
	// Limit is the concurrency limit as a fraction of the slots; 1 when not known.
	Limit float64
	// FailureRate is the fraction of this VM's own recent statements that failed.
	FailureRate float64
}

// viewTarget is what is known of a database; factor is a natural logarithm.
type viewTarget struct {
	factor, limit float64
	at            time.Time
	// failures are those that this VM saw itself.
	failures Failures
}

// viewClass is the logarithm of a time in nanoseconds, the average over the reports.
type viewClass struct {
	logTime float64
	count   int
}

// View is what one VM expects of all databases.
type View struct {
	classes map[Class]viewClass
	targets map[ident.Target]viewTarget
	// typical is the mean time over all classes, in nanoseconds.
	typical float64
}

// Record learns from a report that arrived now. Implausible ones are ignored.
func (v *View) Record(id ident.Target, r Report, now time.Time) {
	if r.Class == 0 || r.Time < minTime || r.Time > maxTime || r.Age < 0 || r.Age > forgetAfter {
		return
	}
	v.init()
	t := v.targets[id]
	at := now.Add(-r.Age)
	if at.Before(t.at) {
		return // older than what is known
	}
	logTime := math.Log(float64(r.Time))
	class, ok := v.classes[r.Class]
	if !ok {
		if len(v.classes) >= maxClasses {
			clear(v.classes) // some may be of a former configuration
		}
		class.logTime = logTime - v.factor(t, now)
	}
	old := v.factor(t, now)
	t.factor = min(max(old+factorWeight*(logTime-class.logTime-old), minFactor), maxFactor)
	t.limit, t.at = 1, at
	if r.Limit >= minLimit && r.Limit < 1 {
		t.limit = r.Limit
	}
	v.targets[id] = t
	class.count = min(class.count+1, classDivisor)
	class.logTime += (logTime - class.logTime) / float64(class.count)
	v.classes[r.Class] = class
	average := float64(r.Time) / math.Exp(t.factor)
	if v.typical == 0 {
		v.typical = average
	}
	v.typical += (average - v.typical) / classDivisor
}

func (v *View) init() {
	if v.targets == nil {
		v.targets, v.classes = map[ident.Target]viewTarget{}, map[Class]viewClass{}
	}
}

// RecordResult counts whether a statement that this VM sent failed by a fault of the
// database or of the path to it.
func (v *View) RecordResult(id ident.Target, failed bool, now time.Time) {
	v.init()
	t := v.targets[id]
	t.failures.Record(failed, now)
	v.targets[id] = t
}

// weight returns how much a report of the given age counts.
func weight(age time.Duration) float64 {
	return min(max(float64(forgetAfter-age)/float64(forgetAfter-trustFor), 0), 1)
}

// factor returns the logarithm of a database's factor at a time.
func (v *View) factor(t viewTarget, now time.Time) float64 { return t.factor * weight(now.Sub(t.at)) }

// Estimate returns what a statement of a class takes at a database.
func (v *View) Estimate(id ident.Target, class Class, now time.Time) Estimate {
	e := Estimate{Factor: 1, Limit: 1}
	t, ok := v.targets[id]
	if ok {
		w := weight(now.Sub(t.at))
		e.FailureRate = t.failures.Rate(now)
		if t.limit > 0 {
			e.Limit = 1 - w*(1-t.limit)
		}
		switch f := t.factor * w; {
		case f > tolerance:
			e.Factor = math.Exp(f - tolerance)
		case f < -tolerance:
			e.Factor = math.Exp(f + tolerance)
		}
	}
	e.Typical = time.Duration(v.typical)
	if c, ok := v.classes[class]; ok {
		e.Time = time.Duration(math.Exp(c.logTime) * e.Factor)
	}
	return e
}

// Sweep drops the databases of which nothing was heard for longer than forgetAfter.
func (v *View) Sweep(now time.Time) {
	for id, t := range v.targets {
		if now.Sub(t.at) > forgetAfter && now.Sub(t.failures.updatedAt) > forgetAfter {
			delete(v.targets, id)
		}
	}
}
