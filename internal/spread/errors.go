package spread

// Kind classifies an Error.
type Kind uint8

// Kinds of errors of this package.
const (
	// KindUnknownVM means that no live VM has this id.
	KindUnknownVM Kind = iota + 1
	// KindStore means that the store did not answer; nothing was changed.
	KindStore
	// KindUnknown means that an edit was sent to the store and its outcome is
	// unknown.
	KindOutcomeUnknown
	// KindAlone means that this VM has no contact with any other and must not
	// accept edits.
	KindIsolated
	// KindRecord means that the store's catalogue can't be read.
	KindInvalidRecord
	// KindPeer means that a peer did not answer or sent something wrong.
	KindPeer
	// KindMissing means that there is no such version.
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
