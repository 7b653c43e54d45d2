package target

import (
	"context"
	"crypto/rand"
	"crypto/subtle"
	"errors"
	"net"
	"sync"
	"sync/atomic"

	"github.com/jackc/pgx/v5/pgproto3"

	"chervilspan.example/pkg/ident"
	"chervilspan.example/standin/sqldb"
)

// session is one connection. Its fields are used by its own goroutine only,
// except for those that are atomic or guarded by a mutex.
type session struct {
	srv          *Server
	conn         net.Conn
	backend      *pgproto3.Backend
	codec        *sqldb.Codec
	id           uint32
	secret       []byte
	admin        bool
	replica      bool
	counted      bool        // counts towards the connection limit; guarded by Server.sessionsMu
	unresponsive atomic.Bool // set by FaultSilence

	cancelMu sync.Mutex
	cancel   context.CancelFunc

	vars           map[string]string
	bounds         readBounds
	reportPosition ident.Position
	stmts          map[string]*prepared
	portals        map[string]*portal
	ctx            context.Context
	// cancelListen stops the notifications; it is nil when there are none.
	cancelListen context.CancelFunc

	// inBlock is set in a transaction block, failed after an error in one.
	inBlock  bool
	failed   bool
	readOnly bool
	txn      *txn
	// dropAnswer is set when the answer to a commit must not be sent.
	dropAnswer bool
}

func newSession(s *Server, conn net.Conn) *session {
	c := &session{
		srv: s, codec: sqldb.NewCodec(), secret: make([]byte, 4),
		vars: map[string]string{}, stmts: map[string]*prepared{}, portals: map[string]*portal{},
	}
	_, _ = rand.Read(c.secret)
	c.conn = &faultConn{Conn: conn, session: c}
	c.backend = pgproto3.NewBackend(c.conn, c.conn)
	return c
}

func (c *session) run() {
	ctx, cancel := context.WithCancel(c.srv.ctx)
	defer cancel()
	c.ctx = ctx
	if !c.startup(ctx) {
		return
	}
	defer c.rollback()
	skip := false // set after an error in the extended protocol, until Sync
	for {
		msg, err := c.backend.Receive()
		if err != nil {
			return
		}
		if c.unresponsive.Load() {
			continue
		}
		if !c.admin && c.srv.faults.waitUnfrozen(ctx) != nil {
			return
		}
		if _, ok := msg.(*pgproto3.Terminate); ok {
			return
		}
		if _, sync := msg.(*pgproto3.Sync); skip && !sync {
			continue
		}
		skip = c.handleMessage(ctx, msg)
		if c.dropAnswer {
			return
		}
	}
}

// handleMessage answers one message. It reports whether the messages before the
// next Sync must be skipped.
func (c *session) handleMessage(ctx context.Context, msg pgproto3.FrontendMessage) (skip bool) {
	ctx, done := c.withCancel(ctx)
	defer done()
	var err error
	switch m := msg.(type) {
	case *pgproto3.Query:
		c.handleQuery(ctx, m.String)
		return false
	case *pgproto3.Sync:
		c.handleSync()
		return false
	case *pgproto3.Parse:
		err = c.handleParse(m)
	case *pgproto3.Bind:
		err = c.handleBind(m)
	case *pgproto3.Describe:
		err = c.handleDescribe(m)
	case *pgproto3.Execute:
		err = c.handleExecute(ctx, m)
	case *pgproto3.Close:
		c.handleClose(m)
	case *pgproto3.Flush:
		_ = c.backend.Flush()
	default:
		err = notRunError(codeProtocol, "this message is not expected here")
	}
	if err != nil {
		c.sendError(err)
		return true
	}
	return false
}

// withCancel returns a context that a cancel request cancels.
func (c *session) withCancel(ctx context.Context) (context.Context, func()) {
	ctx, cancel := context.WithCancel(ctx)
	c.cancelMu.Lock()
	c.cancel = cancel
	c.cancelMu.Unlock()
	return ctx, func() {
		c.cancelMu.Lock()
		c.cancel = nil
		c.cancelMu.Unlock()
		cancel()
	}
}

// cancelQuery handles a cancel request.
func (s *Server) cancelQuery(m *pgproto3.CancelRequest) {
	s.sessionsMu.Lock()
	c := s.sessions[m.ProcessID]
	s.sessionsMu.Unlock()
	if c == nil || subtle.ConstantTimeCompare(c.secret, m.SecretKey) != 1 {
		return
	}
	c.cancelMu.Lock()
	defer c.cancelMu.Unlock()
	if c.cancel != nil {
		c.cancel()
	}
}

// sendError sends an error, rolls back the open transaction and marks an open
// block as failed.
func (c *session) sendError(err error) {
	r := toClientError(err)
	if errors.Is(err, context.Canceled) || errors.Is(err, context.DeadlineExceeded) {
		r = &clientError{codeCancelled, "canceling statement due to user request; not run"}
	}
	c.rollback()
	c.failed = c.inBlock
	c.backend.Send(&pgproto3.ErrorResponse{Severity: "ERROR", SeverityUnlocalized: "ERROR", Code: r.code, Message: r.text})
}

// rollback rolls back the session's open transaction, if any.
func (c *session) rollback() {
	if c.txn != nil {
		c.srv.rollback(c.txn)
		c.txn = nil
	}
}

// sendReady ends an answer with the position, if there is one to report, and
// ReadyForQuery.
func (c *session) sendReady() {
	if c.dropAnswer {
		return
	}
	if !c.reportPosition.IsZero() {
		c.backend.Send(&pgproto3.ParameterStatus{Name: positionVar, Value: c.reportPosition.String()})
		c.reportPosition = ident.Position{}
	}
	c.backend.Send(&pgproto3.ReadyForQuery{TxStatus: c.txStatus()})
	_ = c.backend.Flush()
}

func (c *session) txStatus() byte {
	switch {
	case c.failed:
		return 'E'
	case c.inBlock:
		return 'T'
	}
	return 'I'
}

// sendQuorumPositions notifies the client of each new quorum position while the
// target is the primary, until ctx ends.
func (c *session) sendQuorumPositions(ctx context.Context) {
	var last ident.Position
	for ctx.Err() == nil {
		c.srv.mu.Lock()
		changed := c.srv.stateChanged
		q := c.srv.primaryQuorum()
		c.srv.mu.Unlock()
		if last.Less(q) {
			last = q
			msg := &pgproto3.NotificationResponse{PID: c.id, Channel: quorumChannel, Payload: q.String()}
			raw, err := msg.Encode(nil)
			if err != nil {
				return
			}
			if _, err := c.conn.Write(raw); err != nil {
				return
			}
			continue
		}
		select {
		case <-changed:
		case <-ctx.Done():
		}
	}
}
