package fairq

import (
	"fmt"
	"time"
)

// Kind classifies an Error.
type Kind uint8

// Kinds of errors of this package.
const (
	// KindFull means that the workspace has as many waiting requests as it may.
	KindFull Kind = iota + 1
	// KindDeadline means that the request is not expected to start in time.
	KindDeadline
)

// Error is the error type of this package.
type Error struct {
	// Op is the operation that failed.
	Op   string
	Kind Kind
	// Wait is the expected wait, or what a caller should wait before it tries
	// again; 0 when it is not known.
	ExpectedWait time.Duration
}

// Error returns the operation and the reason.
func (e *Error) Error() string {
	if e.Kind == KindFull {
		return "fairq: " + e.Op + ": the workspace's queue is full"
	}
	return fmt.Sprintf("fairq: %s: the expected wait of %v is beyond the deadline", e.Op, e.ExpectedWait)
}
