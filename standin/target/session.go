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

// session is one connection. Its fields belong to its goroutine, but for those
// that are atomic or guarded by cancelMu.
type session struct {
	srv     *Server
	conn    net.Conn
	be      *pgproto3.Backend
	codec   *sqldb.Codec
	id      uint32
	secret  []byte
	admin   bool
	replica bool
	counted bool // guarded by Server.sessionsMu
	silent  atomic.Bool

	cancelMu sync.Mutex
	cancel   context.CancelFunc

	vars     map[string]string
	limits   limits
	position ident.Position
	stmts    map[string]*prepared
	portals  map[string]*portal
	ctx      context.Context
	// unlisten ends the notifications; nil when there are none.
	unlisten context.CancelFunc

	// block is set between BEGIN and its end, failed after an error in it.
	block    bool
	failed   bool
	readOnly bool
	txn      *txn
	// dropped is set when the answer to a commit must not be sent.
	dropped bool
}

func newSession(s *Server, conn net.Conn) *session {
	c := &session{
		srv: s, codec: sqldb.NewCodec(), secret: make([]byte, 4),
		vars: map[string]string{}, stmts: map[string]*prepared{}, portals: map[string]*portal{},
	}
	_, _ = rand.Read(c.secret)
	c.conn = &faultConn{Conn: conn, c: c}
	c.be = pgproto3.NewBackend(c.conn, c.conn)
	return c
}

func (c *session) run() {
	ctx, cancel := context.WithCancel(c.srv.ctx)
	defer cancel()
	c.ctx = ctx
	if !c.startup(ctx) {
		return
	}
	defer c.abort()
	skip := false // after an error in the extended protocol, until Sync
	for {
		msg, err := c.be.Receive()
		if err != nil {
			return
		}
		if c.silent.Load() {
			continue
		}
		if !c.admin && c.srv.faults.gate(ctx) != nil {
			return
		}
		if _, ok := msg.(*pgproto3.Terminate); ok {
			return
		}
		if _, sync := msg.(*pgproto3.Sync); skip && !sync {
			continue
		}
		skip = c.handle(ctx, msg)
		if c.dropped {
			return
		}
	}
}

// handle answers one message. It reports whether messages up to the next Sync
// are to be skipped.
func (c *session) handle(ctx context.Context, msg pgproto3.FrontendMessage) (skip bool) {
	ctx, done := c.cancellable(ctx)
	defer done()
	var err error
	switch m := msg.(type) {
	case *pgproto3.Query:
		c.simple(ctx, m.String)
		return false
	case *pgproto3.Sync:
		c.sync()
		return false
	case *pgproto3.Parse:
		err = c.parse(m)
	case *pgproto3.Bind:
		err = c.bind(m)
	case *pgproto3.Describe:
		err = c.describe(m)
	case *pgproto3.Execute:
		err = c.executePortal(ctx, m)
	case *pgproto3.Close:
		c.closeObject(m)
	case *pgproto3.Flush:
		_ = c.be.Flush()
	default:
		err = refuse(codeProtocol, "this message is not expected here")
	}
	if err != nil {
		c.fail(err)
		return true
	}
	return false
}

// cancellable returns a context that a cancel request ends.
func (c *session) cancellable(ctx context.Context) (context.Context, func()) {
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

// cancelQuery serves a cancel request.
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

// fail sends an error and fails the transaction.
func (c *session) fail(err error) {
	r := asRefusal(err)
	if errors.Is(err, context.Canceled) || errors.Is(err, context.DeadlineExceeded) {
		r = &refusal{codeCancelled, "canceling statement due to user request; not run"}
	}
	c.abort()
	c.failed = c.block
	c.be.Send(&pgproto3.ErrorResponse{Severity: "ERROR", SeverityUnlocalized: "ERROR", Code: r.code, Message: r.text})
}

// abort rolls back what the session has open.
func (c *session) abort() {
	if c.txn != nil {
		c.srv.rollback(c.txn)
		c.txn = nil
	}
}

// ready ends an answer.
func (c *session) ready() {
	if c.dropped {
		return
	}
	if !c.position.IsZero() {
		c.be.Send(&pgproto3.ParameterStatus{Name: positionVar, Value: c.position.String()})
		c.position = ident.Position{}
	}
	c.be.Send(&pgproto3.ReadyForQuery{TxStatus: c.txStatus()})
	_ = c.be.Flush()
}

func (c *session) txStatus() byte {
	switch {
	case c.failed:
		return 'E'
	case c.block:
		return 'T'
	}
	return 'I'
}

// notify sends quorum positions of the primary until ctx ends.
func (c *session) notify(ctx context.Context) {
	var last ident.Position
	for ctx.Err() == nil {
		c.srv.mu.Lock()
		changed := c.srv.changed
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
