package relay

// Kind classifies an Error.
type Kind uint8

// Kinds of errors of this package.
const (
	// KindProtocol means that a message came that has no place there.
	KindProtocol Kind = iota + 1
	// KindGone means that the stream to the other VM failed or was too late.
	KindStreamFailed
	// KindUnsupported means that a statement is not relayed.
	KindUnsupported
)

var kindTexts = [...]string{KindProtocol: "unexpected message", KindStreamFailed: "the stream has failed", KindUnsupported: "not relayed"}

// Error is the error type of this package.
type Error struct {
	// Op is the operation that failed.
	Op   string
	Kind Kind
	Err  error
}

// Error returns the operation and the cause.
func (e *Error) Error() string {
	s := "relay: " + e.Op
	if int(e.Kind) < len(kindTexts) {
		s += ": " + kindTexts[e.Kind]
	}
	if e.Err != nil {
		s += ": " + e.Err.Error()
	}
	return s
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }
