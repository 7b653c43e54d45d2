package engine

import (
	"time"

	"chervilspan.example/internal/evlog"
	"chervilspan.example/pkg/dbop"
	"chervilspan.example/pkg/ident"
)

// Kind classifies an Error.
type Kind uint8

// Kinds of errors of this package.
const (
	// KindFraming means that it is in doubt where a message ends.
	KindFraming Kind = iota + 1
	// KindCharacter means that a message has a control character, which another reader
	// may take for its end.
	KindCharacter
	// KindTooLarge means that a message is longer than the protocol allows.
	KindTooLarge
	// KindSyntax means that the first message does not open a session.
	KindSyntax
	// KindEvicted means that too many connections wait for their first message, and this
	// one has waited longest.
	KindEvicted
	// KindCrowded means that the long messages of other callers leave no memory for this
	// one.
	KindCrowded
	// KindUnfinished means that a long message has stopped arriving, or takes too long.
	KindUnfinished
)

var kindNames = [...]string{
	KindFraming: "framing", KindCharacter: "character", KindTooLarge: "too_large", KindSyntax: "syntax",
	KindEvicted: "evicted", KindCrowded: "crowded", KindUnfinished: "unfinished",
}

// String returns the kind's name in logs and metrics.
func (k Kind) String() string {
	if int(k) < len(kindNames) && k > 0 {
		return kindNames[k]
	}
	return "invalid"
}

// Error is the error type of this package. Caller.Receive returns one for a message that
// violates the protocol.
type Error struct {
	// Op is the operation that failed.
	Op   string
	Kind Kind
	Err  error
}

// Error returns the operation and the cause.
func (e *Error) Error() string {
	s := "engine: " + e.Op + ": " + e.Kind.String()
	if e.Err != nil {
		s += ": " + e.Err.Error()
	}
	return s
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// answer returns the answer to a rejected message.
func (e *Error) answer() dbop.Answer {
	switch e.Kind {
	case KindFraming:
		return dbop.Answer{Code: dbop.Malformed, Text: "it is in doubt where the message ends; the session ends"}
	case KindTooLarge:
		return dbop.Answer{Code: dbop.TooLarge, Text: "the message is too long; the session ends"}
	case KindCharacter:
		return dbop.Answer{Code: dbop.Malformed, Text: "the message has a control character; the session ends"}
	case KindEvicted:
		return dbop.Answer{Code: dbop.Busy, Text: "too many connections wait for their first message"}
	case KindCrowded:
		return dbop.Answer{Code: dbop.Busy, Text: "not run: too many long messages arrive at a time; the session ends"}
	case KindUnfinished:
		return dbop.Answer{Code: dbop.Busy, Text: "not run: the rest of the message did not arrive in time; the session ends"}
	}
	return dbop.Answer{Code: dbop.Malformed, Text: "the first message does not open a session"}
}

// RecordRejection records a message that a codec has rejected before a session was open,
// and returns its answer.
func (e *Engine) RecordRejection(err *Error) dbop.Answer {
	e.recordRejection(err, "", "", false)
	return err.answer()
}

func (e *Engine) recordRejection(err *Error, r ident.Route, ws ident.Workspace, inTxn bool) {
	e.cfg.Meter.CountRejection(err.Kind)
	n := e.rejections.Add(time.Now())
	if n == 0 {
		return
	}
	evlog.At(e.cfg.Log, evlog.MessageRejected).Str("reason", err.Kind.String()).Str("route", string(r)).
		Str("workspace", string(ws)).Bool("in_transaction", inTxn).Int("count", n).Err(err).Send()
}

// reject returns the answer to a message that violates the protocol. The open transaction
// is rolled back and the session ends: what follows may have been meant as part of the
// message.
func (s *Session) reject(err *Error) dbop.Answer {
	s.e.recordRejection(err, s.login.Route, s.auth.Workspace, s.tx != nil)
	a := err.answer()
	s.e.cfg.Meter.CountAnswer(&s.auth, 0, a.Code, 0)
	s.abandon()
	s.ending = true
	return a
}
