package ctl

import (
	"errors"

	"google.golang.org/grpc/status"
)

// Kind classifies an Error.
type Kind uint8

// Kinds of errors of this package; each has an exit status.
const (
	// KindFailed means that the command could not be carried out.
	KindFailed Kind = iota + 1
	// KindInput means that arguments or a document are wrong.
	KindBadInput
	// KindRace means that another operator's edit came first.
	KindLostRace
)

// Exit statuses.
const (
	ExitDone     = 0
	ExitFailed   = 1
	ExitBadInput = 2
	ExitLostRace = 3
)

// Error is the error type of this package.
type Error struct {
	// Op is the command.
	Op   string
	Kind Kind
	// Lines say what is wrong, one line for each problem.
	Lines []string
}

// Error returns the first line.
func (e *Error) Error() string {
	if len(e.Lines) == 0 {
		return e.Op
	}
	return e.Op + ": " + e.Lines[0]
}

func exitCode(err error) int {
	var e *Error
	if !errors.As(err, &e) {
		return ExitFailed
	}
	switch e.Kind {
	case KindBadInput:
		return ExitBadInput
	case KindLostRace:
		return ExitLostRace
	}
	return ExitFailed
}

func failed(op string, err error) error {
	return &Error{Op: op, Kind: KindFailed, Lines: []string{status.Convert(err).Message()}}
}

func badInput(op string, lines ...string) error {
	return &Error{Op: op, Kind: KindBadInput, Lines: lines}
}
