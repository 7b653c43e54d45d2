package wire

import (
	"net"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"
)

const (
	// outboxFlushBytes is the size from which a part of an answer is sent before
	// the answer is complete.
	outboxFlushBytes = 64 << 10
	// writeTimeout ends a session whose caller does not read its answer.
	writeTimeout = 30 * time.Second
)

// outbox buffers the messages to a caller. What has not been sent can be discarded,
// so that another target can give the answer.
type outbox struct {
	conn net.Conn
	buf  []byte
	// heldFrom is the offset of a CommandComplete that is the last message; it is
	// not sent before flush, because it acknowledges a commit. Negative when the
	// last message is another one.
	heldFrom int
	// partSent is set when a part of the present unit's answer was sent.
	partSent bool
	err      error
}

// beginAnswer starts the answer to a unit.
func (o *outbox) beginAnswer() { o.heldFrom, o.partSent = -1, false }

// discard removes what was not sent.
func (o *outbox) discard() { o.buf, o.heldFrom = o.buf[:0], -1 }

// add queues a message, and sends what is queued when it fills the buffer.
func (o *outbox) add(m pgproto3.BackendMessage) {
	o.heldFrom = -1
	if _, ok := m.(*pgproto3.CommandComplete); ok {
		o.heldFrom = len(o.buf)
	}
	b, err := m.Encode(o.buf)
	if err != nil {
		o.err = err
		return
	}
	o.buf = b
	if len(o.buf) >= outboxFlushBytes {
		o.write(len(o.buf))
	}
}

// write sends the first n bytes, up to a CommandComplete that is held.
func (o *outbox) write(n int) {
	if o.heldFrom >= 0 {
		n = o.heldFrom
		o.heldFrom = 0
	}
	if n == 0 || o.err != nil {
		return
	}
	o.partSent = true
	_ = o.conn.SetWriteDeadline(time.Now().Add(writeTimeout))
	_, o.err = o.conn.Write(o.buf[:n])
	o.buf = append(o.buf[:0], o.buf[n:]...)
}

// flush sends everything.
func (o *outbox) flush() error {
	o.heldFrom = -1
	o.write(len(o.buf))
	if cap(o.buf) > outboxFlushBytes {
		o.buf = nil // keeps the memory of idle sessions small
	}
	return o.err
}
