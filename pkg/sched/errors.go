package sched

import (
	"fmt"
	"time"
)

// Kind classifies an Error.
type Kind uint8

// Kinds of errors of this package.
const (
	// KindFull means that the queue has reached its limit and has no statement of
	// less value.
	KindFull Kind = iota + 1
	// KindDeadline means that the statement is not expected to be answered before its
	// deadline.
	KindDeadline
)

// Error is the error type of this package.
type Error struct {
	// Op is the operation that failed.
	Op   string
	Kind Kind
	// ExpectedWait is the estimated time in the queue.
	ExpectedWait time.Duration
}

// Error returns the operation and the reason.
func (e *Error) Error() string {
	if e.Kind == KindFull {
		return "sched: " + e.Op + ": the queue is full"
	}
	return fmt.Sprintf("sched: %s: the expected wait of %v is beyond the deadline", e.Op, e.ExpectedWait)
}
