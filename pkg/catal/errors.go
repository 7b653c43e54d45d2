package catal

import (
	"strings"

	"chervilspan.example/pkg/strict"
)

// Kind classifies an Error.
type Kind uint8

// Kinds of errors of this package.
const (
	// KindSyntax means that the text is not JSON.
	KindSyntax Kind = iota + 1
	// KindInvalid means that the document breaks rules; Problems lists them.
	KindInvalid
	// KindBase means that a delta does not belong to the given base version.
	KindBaseMismatch
	// KindHash means that a document does not have the stated hash.
	KindHashMismatch
	// KindRandom means that the system's random source failed.
	KindRandom
)

// Problem is one broken rule of a document.
type Problem = strict.Problem

// Error is the error type of this package.
type Error struct {
	// Op is the operation that failed.
	Op   string
	Kind Kind
	// Problems has at least one entry for KindSyntax and KindInvalid.
	Problems []Problem
	Err      error
}

// Error returns the operation with all problems, one line each.
func (e *Error) Error() string {
	lines := make([]string, 0, len(e.Problems)+1)
	for _, p := range e.Problems {
		lines = append(lines, p.String())
	}
	if e.Err != nil {
		lines = append(lines, e.Err.Error())
	}
	return "catalogue: " + e.Op + ": " + strings.Join(lines, "\n")
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }
