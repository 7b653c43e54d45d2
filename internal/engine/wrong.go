package engine

import (
	"runtime"
	"time"

	"chervilspan.example/internal/evlog"
	"chervilspan.example/pkg/dbop"
)

const (
	// maxWrongInRow is how many statements in a row may be wrong before the session is
	// slowed: more than the 12 of a transaction that a caller may have sent ahead.
	maxWrongInRow = 32
	// wrongDelay is the delay after each further wrong statement.
	wrongDelay = 100 * time.Millisecond
	// wrongLogInterval is the shortest time between two log lines about wrong statements
	// of all sessions, and between two about refused logins: a quarter each of the lines
	// of information that a VM writes.
	wrongLogInterval = 100 * time.Millisecond
)

// wrongStatements counts the statements of a session that no database could run, such as
// unknown ones.
type wrongStatements struct {
	// inRow is the number of the latest statements that were wrong.
	inRow int
	// unlogged is the number since the last log line, at loggedAt.
	unlogged int
	loggedAt time.Time
}

// isWrong reports whether an answer says that the caller's statement is wrong, without a
// database.
func isWrong(a *dbop.Answer, offered bool) bool {
	return !offered && (a.Code == dbop.Malformed || a.Code == dbop.NoStatement || a.Code == dbop.TooLarge)
}

// toLog counts a wrong statement. It returns the number to log, 0 for no line: a session
// has one line in evlog.LineInterval, all sessions have one in wrongLogInterval.
func (w *wrongStatements) toLog(all *evlog.Limiter, now time.Time) int {
	w.unlogged++
	if now.Sub(w.loggedAt) < evlog.LineInterval || all.Add(now) == 0 {
		return 0
	}
	n := w.unlogged
	w.unlogged, w.loggedAt = 0, now
	return n
}

// answered counts an answer and returns how long the session waits before it receives the
// next message.
func (w *wrongStatements) answered(wrong bool) time.Duration {
	if !wrong {
		w.inRow = 0
		return 0
	}
	w.inRow++
	if w.inRow <= maxWrongInRow {
		return 0
	}
	return wrongDelay
}

// yield lets other sessions run before the next statement: a session that has always input
// would keep a processor for 10 ms at a time. One whose statements are all wrong is slowed.
func (s *Session) yield() {
	if s.slowdown > 0 {
		time.Sleep(s.slowdown)
	}
	if s.caller.Pending() {
		runtime.Gosched()
	}
}
