package dbpool

import (
	"chervilspan.example/pkg/dbop"
	"chervilspan.example/pkg/ident"
)

// Kind classifies an Error.
type Kind uint8

// Kinds of errors of this package.
const (
	// KindUnreachable means that no connection could be made.
	KindUnreachable Kind = iota + 1
	// KindRefused means that the database refused the connection; Code says why.
	KindRefused
	// KindWait means that no connection became free before the deadline.
	KindWaitTimeout
	// KindBroken means that a connection failed while it was used.
	KindBroken
	// KindClosed means that the pool is closed.
	KindClosed
	// KindSlow means that the database took a connection and did not begin the
	// session in time, as when it has no free slot.
	KindStartTimeout
	// KindLender means that the VM that lends the connection failed.
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
		s += ": no connection became free in time"
	case KindRefused:
		s += ": refused: " + e.Code.String()
	case KindStartTimeout:
		s += ": the session did not begin in time"
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
