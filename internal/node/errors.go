package node

import (
	"slices"
	"strings"

	"chervilspan.example/pkg/strict"
)

// Kind classifies an Error.
type Kind uint8

// Kinds of errors of this package.
const (
	// KindSettings means that the settings can't be read or break a rule.
	KindSettings Kind = iota + 1
	// KindListen means that an address can't be listened on.
	KindListen
	// KindCut means that sessions were cut at a stop.
	KindSessionsCut
)

// Error is the error type of this package.
type Error struct {
	// Op is the operation that failed.
	Op       string
	Kind     Kind
	Problems []strict.Problem
	Err      error
}

// Error returns the operation and the cause, one line for each problem.
func (e *Error) Error() string {
	s := e.Op
	if e.Err != nil {
		s += ": " + e.Err.Error()
	}
	lines := make([]string, 0, len(e.Problems))
	for _, p := range e.Problems {
		lines = append(lines, p.String())
	}
	slices.Sort(lines)
	if len(lines) > 0 {
		s += ":\n" + strings.Join(lines, "\n")
	}
	return s
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }
