package spread

// Kind classifies an Error.
type Kind uint8

// Kinds of errors of this package.
const (
	// KindUnknownVM means that no live VM has the id.
	KindUnknownVM Kind = iota + 1
	// KindStore means that the store did not answer; nothing was changed.
	KindStore
	// KindOutcomeUnknown means that an edit was sent to the store, which did not
	// answer, and that it may have taken effect.
	KindOutcomeUnknown
	// KindIsolated means that this VM has no contact with any other VM and must
	// not accept edits.
	KindIsolated
	// KindInvalidRecord means that a catalogue record can't be decoded or encoded.
	KindInvalidRecord
	// KindPeer means that a peer did not answer or sent an invalid answer.
	KindPeer
	// KindNoSuchVersion means that the store does not have the version.
	KindNoSuchVersion
)

// Error is the error type of this package.
type Error struct {
	// Op is the operation that failed.
	Op   string
	Kind Kind
	Text string
	Err  error
}

// Error returns the operation, the text and the cause.
func (e *Error) Error() string {
	s := e.Op + ": " + e.Text
	if e.Err != nil {
		s += ": " + e.Err.Error()
	}
	return s
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }
