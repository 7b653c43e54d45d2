package wire

import (
	"net"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"
)

const (
	// outboxFlush is the size from which rows are passed on before the answer
	// is complete, in bytes.
	outboxFlushBytes = 64 << 10
	// writeTimeout ends a session whose caller does not read its answer.
	writeTimeout = 30 * time.Second
)

// outbox gathers the messages to a caller. What has not been sent can be taken
// back, so that another target can give the answer.
type outbox struct {
	conn net.Conn
	buf  []byte
	// held is where the last CommandComplete starts when it is the last
	// message; it stays until flush, because it acknowledges a commit. Negative
	// when there is none.
	heldFrom int
	// sent tells whether a part of the present unit's answer was sent.
	partSent bool
	err      error
}

// begin starts the answer to a unit.
func (o *outbox) beginAnswer() { o.heldFrom, o.partSent = -1, false }

// drop takes back what was not sent.
func (o *outbox) discard() { o.buf, o.heldFrom = o.buf[:0], -1 }

// add queues a message.
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

// write sends the first n bytes but for what is held.
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
		o.buf = nil // idle sessions keep little memory
	}
	return o.err
}
