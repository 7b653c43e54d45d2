package dbctl

import "chervilspan.example/pkg/ident"

// Kind classifies an Error.
type Kind uint8

// Kinds of errors of this package.
const (
	// KindUnreachable means that no connection could be opened; nothing was
	// sent.
	KindUnreachable Kind = iota + 1
	// KindLost means that the call was sent and not answered.
	KindNoAnswer
	// KindSuperseded means that the target has promised a higher term (CV002).
	KindSuperseded
	// KindRebuild means that the target rebuilds its log (CV004).
	KindRebuild
	// KindRefused means that the target refused the call for another reason.
	KindRefused
	// KindProtocol means that the answer does not have the agreed form, or is
	// that of another target.
	KindProtocol
	// KindNoMajority means that less than a majority of a group answered.
	KindNoMajority
	// KindClosed means that the client has been closed.
	KindClosed
)

// Error is the error type of this package.
type Error struct {
	// Op is the operation that failed.
	Op     string
	Kind   Kind
	Target ident.Target
	// SQLState is the code of the target's refusal.
	SQLState string
	Err      error
}

// Error returns the operation, the target and the cause.
func (e *Error) Error() string {
	s := "dbctl: " + e.Op
	if e.Target != "" {
		s += " " + string(e.Target)
	}
	if e.SQLState != "" {
		s += ": SQLSTATE " + e.SQLState
	}
	if e.Err != nil {
		s += ": " + e.Err.Error()
	}
	return s
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// Refused reports whether the target answered and did not carry out the call.
func (e *Error) Refused() bool {
	return e.Kind == KindSuperseded || e.Kind == KindRebuild || e.Kind == KindRefused
}

// SQLSTATEs of the target interface.
const (
	codeSuperseded = "CV002"
	codeRebuild    = "CV004"
)

func kindOf(code string) Kind {
	switch code {
	case codeSuperseded:
		return KindSuperseded
	case codeRebuild:
		return KindRebuild
	}
	return KindRefused
}
