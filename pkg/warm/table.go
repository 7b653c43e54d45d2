package warm

import (
	"time"

	"chervilspan.example/pkg/ident"
)

// RampTime is the time over which the requests of a VM to a database that has become
// warm grow to what they would be without a limit.
const RampTime = time.Second

// DoubtTime is how long after a database closed a connection its reports may still be
// those of a process that has ended. It exceeds the age of the list of databases.
const DoubtTime = 3500 * time.Millisecond

// Rule is the limit of a group's cold databases.
type Rule struct {
	// Rate is in requests per second to one database; 0 means no limit.
	Rate float64
	// Duration is how long after its start a database counts as cold unless its
	// report says otherwise.
	Duration time.Duration
}

// Report is what a database tells about itself.
type Report struct {
	// Start is when the database's process was started, in milliseconds of the wall
	// clock since the Unix epoch; 0 if it is not known. Sequence orders the reports
	// of one process.
	Start, Sequence int64
	// Left is for how long after the report the database is cold. Unknown is set
	// when the report does not tell it.
	Left    time.Duration
	Unknown bool
}

// state is what a VM knows of one database.
type state struct {
	start, sequence int64
	// warmAt is the time from which the database is warm; the zero time means that
	// it has been warm since before it was first seen.
	warmAt time.Time
	// doubtedUntil is until when further reports of the process prove nothing: they may
	// have been written before it ended.
	doubtedUntil time.Time
}

// Table knows which databases are cold. The zero Table knows none.
type Table struct {
	states map[ident.Target]*state
}

// Observe processes the latest known report of a database. wall is the time of the wall
// clock. A report that was processed before changes nothing. It reports whether the
// database has become cold or, before the end of its time, warm.
func (t *Table) Observe(id ident.Target, r Report, rule Rule, now, wall time.Time) bool {
	s := t.states[id]
	if s != nil && s.start == r.Start && (s.sequence >= r.Sequence || now.Before(s.doubtedUntil)) {
		return false
	}
	wasCold := s != nil && now.Before(s.warmAt)
	if s == nil {
		s = &state{}
		if t.states == nil {
			t.states = map[ident.Target]*state{}
		}
		t.states[id] = s
	}
	s.start, s.sequence, s.doubtedUntil = r.Start, r.Sequence, time.Time{}
	left := r.Left
	if r.Unknown {
		left = remaining(r.Start, rule.Duration, wall)
	}
	switch {
	case left > 0:
		// The report is older than now, so this is no sooner than the database says.
		s.warmAt = now.Add(left)
	case wasCold:
		s.warmAt = now
	}
	return wasCold != now.Before(s.warmAt)
}

// remaining returns the rest of the time for which a database is cold after its start.
// A start that is unknown, or in the future by this VM's clock, counts as now.
func remaining(start int64, d time.Duration, wall time.Time) time.Duration {
	if start <= 0 {
		return d
	}
	return min(max(d-wall.Sub(time.UnixMilli(start)), 0), d)
}

// Doubt records that a database closed a connection at now, so that it may have been
// restarted: it counts as cold for the rule's duration, or until a later report.
func (t *Table) Doubt(id ident.Target, rule Rule, now time.Time) {
	s := t.states[id]
	if s == nil || rule.Rate <= 0 || now.Before(s.warmAt) {
		return
	}
	s.doubtedUntil, s.warmAt = now.Add(DoubtTime), now.Add(rule.Duration)
}

// Cold reports whether a database may be cold at now. One that is not known counts as
// cold.
func (t *Table) Cold(id ident.Target, now time.Time) bool {
	s := t.states[id]
	return s == nil || now.Before(s.warmAt)
}

// Left returns for how long after now a database counts as cold.
func (t *Table) Left(id ident.Target, now time.Time) time.Duration {
	if s := t.states[id]; s != nil {
		return max(s.warmAt.Sub(now), 0)
	}
	return 0
}

// Ramp returns the part of its requests that a VM may send to a database at now: 0
// while it is cold, then growing over RampTime to 1.
func (t *Table) Ramp(id ident.Target, now time.Time) float64 {
	s := t.states[id]
	switch {
	case s == nil || now.Before(s.warmAt):
		return 0
	case s.warmAt.IsZero():
		return 1
	}
	return min(1, now.Sub(s.warmAt).Seconds()/RampTime.Seconds())
}

// Retain forgets the databases for which keep returns false.
func (t *Table) Retain(keep func(ident.Target) bool) {
	for id := range t.states {
		if !keep(id) {
			delete(t.states, id)
		}
	}
}

// RampSlots returns how many statements a VM may have in progress at a database of
// which it may use the given part.
func RampSlots(ramp float64, slots int) int {
	return max(1, int(ramp*float64(slots)))
}
