package repl

// Kind classifies an Error.
type Kind uint8

// Kinds of errors of this package.
const (
	// KindTerm means that the term is too low or already has another primary.
	KindTerm Kind = iota + 1
	// KindNotPrimary means that the target is not the primary.
	KindNotPrimary
	// KindMembership means that a list of members lacks the target itself, or
	// that a follower is not a member, or that a target is to follow itself.
	KindMembership
	// KindStaleAnswer means that the answer belongs to an earlier pull.
	KindStaleAnswer
)

// Error is the error type of this package.
type Error struct {
	// Op is the operation that failed.
	Op   string
	Kind Kind
	Text string
}

// Error implements the error interface.
func (e *Error) Error() string { return "repl: " + e.Op + ": " + e.Text }

func newError(op string, kind Kind, text string) error {
	return &Error{Op: op, Kind: kind, Text: text}
}
