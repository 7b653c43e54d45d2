package dbpool

import (
	"chervilspan.example/pkg/dbop"
	"chervilspan.example/pkg/ident"
)

// Kind classifies an Error.
type Kind uint8

// Kinds of errors of this package. Their values are sent between VMs in
// RelayOpened.failure and must not change.
const (
	// KindUnreachable means that no connection could be opened.
	KindUnreachable Kind = iota + 1
	// KindRefused means that the database refused the connection; Code is the
	// reason.
	KindRefused
	// KindWaitTimeout means that no connection became free before the deadline.
	KindWaitTimeout
	// KindBroken means that a connection failed while in use.
	KindBroken
	// KindClosed means that the pool is closed.
	KindClosed
	// KindStartTimeout means that the database accepted a connection but did not
	// start the session in time, for example because it has no free slot.
	KindStartTimeout
	// KindLenderFailed means that the lending VM failed.
	KindLenderFailed
)

// Error is the error type of this package.
type Error struct {
	// Op is the operation that failed.
	Op     string
	Kind   Kind
	Target ident.Target
	Code   dbop.Code
	Err    error
}

// Error returns the operation, the database and the cause.
func (e *Error) Error() string {
	s := "dbpool: " + e.Op + " " + string(e.Target)
	switch e.Kind {
	case KindWaitTimeout:
		s += ": no connection became free before the deadline"
	case KindRefused:
		s += ": refused: " + e.Code.String()
	case KindStartTimeout:
		s += ": the database did not start the session in time"
	case KindLenderFailed:
		s += ": the lending VM failed"
	case KindClosed:
		s += ": the pool is closed"
	}
	if e.Err != nil {
		s += ": " + e.Err.Error()
	}
	return s
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }
