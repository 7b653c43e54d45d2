package peer

// Kind classifies an Error.
type Kind uint8

// Kinds of errors of this package.
const (
	// KindKeys means that certificates could not be read.
	KindCertificates Kind = iota + 1
	// KindPlain means that plain text is not allowed at this address.
	KindPlaintext
	// KindAddress means that an address is not IP:port.
	KindInvalidAddress
	// KindFull means that every connection of the cache is in use.
	KindCacheFull
	// KindClosed means that the cache was closed.
	KindClosed
)

// Error is the error type of this package.
type Error struct {
	// Op is the operation that failed.
	Op   string
	Kind Kind
	// Subject is the address or the file.
	Subject string
	Err     error
}

// Error returns the operation, the subject and the cause.
func (e *Error) Error() string {
	s := "peer: " + e.Op + " " + e.Subject
	if e.Err != nil {
		s += ": " + e.Err.Error()
	}
	return s
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }
