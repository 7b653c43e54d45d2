package speed

import (
	"time"

	"chervilspan.example/pkg/ident"
)

const (
	// maxClasses is the number of classes that a Model or View keeps. A further one
	// replaces the one not seen for longest in a Model, and all in a View.
	maxClasses = 8
	// timeDivisor is the inverse of the weight of a new time. With 20 answers a
	// second, 93% of a change is followed within a second.
	timeDivisor = 8
	// referenceDivisor is the same for the reference of concurrencies.
	referenceDivisor = 64
	// shiftRatio is the ratio of the two means from which times have changed at all
	// concurrencies. The reference then follows at once; older and newer times could
	// not be compared otherwise.
	shiftRatio = 3
	// maxTimeRatio and minTimeRatio limit a time relative to the estimate. A tail of
	// seven times the mean at 3% of the statements then raises the estimate by less
	// than 5%.
	maxTimeRatio = 2.5
	minTimeRatio = 1.0 / 8
	// minReports is the number of answers of a class from which its time is known.
	minReports = 4
	// rampFailures is the number of successive failures after which the limit starts
	// again from one.
	rampFailures = 3
)

// Class identifies a class of statements in a few bytes. 0 means no class.
type Class uint16

// ClassOf returns the Class of a name. Two names may have the same Class, whose
// times are then learned as of one; the 14 bits make that rare for the few classes
// of a deployment.
func ClassOf(name ident.Class) Class {
	h := uint32(2166136261) // FNV-1a
	for i := range len(name) {
		h = (h ^ uint32(name[i])) * 16777619
	}
	return Class((h^h>>14)&0x3fff | 1)
}

// Outcome is how a statement ended.
type Outcome uint8

// Outcomes of statements.
const (
	// Answered means that the statement ran.
	Answered Outcome = iota
	// Refused means that the database did not run it, for example because it was
	// busy.
	Refused
	// Failed means that it failed by a fault of the database.
	Failed
	// Lost means that no answer came before the deadline.
	Lost
)

// Answer is what the holder of a connection learns from one statement.
type Answer struct {
	Class Class
	// Took is the time from sending the statement to its answer.
	Took time.Duration
	// InProgress is the number of statements of this VM that were in progress at the
	// database when this one was sent, including this one.
	InProgress int
	Outcome    Outcome
	// Stalled is set when the VM itself did not run for part of the time.
	Stalled bool
}

// classTime is the time of one class, in nanoseconds.
type classTime struct {
	class Class
	mean  float64
	// reference is a mean over more answers, with which the times at different
	// concurrencies are compared. The other mean would follow each of them.
	reference float64
	count     int
	at        time.Time
}

// Model is what the holder of connections to one database has learned about it.
type Model struct {
	classes [maxClasses]classTime
	levels  levels
	// Failures estimates the failure rate.
	Failures Failures
	// failedInRow counts the failures since the last success.
	failedInRow int
	// ramp, unless 0, is the limit during the slow start after failures.
	ramp int
}

// Record learns from an answer.
func (m *Model) Record(a Answer, now time.Time) {
	switch a.Outcome {
	case Answered:
		m.failedInRow = 0
		if m.ramp > 0 {
			m.ramp++
		}
	case Refused:
		return
	default:
		if m.failedInRow++; m.failedInRow >= rampFailures {
			m.ramp = 1
		}
		return
	}
	if a.Class == 0 || a.Stalled || a.Took <= 0 {
		return
	}
	c := m.classOf(a.Class)
	took := float64(a.Took)
	if c.count >= minReports {
		m.levels.record(a.InProgress, took/c.reference, now)
		took = min(max(took, c.mean*minTimeRatio), c.mean*maxTimeRatio)
	}
	c.count = min(c.count+1, referenceDivisor)
	c.mean += (took - c.mean) / float64(min(c.count, timeDivisor))
	c.reference += (took - c.reference) / float64(c.count)
	c.at = now
	if r := c.mean / c.reference; r > shiftRatio || r < 1.0/shiftRatio {
		c.reference, c.count = c.mean, timeDivisor
	}
}

// classOf returns the entry of a class. A new class replaces the one not seen for
// longest when there is no space.
func (m *Model) classOf(class Class) *classTime {
	oldest := &m.classes[0]
	for i := range m.classes {
		c := &m.classes[i]
		if c.class == class {
			return c
		}
		if c.at.Before(oldest.at) {
			oldest = c
		}
	}
	*oldest = classTime{class: class}
	return oldest
}

// Time returns the learned time of a class and its age. ok is false while it is
// not known.
func (m *Model) Time(class Class, now time.Time) (t, age time.Duration, ok bool) {
	for i := range m.classes {
		if c := &m.classes[i]; class != 0 && c.class == class && c.count >= minReports {
			return time.Duration(c.mean), now.Sub(c.at), true
		}
	}
	return 0, 0, false
}

// Age returns the time since the last answer from which a time was learned. ok is
// false while there is none.
func (m *Model) Age(now time.Time) (age time.Duration, ok bool) {
	var at time.Time
	for i := range m.classes {
		if m.classes[i].at.After(at) {
			at = m.classes[i].at
		}
	}
	return now.Sub(at), !at.IsZero()
}

// Limit returns how many statements the database handles well at a time: at least
// one, and at most its slots.
func (m *Model) Limit(slots int, now time.Time) int {
	slots = max(slots, 1)
	limit := m.levels.limit(slots, now)
	if m.ramp >= slots {
		m.ramp = 0
	}
	if m.ramp > 0 {
		limit = min(limit, m.ramp)
	}
	return max(limit, 1)
}

// Report returns what the Model knows about a database, for the View of a VM. ok is
// false when there is nothing to report.
func (m *Model) Report(class Class, slots int, now time.Time) (r Report, ok bool) {
	t, age, ok := m.Time(class, now)
	if !ok || age > forgetAfter {
		return Report{}, false
	}
	return Report{Class: class, Time: t, Age: age, Limit: float64(m.Limit(slots, now)) / float64(max(slots, 1))}, true
}
