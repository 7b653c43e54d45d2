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

// session serves one caller. Its goroutine owns all fields but those under mu.
type session struct {
	srv    *Server
	conn   net.Conn
	be     *pgproto3.Backend
	out    outbox
	grant  access.Authorization
	floor  sessn.Session
	pid    uint32
	secret []byte
	app    string
	// reported is the position that the caller was told last.
	reported string
	// key is the idempotency key of the next transaction.
	key string

	stmts   map[string]*prepared
	portals map[string]*prepared
	batch   *unit
	// skipping is set from an error until Sync.
	skipping bool
	tx       *txn

	mu sync.Mutex
	// waiting tells that the session waits for the caller's next message, and
	// busy that a transaction is open meanwhile.
	waiting bool
	busy    bool
	ending  *Error
	endNow  bool
	// shared is a copy of grant for the sweep.
	shared   access.Authorization
	stopUnit context.CancelCauseFunc
	running  *conns.Conn
}

func newSession(h *handshake) *session {
	s := &session{
		srv: h.srv, conn: h.conn, be: h.be, grant: h.grant, shared: h.grant, secret: newSecret(),
		app: h.params[stmt.VarApplicationName], stmts: map[string]*prepared{}, portals: map[string]*prepared{},
		batch: newUnit(),
	}
	s.out.conn = h.conn
	s.be.SetMaxBodyLen(h.srv.cfg.MaxMessageBytes)
	if h.resume {
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

// finish ends the session. An open transaction is rolled back by closing its
// connection.
func (s *session) finish(err error) {
	s.abandon()
	var e *Error
	if errors.As(err, &e) {
		if e.Code != codeDrain {
			evlog.At(s.srv.cfg.Log, evlog.SessionEnded).Str("workspace", string(s.grant.Workspace)).
				Str("reason", e.Text).Str("code", e.Code).Send()
		}
		s.out.drop()
		s.out.add(e.response())
		_ = s.out.flush()
		linger(s.conn)
	}
	_ = s.conn.Close()
}

// receive returns the caller's next message.
func (s *session) receive() (pgproto3.FrontendMessage, error) {
	if err := s.rest(); err != nil {
		return nil, err
	}
	m, err := s.be.Receive()
	s.mu.Lock()
	s.waiting = false
	ending := s.ending
	s.mu.Unlock()
	if err == nil {
		return m, nil
	}
	var large *pgproto3.ExceededMaxBodyLenErr
	var timeout net.Error
	switch {
	case errors.As(err, &large):
		return nil, fatal("receive", codeTooLarge, "the message is too large", err)
	case errors.As(err, &timeout) && timeout.Timeout() && ending != nil:
		return nil, ending
	case errors.As(err, &timeout) && timeout.Timeout():
		return nil, fatal("receive", codeIdleTx, "the transaction was idle too long and is rolled back", nil)
	case isStreamError(err):
		return nil, err
	}
	return nil, fatal("receive", codeProtocol, "malformed message", err)
}

// rest marks the session as waiting for its caller, unless it has to end.
func (s *session) rest() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.busy = s.tx != nil || s.skipping || !s.batch.empty()
	if s.ending != nil && (s.endNow || !s.busy) {
		return s.ending
	}
	var deadline time.Time
	if s.busy {
		deadline = time.Now().Add(s.srv.cfg.IdleTransactionTimeout)
	}
	_ = s.conn.SetReadDeadline(deadline)
	s.waiting = true
	return nil
}

// end makes the session end: at once between two messages, also in a
// transaction, when now is set; else between two transactions.
func (s *session) end(e *Error, now bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.ending == nil || now {
		s.ending = e
	}
	s.endNow = s.endNow || now
	if s.waiting && (s.endNow || !s.busy) {
		_ = s.conn.SetReadDeadline(time.Unix(1, 0))
	}
}

func (s *session) currentGrant() access.Authorization {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.shared
}

// handle serves one message. An error ends the session.
func (s *session) handle(m pgproto3.FrontendMessage) error {
	switch m := m.(type) {
	case *pgproto3.Query:
		return s.simpleQuery(m)
	case *pgproto3.Sync:
		return s.sync()
	case *pgproto3.Terminate:
		return io.EOF
	case *pgproto3.CopyData, *pgproto3.CopyDone, *pgproto3.CopyFail:
		return nil // left over from a COPY that was refused
	case *pgproto3.FunctionCall:
		s.fail(refuse("function call", codeUnsupported, "the function call protocol is not supported", nil))
		s.skipping = false
		return s.answerReady()
	}
	if s.skipping {
		return nil
	}
	switch m := m.(type) {
	case *pgproto3.Flush:
		return s.runBatch(endFlush)
	case *pgproto3.Parse, *pgproto3.Bind, *pgproto3.Describe, *pgproto3.Execute, *pgproto3.Close:
		return s.gather(m)
	}
	return fatal("receive", codeProtocol, "unexpected message", nil)
}

func (s *session) simpleQuery(m *pgproto3.Query) error {
	if !s.batch.empty() {
		// Extended messages without Sync run before the query.
		if err := s.runBatch(endFlush); err != nil {
			return err
		}
	}
	if s.skipping {
		if err := s.resync(); err != nil {
			return err
		}
	}
	q := s.srv.classes.Classify(m.String)
	if reason := q.RefusalReason(); reason != "" {
		s.fail(refuse("query", codeUnsupported, reason, nil))
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

func (s *session) sync() error {
	if s.skipping {
		if err := s.resync(); err != nil {
			return err
		}
		return s.answerReady()
	}
	if err := s.runBatch(endSync); err != nil {
		return err
	}
	s.skipping = false
	return s.answerReady()
}

// runBatch executes the extended messages gathered so far.
func (s *session) runBatch(end byte) error {
	u := s.batch
	s.batch = newUnit()
	u.end = end
	if err := s.execute(u); err != nil {
		return err
	}
	if end == endFlush {
		return s.out.flush()
	}
	return nil
}

// fail answers with an error. Extended messages are skipped until Sync, and an
// open transaction takes nothing but its end.
func (s *session) fail(e *Error) {
	s.out.drop()
	s.out.add(e.response())
	s.forget(s.batch)
	s.batch = newUnit()
	s.skipping = true
	switch {
	case s.tx == nil:
	case s.tx.explicit:
		s.tx.failed = true
	default:
		// The target would commit an implicit transaction at Sync.
		s.abandon()
	}
}

// answerReady ends an answer.
func (s *session) answerReady() error {
	s.ready()
	return s.out.flush()
}

// ready queues the session's position and ReadyForQuery.
func (s *session) ready() {
	if p := s.floor.Floor().String(); p != s.reported {
		s.reported = p
		s.out.add(&pgproto3.ParameterStatus{Name: stmt.VarPosition, Value: p})
	}
	s.out.add(&pgproto3.ReadyForQuery{TxStatus: s.status()})
}

// Transaction states as ReadyForQuery reports them.
const (
	statusIdle   byte = 'I'
	statusOpen   byte = 'T'
	statusFailed byte = 'E'
)

func (s *session) status() byte {
	switch {
	case s.tx == nil || !s.tx.explicit:
		return statusIdle
	case s.tx.failed || s.tx.conn == nil:
		return statusFailed
	}
	return s.tx.conn.Status()
}

// checkKey returns an error when the session's key no longer holds, or when
// this VM can't tell. Between transactions it takes up the limits in force.
func (s *session) checkKey() *Error {
	if err := s.srv.cfg.Access.Check(s.grant); err != nil {
		return keyError(err)
	}
	r, ok := s.srv.cfg.Access.(Refresher)
	if !ok || s.tx != nil {
		return nil
	}
	g, err := r.Refresh(s.grant)
	if err != nil {
		return keyError(err)
	}
	if g == s.grant {
		return nil
	}
	if g.Group != s.grant.Group {
		s.floor = sessn.Session{} // positions of the former group mean nothing here
	}
	s.grant = g
	s.mu.Lock()
	s.shared = g
	s.mu.Unlock()
	return nil
}

// keyError returns the error of a check. A VM that is cut off refuses
// statements but keeps its sessions, which it can serve again later.
func keyError(err error) *Error {
	code := sqlState(err, codeKey)
	if code == codeNotReady {
		return refuse("check", code, err.Error(), nil)
	}
	return fatal("check", code, err.Error(), nil)
}
