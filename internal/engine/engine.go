package engine

import (
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"chervilspan.example/internal/dbpool"
	"chervilspan.example/internal/evlog"
	"chervilspan.example/pkg/budget"
	"chervilspan.example/pkg/dbop"
	"chervilspan.example/pkg/ident"
)

// stopPhase is the phase of a planned stop.
type stopPhase int32

const (
	running stopPhase = iota
	// closingIdle ends sessions between two operations.
	closingIdle
	// closingAll also ends sessions with an open transaction.
	closingAll
)

// Engine serves sessions. Its methods may be called from several goroutines.
type Engine struct {
	cfg   Config
	phase atomic.Int32
	// answersBy is when the last statements have to be answered; nil unless the VM stops.
	answersBy atomic.Pointer[time.Time]
	// started is when New was called.
	started  time.Time
	absences absences
	// rejections limits the lines about rejected messages, wrongLines those about wrong
	// statements of all sessions, loginLines those about refused logins.
	rejections, wrongLines, loginLines evlog.Limiter
	// state limits the memory of the variables and prepared statements of all sessions.
	state budget.Budget

	// evacuationRefusals counts the statements refused because of an evacuation.
	evacuationRefusals atomic.Uint64

	mu       sync.Mutex
	sessions map[*Session]bool
	// recheckedAt is when a group's primary was last asked about by recheckPrimary.
	recheckedAt map[ident.Group]time.Time
	// drained is created by Wait and closed when the last session ends.
	drained chan struct{}
}

// New returns an Engine.
func New(cfg Config) *Engine {
	if cfg.Clock == nil {
		cfg.Clock = time.Now
	}
	if cfg.Meter == nil {
		cfg.Meter = noMeter{}
	}
	return &Engine{
		cfg: cfg, started: time.Now(), sessions: map[*Session]bool{}, recheckedAt: map[ident.Group]time.Time{},
		wrongLines: evlog.Limiter{Interval: wrongLogInterval}, loginLines: evlog.Limiter{Interval: wrongLogInterval},
		state: budget.Budget{Size: budget.OfMemoryLimit()},
	}
}

// readyTimeout bounds how long a login waits for the VM to become ready. It is
// below the login timeout of callers, 2 s.
const readyTimeout = 1500 * time.Millisecond

// awaitReady waits until the VM is ready to serve, for up to readyTimeout.
func (e *Engine) awaitReady() {
	if e.cfg.Ready == nil {
		return
	}
	select {
	case <-e.cfg.Ready:
		return
	default:
	}
	t := time.NewTimer(readyTimeout)
	defer t.Stop()
	select {
	case <-e.cfg.Ready:
	case <-t.C:
	}
}

// Open authorizes a login and returns a session, or the refusal to send to the
// caller.
func (e *Engine) Open(l Login, c Caller) (*Session, *dbop.Answer) {
	e.awaitReady()
	s := &Session{e: e, caller: c, login: l, owner: dbpool.Owner(rand.Uint64())}
	if g, ok := c.(goneReporter); ok {
		s.gone = g.Gone
	}
	if a := s.authorize(); a != nil {
		e.logLogin(l.Route, a)
		return nil, a
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if stopPhase(e.phase.Load()) != running {
		return nil, &dbop.Answer{Code: dbop.Busy, Text: "the proxy is stopping; retry now at another"}
	}
	e.sessions[s] = true
	return s, nil
}

// Workspace returns the workspace of the caller's key, empty if it has none. Serve must
// not have been called.
func (s *Session) Workspace() ident.Workspace { return s.auth.Workspace }

func (e *Engine) remove(s *Session) {
	e.mu.Lock()
	defer e.mu.Unlock()
	delete(e.sessions, s)
	if len(e.sessions) == 0 && e.drained != nil {
		close(e.drained)
		e.drained = nil
	}
}

// Sessions returns the number of sessions.
func (e *Engine) Sessions() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return len(e.sessions)
}

// CloseIdle ends each session as soon as it is between two operations and has no
// open transaction.
func (e *Engine) CloseIdle() { e.enterPhase(closingIdle) }

// CloseAll ends each session as soon as it is between two statements. Open
// transactions are rolled back.
func (e *Engine) CloseAll() { e.enterPhase(closingAll) }

// AnswerBy makes the engine answer every statement by a time: one that still waits for a
// database then is refused as not run, in place of being cut off.
func (e *Engine) AnswerBy(t time.Time) { e.answersBy.Store(&t) }

func (e *Engine) enterPhase(p stopPhase) {
	e.phase.Store(int32(p))
	e.mu.Lock()
	defer e.mu.Unlock()
	for s := range e.sessions {
		s.caller.Interrupt()
	}
}

// Wait blocks until all sessions have ended or the deadline passes, and returns
// the number of remaining sessions.
func (e *Engine) Wait(deadline time.Time) int {
	e.mu.Lock()
	if len(e.sessions) == 0 {
		e.mu.Unlock()
		return 0
	}
	if e.drained == nil {
		e.drained = make(chan struct{})
	}
	empty := e.drained
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
