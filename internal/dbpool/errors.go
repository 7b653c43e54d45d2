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
	KindWait
	// KindBroken means that a connection failed while it was used.
	KindBroken
	// KindClosed means that the pool is closed.
	KindClosed
	// KindSlow means that the database took a connection and did not begin the
	// session in time, as when it has no free slot.
	KindSlow
	// KindLender means that the VM that lends the connection failed.
	KindLender
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
	case KindWait:
		s += ": no connection became free in time"
	case KindRefused:
		s += ": refused: " + e.Code.String()
	case KindSlow:
		s += ": the session did not begin in time"
	case KindLender:
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
