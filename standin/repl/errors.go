package repl

// Kind classifies an Error.
type Kind uint8

// Kinds of errors of this package.
const (
	// KindTerm means that the term is too low, or given to another target.
	KindTerm Kind = iota + 1
	// KindRole means that the target is not the primary.
	KindNotPrimary
	// KindMember means a list of members without the target itself, or a
	// follower that is no member.
	KindMembership
	// KindStale means an answer to an earlier pull.
	KindStaleAnswer
)

// Error is the error type of this package.
type Error struct {
	// Op is the operation that failed.
	Op   string
	Kind Kind
	Text string
}

// Error returns the operation and the text.
func (e *Error) Error() string { return "repl: " + e.Op + ": " + e.Text }

func fail(op string, kind Kind, text string) error {
	return &Error{Op: op, Kind: kind, Text: text}
}
