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
	slots  slots
	faults faults
	stats  counters
	ctx    context.Context
	stop   context.CancelFunc
	wg     sync.WaitGroup

	mu      sync.Mutex
	state   repl.State
	changed chan struct{} // closed and replaced at every change
	head    *sqldb.DB     // the committed rows, and the open write on top
	writer  *txn
	keys    map[string]*txn // idempotency keys of open transactions
	pending []arrived
	marks   []mark
	freshAt time.Time
	contact time.Time
	heard   map[ident.Target]time.Time

	// write has room for the one writing transaction.
	write chan struct{}

	dataMu  sync.Mutex
	data    *sqldb.DB // the rows that readers see
	applied ident.Position
	hidden  bool
	once    map[string]repl.IdempotencyRecord

	sessionsMu sync.Mutex
	sessions   map[uint32]*session
	lastID     uint32
}

// New starts a target. With a data directory it takes up the log, the promises
// and the role that it had. Errors are of kind KindConfig, KindListen or
// KindData.
func New(cfg Config) (*Server, error) {
	cfg, err := cfg.withDefaults()
	if err != nil {
		return nil, err
	}
	s := &Server{
		cfg:      cfg,
		changed:  make(chan struct{}),
		keys:     map[string]*txn{},
		heard:    map[ident.Target]time.Time{},
		write:    make(chan struct{}, 1),
		once:     map[string]repl.IdempotencyRecord{},
		sessions: map[uint32]*session{},
	}
	s.slots.limit = int(cfg.Slots)
	s.faults.lag, s.faults.service, s.faults.connect = cfg.Lag, cfg.ServiceTime, cfg.ConnectDelay
	s.faults.connections = int(cfg.ConnLimit)
	if err := s.load(); err != nil {
		return nil, err
	}
	if s.ln = cfg.Listener; s.ln == nil {
		if s.ln, err = net.Listen("tcp", cfg.Listen); err != nil {
			s.closeData()
			return nil, &Error{Op: "listen", Kind: KindListen, Text: err.Error()}
		}
	}
	s.ctx, s.stop = context.WithCancel(context.Background())
	for _, loop := range []func(){s.acceptLoop, s.pullLoop, s.applyLoop} {
		s.wg.Go(loop)
	}
	evlog.At(cfg.Log, evlog.StandinStarted).Str("target", string(cfg.ID)).Str("address", s.Addr()).Send()
	return s, nil
}

// load opens the databases and takes up what the data directory holds.
func (s *Server) load() (err error) {
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

// Close stops the target at once: all connections are closed.
func (s *Server) Close() error {
	s.stop()
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

// wake tells all waiters that something changed. The caller holds mu.
func (s *Server) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *Server) broadcast() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.wake()
}

// diskResult stops the target when its data directory can't be written, so
// that it never acts on a promise that it may forget.
func (s *Server) diskResult(err error) {
	if err == nil {
		return
	}
	evlog.At(s.cfg.Log, evlog.StandinDiskFailed).Str("target", string(s.cfg.ID)).Err(err).Send()
	s.stop()
	_ = s.ln.Close()
	s.eachSession(func(c *session) { _ = c.conn.Close() })
}

func (s *Server) acceptLoop() {
	for {
		conn, err := s.ln.Accept()
		if err != nil {
			return
		}
		s.wg.Go(func() { s.serve(conn) })
	}
}

func (s *Server) serve(conn net.Conn) {
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

// admit counts a connection of a caller; ok is false when there are too many.
func (s *Server) admit(c *session) (ok bool) {
	limit := s.faults.snapshot().connections
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

// disconnect closes the n oldest connections of callers.
func (s *Server) disconnect(n int) {
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
