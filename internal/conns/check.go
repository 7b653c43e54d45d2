package conns

import (
	"errors"
	"io"

	"github.com/jackc/pgx/v5/pgproto3"
)

// maxAnswerBytes bounds a message from a target, such as one row. A value that a caller
// can store with one message of 16 MiB takes up to 32 MiB as the text of a bytea; rows may
// have twice that. Without a bound a corrupt length takes up to 2 GiB.
const maxAnswerBytes = 64 << 20

func newFrontend(r io.Reader, w io.Writer) *pgproto3.Frontend {
	f := pgproto3.NewFrontend(r, w)
	f.SetMaxBodyLen(maxAnswerBytes)
	return f
}

// errUnexpected ends a connection on which a target has sent a message that is no part of
// an answer. The messages after it can't be trusted.
var errUnexpected = errors.New("the target sent an unexpected message")

// check returns an error for a message that a target must not send after the login, and
// for the end of an answer that nobody awaits.
func (c *Conn) check(m pgproto3.BackendMessage) error {
	switch m := m.(type) {
	case *pgproto3.ReadyForQuery:
		switch {
		case c.outstanding == 0:
		case m.TxStatus == 'I', m.TxStatus == 'T', m.TxStatus == 'E':
			return nil
		}
		return errUnexpected
	case *pgproto3.BackendKeyData, *pgproto3.NegotiateProtocolVersion, *pgproto3.FunctionCallResponse, *pgproto3.CopyData, *pgproto3.CopyDone:
		return errUnexpected
	case pgproto3.AuthenticationResponseMessage:
		return errUnexpected
	}
	return nil
}
