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
	cfg     Config
	classes stmt.Cache
	meter   *meter
	work    pond.Pool
	// tasks counts the background work. The pool's own stop waits through a
	// pool that is global to the process, which tests with a paused clock can't.
	tasks sync.WaitGroup
	ctx   context.Context
	stop  context.CancelFunc

	// logins counts connections that have not logged in.
	logins atomic.Int64

	mu       sync.Mutex
	sessions map[uint32]*session
	// handshakes has the connections that have not logged in.
	handshakes map[net.Conn]bool
	nextID     uint32
	draining   bool
	// empty is closed by the last session that ends while draining.
	empty chan struct{}
}

// New returns a server. Close or Drain ends its background work.
func New(cfg Config) *Server {
	ctx, stop := context.WithCancel(context.Background())
	s := &Server{
		cfg: cfg.withDefaults(), work: pond.NewPool(0), ctx: ctx, stop: stop,
		sessions: map[uint32]*session{}, handshakes: map[net.Conn]bool{}, empty: make(chan struct{}),
	}
	s.meter = newMeter(s.cfg.Scope)
	s.background(s.sweep)
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
			case <-time.After(acceptPause):
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
const acceptPause = 50 * time.Millisecond

// ServeConn serves one connection and closes it.
func (s *Server) ServeConn(c net.Conn) {
	defer c.Close()
	if n := s.cfg.MaxSessions; n > 0 && s.SessionCount() >= n {
		s.meter.count("logins_refused")
		s.reject(c, fatal("login", codeQueue, "too many connections", nil))
		return
	}
	if s.logins.Add(1) > int64(s.cfg.MaxUnauthenticated) {
		s.logins.Add(-1)
		s.meter.count("logins_refused")
		s.reject(c, fatal("login", codeQueue, "too many connections are logging in", nil))
		return
	}
	s.track(c, true)
	sess, err := s.login(c)
	s.track(c, false)
	s.logins.Add(-1)
	if err != nil || sess == nil {
		return
	}
	defer s.remove(sess)
	sess.serve()
}

// reject answers a connection whose startup message is not read.
func (s *Server) reject(c net.Conn, e *Error) {
	_ = c.SetDeadline(time.Now().Add(lingerTime))
	if b, err := e.response().Encode(nil); err == nil {
		_, _ = c.Write(b)
	}
	linger(c)
}

// track notes whether a connection is logging in.
func (s *Server) track(c net.Conn, on bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if on {
		s.handshakes[c] = true
		return
	}
	delete(s.handshakes, c)
}

func errDraining() *Error {
	return fatal("drain", codeDrain, "the proxy is being stopped; connect again", nil)
}

const (
	// sessionBits is the part of a process id that numbers a VM's sessions.
	sessionBits = 16
	sessionMask = 1<<sessionBits - 1
)

// add gives the session a process id; it reports false when the server drains
// or no id is left.
func (s *Server) add(sess *session) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.draining || len(s.sessions) > sessionMask {
		return false
	}
	for {
		id := s.cfg.VMNumber<<sessionBits | s.nextID&sessionMask
		s.nextID++
		if s.sessions[id] == nil {
			sess.pid = id
			s.sessions[id] = sess
			return true
		}
	}
}

func (s *Server) remove(sess *session) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.sessions, sess.pid)
	s.checkEmpty()
}

// checkEmpty tells Drain about the last session; the caller holds the lock.
func (s *Server) checkEmpty() {
	if s.draining && len(s.sessions) == 0 {
		select {
		case <-s.empty:
		default:
			close(s.empty)
		}
	}
}

func (s *Server) all() []*session {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Collect(maps.Values(s.sessions))
}

// SessionCount returns the number of sessions.
func (s *Server) SessionCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.sessions)
}

// sweep ends idle sessions whose key was withdrawn. The result for one key
// serves all of its sessions.
func (s *Server) sweep() {
	tick := time.NewTicker(sweepEvery)
	defer tick.Stop()
	for {
		select {
		case <-tick.C:
		case <-s.ctx.Done():
			return
		}
		checked := map[access.Authorization]error{}
		for _, sess := range s.all() {
			g := sess.currentGrant()
			err, ok := checked[g]
			if !ok {
				err = s.cfg.Access.Check(g)
				checked[g] = err
			}
			if err == nil {
				continue
			}
			if e := keyError(err); e.Fatal {
				sess.end(e, true)
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
	s.checkEmpty()
	s.mu.Unlock()
	for _, sess := range s.all() {
		sess.end(errDraining(), false)
	}
	select {
	case <-s.empty:
	case <-ctx.Done():
		for _, sess := range s.all() {
			_ = sess.conn.Close()
			cut++
		}
	}
	s.Close()
	return cut
}

// background runs f on the worker pool; it reports false when the work has
// been ended.
func (s *Server) background(f func()) bool {
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
	if s.work.Go(task) != nil {
		s.tasks.Done()
		return false
	}
	return true
}

// end makes background start nothing more.
func (s *Server) end() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stop()
}

// Close ends the background work and cuts off all sessions.
func (s *Server) Close() {
	s.end()
	s.closeHandshakes()
	for _, sess := range s.all() {
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
	if sess == nil || !sess.ownsSecret(secret) {
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
