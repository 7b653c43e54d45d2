package wire

import (
	"context"
	"errors"
	"io"
	"net"
	"sync"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"

	"chervilspan.example/internal/conns"
	"chervilspan.example/internal/evlog"
	"chervilspan.example/pkg/access"
	"chervilspan.example/pkg/sessn"
	"chervilspan.example/pkg/stmt"
)

// session serves one caller. Its goroutine owns all fields except those guarded by
// mu.
type session struct {
	srv     *Server
	conn    net.Conn
	backend *pgproto3.Backend
	out     outbox
	auth    access.Authorization
	// floor is that in the group of auth, floors has those in groups that the route has left.
	floor           sessn.Session
	floors          sessn.Floors
	processID       uint32
	cancelSecret    []byte
	applicationName string
	// reportedPosition is the position last reported to the caller.
	reportedPosition string
	// idempotencyKey is the key that the next transaction records, if any.
	idempotencyKey string

	stmts   map[string]*prepared
	portals map[string]*prepared
	// stmtBytes is the length of the texts of stmts. It is at most the length of a
	// message.
	stmtBytes int
	// pending has the extended messages that have not run.
	pending *unit
	// skipping is set while extended messages are skipped, from an error until
	// Sync.
	skipping bool
	// tx is the open transaction, nil when there is none.
	tx *txn

	mu sync.Mutex
	// awaitingMessage is set while the session waits for the caller's next
	// message, and busy when it does so within a transaction or a series of
	// extended messages.
	awaitingMessage bool
	busy            bool
	// endErr, unless nil, is the error with which the session is to end: after
	// the transaction, or after the present message if endNow is set.
	endErr *Error
	endNow bool
	// sharedAuth is a copy of auth for other goroutines.
	sharedAuth access.Authorization
	// cancelUnit cancels the context of the running unit, and runningConn is the
	// target connection on which the unit runs; nil when there is none.
	cancelUnit  context.CancelCauseFunc
	runningConn *conns.Conn
}

func newSession(h *handshake) *session {
	s := &session{
		srv: h.srv, conn: h.conn, backend: h.backend, auth: h.auth, sharedAuth: h.auth, cancelSecret: newCancelSecret(),
		applicationName: h.params[stmt.VarApplicationName], stmts: map[string]*prepared{}, portals: map[string]*prepared{},
		pending: newUnit(),
	}
	s.out.conn = h.conn
	s.backend.SetMaxBodyLen(h.srv.cfg.MaxMessageBytes)
	if h.hasPosition {
		s.floor.Resume(h.floor)
	}
	return s
}

// serve answers the caller until the connection or the session ends.
func (s *session) serve() {
	for {
		m, err := s.receive()
		if err == nil {
			err = s.handle(m)
		}
		if err != nil {
			s.finish(err)
			return
		}
	}
}

// finish ends the session and sends the error, if it is an *Error, to the caller. An
// open transaction is rolled back by closing its target connection.
func (s *session) finish(err error) {
	s.abortTx()
	var e *Error
	if errors.As(err, &e) {
		if e.Code != codeShutdown {
			evlog.At(s.srv.cfg.Log, evlog.SessionEnded).Str("workspace", string(s.auth.Workspace)).
				Str("reason", e.Text).Str("code", e.Code).Send()
		}
		s.out.discard()
		s.out.add(e.response())
		_ = s.out.flush()
		linger(s.conn)
	}
	_ = s.conn.Close()
}

// receive returns the caller's next message.
func (s *session) receive() (pgproto3.FrontendMessage, error) {
	if err := s.beginWait(); err != nil {
		return nil, err
	}
	m, err := s.backend.Receive()
	s.mu.Lock()
	s.awaitingMessage = false
	ending := s.endErr
	s.mu.Unlock()
	if err == nil {
		return m, nil
	}
	var large *pgproto3.ExceededMaxBodyLenErr
	var timeout net.Error
	switch {
	case errors.As(err, &large):
		return nil, fatalError("receive", codeTooLarge, "the message is too large", err)
	case errors.As(err, &timeout) && timeout.Timeout() && ending != nil:
		return nil, ending
	case errors.As(err, &timeout) && timeout.Timeout():
		return nil, fatalError("receive", codeIdleTxTimeout, "the transaction was idle too long and is rolled back", nil)
	case isConnectionEnd(err) && !isTruncated(err):
		return nil, err
	}
	return nil, fatalError("receive", codeProtocol, "malformed message", err)
}

// beginWait marks the session as waiting for the caller's next message, or returns
// the error with which it has to end. In a transaction the wait is bounded.
func (s *session) beginWait() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.busy = s.tx != nil || s.skipping || !s.pending.isEmpty()
	if s.endErr != nil && (s.endNow || !s.busy) {
		return s.endErr
	}
	var deadline time.Time
	if s.busy {
		deadline = time.Now().Add(s.srv.cfg.IdleTransactionTimeout)
	}
	_ = s.conn.SetReadDeadline(deadline)
	s.awaitingMessage = true
	return nil
}

// requestEnd makes the session end with e: after the present message, even in a
// transaction, if now is set; otherwise between transactions. A session that waits
// for its caller is woken by an expired read deadline.
func (s *session) requestEnd(e *Error, now bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.endErr == nil || now {
		s.endErr = e
	}
	s.endNow = s.endNow || now
	if s.awaitingMessage && (s.endNow || !s.busy) {
		_ = s.conn.SetReadDeadline(time.Unix(1, 0))
	}
}

func (s *session) currentAuth() access.Authorization {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.sharedAuth
}

// handle serves one message. A returned error ends the session.
func (s *session) handle(m pgproto3.FrontendMessage) error {
	switch m.(type) {
	case *pgproto3.Sync:
		return s.handleSync()
	case *pgproto3.Terminate:
		return io.EOF
	case *pgproto3.PasswordMessage:
		return fatalError("receive", codeProtocol, "unexpected message", nil)
	}
	if s.skipping {
		return nil // also queries, which a caller sends for the case that there is no error
	}
	switch m := m.(type) {
	case *pgproto3.Query:
		return s.handleQuery(m)
	case *pgproto3.CopyData, *pgproto3.CopyDone, *pgproto3.CopyFail:
		return nil // left over from a COPY that was refused
	case *pgproto3.FunctionCall:
		s.answerError(refusedError("function call", codeUnsupported, "the function call protocol is not supported", nil))
		s.skipping = false
		return s.answerReady()
	case *pgproto3.Flush:
		return s.runPending(endFlush)
	case *pgproto3.Parse, *pgproto3.Bind, *pgproto3.Describe, *pgproto3.Execute, *pgproto3.Close:
		return s.gather(m)
	}
	return fatalError("receive", codeProtocol, "unexpected message", nil)
}

func (s *session) handleQuery(m *pgproto3.Query) error {
	if !s.pending.isEmpty() {
		// Extended messages without Sync run before the query.
		if err := s.runPending(endFlush); err != nil || s.skipping {
			return err
		}
	}
	q := s.srv.classifier.Classify(m.String)
	if reason := q.RefusalReason(); reason != "" {
		s.answerError(refusedError("query", codeUnsupported, reason, nil))
		s.skipping = false
		return s.answerReady()
	}
	u := simpleUnit(m, q)
	if err := s.execute(u); err != nil {
		return err
	}
	s.skipping = false
	return s.answerReady()
}

func (s *session) handleSync() error {
	if s.skipping {
		if err := s.resync(); err != nil {
			return err
		}
		return s.answerReady()
	}
	if err := s.runPending(endSync); err != nil {
		return err
	}
	s.skipping = false
	return s.answerReady()
}

// runPending executes the extended messages gathered so far.
func (s *session) runPending(end byte) error {
	u := s.pending
	s.pending = newUnit()
	u.end = end
	if err := s.execute(u); err != nil {
		return err
	}
	if end == endFlush {
		return s.out.flush()
	}
	return nil
}

// answerError replaces the queued answer by an error. Extended messages are skipped
// until Sync, and an open explicit transaction can only be ended or go back to a savepoint.
func (s *session) answerError(e *Error) {
	s.out.discard()
	s.out.add(e.response())
	s.forgetUnparsed(s.pending)
	s.pending = newUnit()
	s.skipping = true
	switch {
	case s.tx == nil:
	case s.tx.explicit:
		s.tx.failed = true
	default:
		// The target has seen no error and would commit the implicit
		// transaction at Sync.
		s.abortTx()
	}
}

// answerReady ends an answer with ReadyForQuery and sends it.
func (s *session) answerReady() error {
	s.queueReady()
	return s.out.flush()
}

// queueReady queues the session's position, if it has changed, and ReadyForQuery.
func (s *session) queueReady() {
	if p := s.floor.Floor().String(); p != s.reportedPosition {
		s.reportedPosition = p
		s.out.add(&pgproto3.ParameterStatus{Name: stmt.VarPosition, Value: p})
	}
	s.out.add(&pgproto3.ReadyForQuery{TxStatus: s.txStatus()})
}

// Transaction statuses of ReadyForQuery.
const (
	txIdle   byte = 'I'
	txOpen   byte = 'T'
	txFailed byte = 'E'
)

func (s *session) txStatus() byte {
	switch {
	case s.tx == nil || !s.tx.explicit:
		return txIdle
	case s.tx.failed || s.tx.conn == nil:
		return txFailed
	}
	return s.tx.conn.Status()
}

// checkAuthorization returns an error when the session's API key is no longer valid,
// or when this VM can't tell. Between transactions it updates the session to the
// limits in force.
func (s *session) checkAuthorization() *Error {
	if err := s.srv.cfg.Access.Check(s.auth); err != nil {
		return authorizationError(err)
	}
	r, ok := s.srv.cfg.Access.(Refresher)
	if !ok || s.tx != nil {
		return nil
	}
	auth, err := r.Refresh(s.auth)
	if err != nil {
		return authorizationError(err)
	}
	if auth == s.auth {
		return nil
	}
	if auth.Group != s.auth.Group {
		s.floor = s.floors.Move(s.auth.Group, s.floor, auth.Group)
	}
	s.auth = auth
	s.mu.Lock()
	s.sharedAuth = auth
	s.mu.Unlock()
	return nil
}

// authorizationError returns the error for a failed check. While this VM is cut off
// it refuses statements but keeps its sessions, which it may serve again later.
func authorizationError(err error) *Error {
	code := sqlState(err, codeKeyRefused)
	if code == codeNotReady {
		return refusedError("check", code, err.Error(), nil)
	}
	return fatalError("check", code, err.Error(), nil)
}
