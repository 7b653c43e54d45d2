package conns

import (
	"errors"
	"net"

	"github.com/jackc/pgx/v5/pgconn"

	"chervilspan.example/pkg/ident"
	"chervilspan.example/pkg/retry"
)

// Kind classifies an Error.
type Kind uint8

// Kinds of errors of this package.
const (
	// KindUnknown means that the group or target is not in the catalogue.
	KindUnknownTarget Kind = iota + 1
	// KindConnect means that no connection could be opened.
	KindConnect
	// KindLimit means that no connection came free in time.
	KindWaitTimeout
	// KindBroken means that the connection failed while it was in use.
	KindConnFailed
	// KindSuperseded means that the term of the awaited position has ended.
	KindSuperseded
	// KindDeadline means that the deadline passed before the quorum reached
	// the awaited position.
	KindDeadline
	// KindClosed means that the pools are closed.
	KindClosed
)

var kindNames = map[Kind]string{
	KindUnknownTarget: "not in the catalogue",
	KindConnect:       "can't connect",
	KindWaitTimeout:   "no connection came free",
	KindConnFailed:    "connection failed",
	KindSuperseded:    "the primary was replaced",
	KindDeadline:      "the deadline passed",
	KindClosed:        "closed",
}

// Error is the error type of this package.
type Error struct {
	// Op is the operation that failed.
	Op      string
	Target  ident.Target
	Kind    Kind
	Outcome retry.Outcome
	Err     error
}

// Error returns the operation, the target, the kind and the cause.
func (e *Error) Error() string {
	s := "conns: " + e.Op
	if e.Target != "" {
		s += " " + string(e.Target)
	}
	s += ": " + kindNames[e.Kind]
	if e.Err != nil {
		s += ": " + e.Err.Error()
	}
	return s
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// RequestOutcome returns what is known of the request that met the error.
func (e *Error) RequestOutcome() retry.Outcome { return e.Outcome }

// Is reports whether err is an *Error of the kind.
func Is(err error, k Kind) bool {
	var e *Error
	return errors.As(err, &e) && e.Kind == k
}

// answered reports whether a failed connect was refused by a live server.
func answered(err error) bool {
	var e *pgconn.PgError
	return errors.As(err, &e)
}

func isTimeout(err error) bool {
	var e net.Error
	return errors.As(err, &e) && e.Timeout()
}
