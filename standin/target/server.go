package target

import (
	"context"
	"net"
	"slices"
	"sync"
	"time"

	"chervilspan.example/internal/evlog"
	"chervilspan.example/pkg/ident"
	"chervilspan.example/standin/repl"
	"chervilspan.example/standin/sqldb"
)

// Server is a running target.
//
// Locks are taken in this order: mu, dataMu, sessionsMu, faults.mu.
type Server struct {
	cfg    Config
	ln     net.Listener
	disk   *disk
	slots  slotLimiter
	faults faultState
	stats  counters
	ctx    context.Context
	cancel context.CancelFunc
	wg     sync.WaitGroup

	mu           sync.Mutex
	state        repl.State
	stateChanged chan struct{}   // closed and replaced at every change
	head         *sqldb.DB       // the committed rows plus the changes of writer
	writer       *txn            // the transaction that holds writeLock
	openKeys     map[string]*txn // idempotency keys of open transactions
	unapplied    []unappliedEntry
	endMarks     []endMark
	dataAsOf     time.Time                  // the data is complete up to this time; zero if unknown
	lastContact  time.Time                  // the latest answer from a primary, or the loss of the own role
	lastPull     map[ident.Target]time.Time // by follower, in the present term

	// writeLock holds one element while a transaction writes.
	writeLock chan struct{}

	dataMu        sync.Mutex
	data          *sqldb.DB // the committed and applied rows, used by reads
	applied       ident.Position
	readsBlocked  bool
	committedKeys map[string]repl.IdempotencyRecord

	sessionsMu sync.Mutex
	sessions   map[uint32]*session
	lastID     uint32
}

// New starts a target. With a data directory it restores the log, the promised
// term and the role from there. Errors are of kind KindConfig, KindListen or
// KindStorage.
func New(cfg Config) (*Server, error) {
	cfg, err := cfg.withDefaults()
	if err != nil {
		return nil, err
	}
	s := &Server{
		cfg:           cfg,
		stateChanged:  make(chan struct{}),
		openKeys:      map[string]*txn{},
		lastPull:      map[ident.Target]time.Time{},
		writeLock:     make(chan struct{}, 1),
		committedKeys: map[string]repl.IdempotencyRecord{},
		sessions:      map[uint32]*session{},
	}
	s.slots.limit = int(cfg.Slots)
	s.faults.lag, s.faults.serviceTime, s.faults.connectDelay = cfg.Lag, cfg.ServiceTime, cfg.ConnectDelay
	s.faults.connLimit = int(cfg.ConnLimit)
	if err := s.openDatabases(); err != nil {
		return nil, err
	}
	if s.ln = cfg.Listener; s.ln == nil {
		if s.ln, err = net.Listen("tcp", cfg.Listen); err != nil {
			s.closeData()
			return nil, &Error{Op: "listen", Kind: KindListen, Text: err.Error()}
		}
	}
	s.ctx, s.cancel = context.WithCancel(context.Background())
	for _, loop := range []func(){s.acceptLoop, s.pullLoop, s.applyLoop} {
		s.wg.Go(loop)
	}
	evlog.At(cfg.Log, evlog.StandinStarted).Str("target", string(cfg.ID)).Str("address", s.Addr()).Send()
	return s, nil
}

// openDatabases opens both databases and restores the log and the durable state
// from the data directory.
func (s *Server) openDatabases() (err error) {
	if s.data, err = sqldb.Open(); err != nil {
		return err
	}
	if s.head, err = sqldb.Open(); err != nil {
		return err
	}
	s.state.Self = s.cfg.ID
	if s.disk, s.state.Durable, s.state.Log, err = openDisk(s.cfg.DataDir); err != nil {
		return err
	}
	for i := range s.state.Log {
		if err := s.apply(&s.state.Log[i]); err != nil {
			return err
		}
	}
	s.state.Resume()
	return s.head.CopyFrom(s.data)
}

// Addr returns the address that the target listens on.
func (s *Server) Addr() string { return s.ln.Addr().String() }

// ID returns the target's identifier.
func (s *Server) ID() ident.Target { return s.cfg.ID }

// Close stops the target at once and closes all connections.
func (s *Server) Close() error {
	s.cancel()
	err := s.ln.Close()
	s.eachSession(func(c *session) { _ = c.conn.Close() })
	s.wg.Wait()
	s.closeData()
	return err
}

func (s *Server) closeData() {
	_ = s.data.Close()
	_ = s.head.Close()
	s.disk.close()
}

// notifyChange wakes all goroutines that wait on stateChanged. The caller holds
// mu.
func (s *Server) notifyChange() {
	close(s.stateChanged)
	s.stateChanged = make(chan struct{})
}

func (s *Server) lockAndNotify() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.notifyChange()
}

// stopOnStorageError stops the target if err is not nil, so that it never acts
// on a promise that is not in its data directory.
func (s *Server) stopOnStorageError(err error) {
	if err == nil {
		return
	}
	evlog.At(s.cfg.Log, evlog.StandinDiskFailed).Str("target", string(s.cfg.ID)).Err(err).Send()
	s.cancel()
	_ = s.ln.Close()
	s.eachSession(func(c *session) { _ = c.conn.Close() })
}

func (s *Server) acceptLoop() {
	for {
		conn, err := s.ln.Accept()
		if err != nil {
			return
		}
		s.wg.Go(func() { s.serveConn(conn) })
	}
}

func (s *Server) serveConn(conn net.Conn) {
	c := newSession(s, conn)
	s.sessionsMu.Lock()
	s.lastID++
	c.id = s.lastID
	s.sessions[c.id] = c
	s.sessionsMu.Unlock()
	if s.ctx.Err() == nil {
		c.run()
	}
	_ = conn.Close()
	s.sessionsMu.Lock()
	delete(s.sessions, c.id)
	s.sessionsMu.Unlock()
}

func (s *Server) eachSession(f func(*session)) {
	s.sessionsMu.Lock()
	defer s.sessionsMu.Unlock()
	for _, c := range s.sessions {
		f(c)
	}
}

// countConn counts a connection of a caller towards the limit; ok is false when
// the limit is reached.
func (s *Server) countConn(c *session) (ok bool) {
	limit := s.faults.values().connLimit
	s.sessionsMu.Lock()
	defer s.sessionsMu.Unlock()
	n := 0
	for _, o := range s.sessions {
		if o.counted {
			n++
		}
	}
	c.counted = n < limit
	if c.counted {
		s.stats.accepted.Add(1)
	}
	return c.counted
}

// closeOldest closes the n oldest connections of callers.
func (s *Server) closeOldest(n int) {
	s.sessionsMu.Lock()
	defer s.sessionsMu.Unlock()
	ids := make([]uint32, 0, len(s.sessions))
	for id, c := range s.sessions {
		if c.counted {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	for _, id := range ids[:min(n, len(ids))] {
		_ = s.sessions[id].conn.Close()
	}
}
