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
	"chervilspan.example/internal/guard"
	"chervilspan.example/pkg/access"
	"chervilspan.example/pkg/stmt"
)

// Server serves callers. Its methods may be called from several goroutines.
type Server struct {
	cfg        Config
	classifier stmt.Cache
	metrics    *statementMetrics
	workers    pond.Pool
	// tasks counts the running background tasks. Stopping the worker pool would
	// wait through a pool that is global to the process, which tests with a fake
	// clock can't do.
	tasks sync.WaitGroup
	ctx   context.Context
	stop  context.CancelFunc

	// pendingLogins counts the connections that have not logged in.
	pendingLogins atomic.Int64
	// rejections counts the connections that are being told that there are too many.
	rejections atomic.Int64

	mu       sync.Mutex
	sessions map[uint32]*session
	// handshakes has the connections that have not logged in.
	handshakes map[net.Conn]bool
	nextID     uint32
	draining   bool
	// drained is closed when the last session ends while the server drains.
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

// acceptRetryDelay keeps a failing Accept, such as one out of file descriptors, from
// being retried in a busy loop.
const acceptRetryDelay = 50 * time.Millisecond

// ServeConn serves one connection until it or the session ends, and closes it. A panic
// ends only this connection.
func (s *Server) ServeConn(c net.Conn) {
	defer guard.Recover(s.cfg.Log, "caller", "", nil)
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
	sess, err := s.trackedLogin(c)
	if err != nil || sess == nil {
		return
	}
	defer s.unregister(sess)
	defer sess.abortTx() // does nothing unless serve ended in a panic
	sess.serve()
}

// trackedLogin performs the login of a connection that is counted in pendingLogins, and
// ends the count.
func (s *Server) trackedLogin(c net.Conn) (*session, error) {
	defer s.pendingLogins.Add(-1)
	s.trackHandshake(c, true)
	defer s.trackHandshake(c, false)
	return s.login(c)
}

// reject answers a connection with an error without reading its startup message. While
// MaxUnauthenticated others are being answered, it does nothing.
func (s *Server) reject(c net.Conn, e *Error) {
	defer s.rejections.Add(-1)
	if s.rejections.Add(1) > int64(s.cfg.MaxUnauthenticated) {
		return
	}
	_ = c.SetDeadline(time.Now().Add(lingerTimeout))
	if b, err := e.response().Encode(nil); err == nil {
		_, _ = c.Write(b)
	}
	linger(c)
}

// trackHandshake records whether a connection is logging in.
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
	// sessionBits is the number of low bits of a process id that number the
	// sessions of a VM; the other bits hold the VM's number.
	sessionBits = 16
	sessionMask = 1<<sessionBits - 1
)

// register assigns a process id to the session. It reports false when the server
// drains or no id is left.
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

// signalDrained wakes Drain once no session is left; the caller holds the lock.
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

// SessionCount returns the number of callers that are logged in.
func (s *Server) SessionCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.sessions)
}

// sweepSessions ends sessions whose key was withdrawn, so that idle ones end too.
// Sessions with equal authorizations share one check.
func (s *Server) sweepSessions() {
	tick := time.NewTicker(sweepInterval)
	defer tick.Stop()
	for {
		select {
		case <-tick.C:
		case <-s.ctx.Done():
			return
		}
		checked := map[access.Authorization]error{}
		for _, sess := range s.sessionList() {
			auth := sess.currentAuth()
			err, ok := checked[auth]
			if !ok {
				err = s.cfg.Access.Check(auth)
				checked[auth] = err
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

// Drain accepts no more logins, lets open transactions finish, and ends sessions
// that are between transactions with 57P01. It returns when no session is left or
// when ctx ends. In the latter case it closes the remaining connections and returns
// their number.
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

// startTask runs f on the worker pool. It reports false, and f does not run, when
// the server has been closed.
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

// stopTasks cancels the background tasks and makes startTask refuse new ones.
func (s *Server) stopTasks() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stop()
}

// Close stops the background tasks and closes the connections of all callers.
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

// VMNumber returns the number of the VM that issued the cancel key with this process
// id.
func VMNumber(processID uint32) uint32 { return processID >> sessionBits }

// Cancel cancels the unit that the session with this cancel key is running, and
// reports whether there is such a session on this VM.
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

// handleCancel serves a caller's cancel request, here or by the VM of its session.
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
