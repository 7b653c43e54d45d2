package fairq

import (
	"fmt"
	"time"
)

// Kind classifies an Error.
type Kind uint8

// Kinds of errors of this package.
const (
	// KindFull means that the queue of the workspace has reached its limit.
	KindFull Kind = iota + 1
	// KindDeadline means that the request is not expected to start before its
	// deadline.
	KindDeadline
)

// Error is the error type of this package.
type Error struct {
	// Op is the operation that failed.
	Op   string
	Kind Kind
	// ExpectedWait is the estimated time in the queue. For KindFull it is how long
	// to wait before a retry. It is 0 when no estimate exists.
	ExpectedWait time.Duration
}

// Error returns the operation and the reason.
func (e *Error) Error() string {
	if e.Kind == KindFull {
		return "fairq: " + e.Op + ": the workspace's queue is full"
	}
	return fmt.Sprintf("fairq: %s: the expected wait of %v is beyond the deadline", e.Op, e.ExpectedWait)
}
