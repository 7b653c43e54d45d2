package peer

// Kind classifies an Error.
type Kind uint8

// Kinds of errors of this package.
const (
	// KindCertificates means that certificates could not be loaded.
	KindCertificates Kind = iota + 1
	// KindPlaintext means that plaintext is not allowed at the address.
	KindPlaintext
	// KindInvalidAddress means that an address is not of the form IP:port.
	KindInvalidAddress
	// KindCacheFull means that the cache has MaxConns connections, all in use.
	KindCacheFull
	// KindClosed means that the cache is closed.
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
