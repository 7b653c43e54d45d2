package engine

import (
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"chervilspan.example/internal/dbpool"
	"chervilspan.example/pkg/dbop"
)

// phase of a planned stop.
type phase int32

const (
	running phase = iota
	// closingIdle ends sessions that are between two operations.
	closingIdle
	// closingAll ends sessions in a transaction too.
	closingAll
)

// Engine serves sessions. Its methods may be called from several goroutines.
type Engine struct {
	cfg   Config
	phase atomic.Int32
	// begun is when the Engine was made.
	begun time.Time

	mu       sync.Mutex
	sessions map[*Session]bool
	// empty is closed by the last session that ends during a stop.
	empty chan struct{}
}

// New returns an Engine.
func New(cfg Config) *Engine {
	if cfg.Clock == nil {
		cfg.Clock = time.Now
	}
	if cfg.Meter == nil {
		cfg.Meter = noMeter{}
	}
	return &Engine{cfg: cfg, begun: time.Now(), sessions: map[*Session]bool{}}
}

// startWait bounds the wait of a login for the VM's start. Callers give up after
// two seconds.
const startWait = 1500 * time.Millisecond

// awaitStart waits until the VM is ready to serve.
func (e *Engine) awaitStart() {
	if e.cfg.Ready == nil {
		return
	}
	select {
	case <-e.cfg.Ready:
		return
	default:
	}
	t := time.NewTimer(startWait)
	defer t.Stop()
	select {
	case <-e.cfg.Ready:
	case <-t.C:
	}
}

// Open checks a login and returns the session, or the refusal to send.
func (e *Engine) Open(l Login, c Caller) (*Session, *dbop.Answer) {
	e.awaitStart()
	s := &Session{e: e, caller: c, login: l, owner: dbpool.Owner(rand.Uint64())}
	if a := s.authorize(); a != nil {
		e.logLogin(l.Route, a)
		return nil, a
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if phase(e.phase.Load()) != running {
		return nil, &dbop.Answer{Code: dbop.Busy, Text: "the proxy is stopping; retry now at another"}
	}
	e.sessions[s] = true
	return s, nil
}

func (e *Engine) remove(s *Session) {
	e.mu.Lock()
	defer e.mu.Unlock()
	delete(e.sessions, s)
	if len(e.sessions) == 0 && e.empty != nil {
		close(e.empty)
		e.empty = nil
	}
}

// Sessions returns the number of sessions.
func (e *Engine) Sessions() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return len(e.sessions)
}

// CloseIdle ends the sessions as they come between two operations.
func (e *Engine) CloseIdle() { e.advance(closingIdle) }

// CloseAll ends the sessions as they come between two statements. Open
// transactions are rolled back.
func (e *Engine) CloseAll() { e.advance(closingAll) }

func (e *Engine) advance(p phase) {
	e.phase.Store(int32(p))
	e.mu.Lock()
	defer e.mu.Unlock()
	for s := range e.sessions {
		s.caller.Interrupt()
	}
}

// Wait returns when no session is left, or at the deadline. It returns the
// number of sessions that are left.
func (e *Engine) Wait(deadline time.Time) int {
	e.mu.Lock()
	if len(e.sessions) == 0 {
		e.mu.Unlock()
		return 0
	}
	if e.empty == nil {
		e.empty = make(chan struct{})
	}
	empty := e.empty
	e.mu.Unlock()
	t := time.NewTimer(time.Until(deadline))
	defer t.Stop()
	select {
	case <-empty:
		return 0
	case <-t.C:
		return e.Sessions()
	}
}
