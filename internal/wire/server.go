package wire

import (
	"context"
	"errors"
	"maps"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/alitto/pond/v2"
	"github.com/jackc/pgx/v5/pgproto3"

	"chervilspan.example/internal/evlog"
	"chervilspan.example/pkg/access"
	"chervilspan.example/pkg/stmt"
)

// Server serves callers. New makes one; its methods may be called from several
// goroutines.
type Server struct {
	cfg        Config
	classifier stmt.Cache
	metrics    *statementMetrics
	workers    pond.Pool
	// tasks counts the background work. The pool's own stop waits through a
	// pool that is global to the process, which tests with a paused clock can't.
	tasks sync.WaitGroup
	ctx   context.Context
	stop  context.CancelFunc

	// logins counts connections that have not logged in.
	pendingLogins atomic.Int64

	mu       sync.Mutex
	sessions map[uint32]*session
	// handshakes has the connections that have not logged in.
	handshakes map[net.Conn]bool
	nextID     uint32
	draining   bool
	// empty is closed by the last session that ends while draining.
	drained chan struct{}
}

// New returns a server. Close or Drain ends its background work.
func New(cfg Config) *Server {
	ctx, stop := context.WithCancel(context.Background())
	s := &Server{
		cfg: cfg.withDefaults(), workers: pond.NewPool(0), ctx: ctx, stop: stop,
		sessions: map[uint32]*session{}, handshakes: map[net.Conn]bool{}, drained: make(chan struct{}),
	}
	s.metrics = newStatementMetrics(s.cfg.Scope)
	s.startTask(s.sweepSessions)
	return s
}

// Serve accepts connections until the listener is closed, and returns nil then.
func (s *Server) Serve(l net.Listener) error {
	for {
		c, err := l.Accept()
		if errors.Is(err, net.ErrClosed) {
			return nil
		}
		if err != nil {
			evlog.At(s.cfg.Log, evlog.AcceptFailed).Err(err).Send()
			select {
			case <-time.After(acceptRetryDelay):
				continue
			case <-s.ctx.Done():
				return nil
			}
		}
		go s.ServeConn(c)
	}
}

// acceptPause keeps a failing Accept, such as one out of descriptors, from
// spinning.
const acceptRetryDelay = 50 * time.Millisecond

// ServeConn serves one connection and closes it.
func (s *Server) ServeConn(c net.Conn) {
	defer c.Close()
	if n := s.cfg.MaxSessions; n > 0 && s.SessionCount() >= n {
		s.metrics.increment("logins_refused")
		s.reject(c, fatalError("login", codeTooMany, "too many connections", nil))
		return
	}
	if s.pendingLogins.Add(1) > int64(s.cfg.MaxUnauthenticated) {
		s.pendingLogins.Add(-1)
		s.metrics.increment("logins_refused")
		s.reject(c, fatalError("login", codeTooMany, "too many connections are logging in", nil))
		return
	}
	s.trackHandshake(c, true)
	sess, err := s.login(c)
	s.trackHandshake(c, false)
	s.pendingLogins.Add(-1)
	if err != nil || sess == nil {
		return
	}
	defer s.unregister(sess)
	sess.serve()
}

// reject answers a connection whose startup message is not read.
func (s *Server) reject(c net.Conn, e *Error) {
	_ = c.SetDeadline(time.Now().Add(lingerTimeout))
	if b, err := e.response().Encode(nil); err == nil {
		_, _ = c.Write(b)
	}
	linger(c)
}

// track notes whether a connection is logging in.
func (s *Server) trackHandshake(c net.Conn, pending bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if pending {
		s.handshakes[c] = true
		return
	}
	delete(s.handshakes, c)
}

func drainError() *Error {
	return fatalError("drain", codeShutdown, "the proxy is being stopped; connect again", nil)
}

const (
	// sessionBits is the part of a process id that numbers a VM's sessions.
	sessionBits = 16
	sessionMask = 1<<sessionBits - 1
)

// add gives the session a process id; it reports false when the server drains
// or no id is left.
func (s *Server) register(sess *session) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.draining || len(s.sessions) > sessionMask {
		return false
	}
	for {
		id := s.cfg.VMNumber<<sessionBits | s.nextID&sessionMask
		s.nextID++
		if s.sessions[id] == nil {
			sess.processID = id
			s.sessions[id] = sess
			return true
		}
	}
}

func (s *Server) unregister(sess *session) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.sessions, sess.processID)
	s.signalDrained()
}

// checkEmpty tells Drain about the last session; the caller holds the lock.
func (s *Server) signalDrained() {
	if s.draining && len(s.sessions) == 0 {
		select {
		case <-s.drained:
		default:
			close(s.drained)
		}
	}
}

func (s *Server) sessionList() []*session {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Collect(maps.Values(s.sessions))
}

// Sessions returns the number of sessions.
func (s *Server) SessionCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.sessions)
}

// sweep ends idle sessions whose key was withdrawn. The result for one key
// serves all of its sessions.
func (s *Server) sweepSessions() {
	tick := time.NewTicker(sweepInterval)
	defer tick.Stop()
	for {
		select {
		case <-tick.C:
		case <-s.ctx.Done():
			return
		}
		checked := map[access.Grant]error{}
		for _, sess := range s.sessionList() {
			g := sess.currentAuth()
			err, ok := checked[g]
			if !ok {
				err = s.cfg.Access.Check(g)
				checked[g] = err
			}
			if err == nil {
				continue
			}
			if e := authorizationError(err); e.Fatal {
				sess.requestEnd(e, true)
			}
		}
	}
}

// Drain takes no more callers, lets transactions finish, and ends sessions
// between transactions with 57P01. It returns when no session is left, or when
// ctx ends, in which case the rest is cut off; their number is returned.
func (s *Server) Drain(ctx context.Context) (cut int) {
	s.mu.Lock()
	s.draining = true
	s.signalDrained()
	s.mu.Unlock()
	for _, sess := range s.sessionList() {
		sess.requestEnd(drainError(), false)
	}
	select {
	case <-s.drained:
	case <-ctx.Done():
		for _, sess := range s.sessionList() {
			_ = sess.conn.Close()
			cut++
		}
	}
	s.Close()
	return cut
}

// background runs f on the worker pool; it reports false when the work has
// been ended.
func (s *Server) startTask(f func()) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.ctx.Err() != nil {
		return false
	}
	s.tasks.Add(1)
	task := func() {
		defer s.tasks.Done()
		f()
	}
	if s.workers.Go(task) != nil {
		s.tasks.Done()
		return false
	}
	return true
}

// end makes background start nothing more.
func (s *Server) stopTasks() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stop()
}

// Close ends the background work and cuts off all sessions.
func (s *Server) Close() {
	s.stopTasks()
	s.closeHandshakes()
	for _, sess := range s.sessionList() {
		_ = sess.conn.Close()
	}
	s.tasks.Wait()
}

// closeHandshakes closes the connections that have not logged in.
func (s *Server) closeHandshakes() {
	s.mu.Lock()
	list := slices.Collect(maps.Keys(s.handshakes))
	s.mu.Unlock()
	for _, c := range list {
		_ = c.Close()
	}
}

// VMNumber returns the number of the VM that gave out a cancel key with this
// process id.
func VMNumber(processID uint32) uint32 { return processID >> sessionBits }

// Cancel cancels what the session with this cancel key runs, and reports
// whether there is such a session on this VM.
func (s *Server) Cancel(processID uint32, secret []byte) bool {
	s.mu.Lock()
	sess := s.sessions[processID]
	s.mu.Unlock()
	if sess == nil || !sess.matchesSecret(secret) {
		return false
	}
	sess.cancel()
	return true
}

// handleCancel serves a cancel request of a caller.
func (s *Server) handleCancel(m *pgproto3.CancelRequest) {
	if VMNumber(m.ProcessID) != s.cfg.VMNumber {
		if s.cfg.CancelForwarder != nil {
			ctx, stop := context.WithTimeout(s.ctx, s.cfg.HandshakeTimeout)
			defer stop()
			s.cfg.CancelForwarder.Forward(ctx, m.ProcessID, m.SecretKey)
		}
		return
	}
	s.Cancel(m.ProcessID, m.SecretKey)
}
