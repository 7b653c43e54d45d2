package dbpool

import (
	"errors"
	"sync"
	"sync/atomic"
	"time"

	"chervilspan.example/pkg/dbop"
	"chervilspan.example/pkg/ident"
	"chervilspan.example/pkg/roster"
)

// Pools has the connections of one VM to all databases. Its fields are set
// before the first use; its methods may be called from several goroutines.
type Pools struct {
	Dialer Dialer
	Roster *roster.Table
	// Limit returns the number of connections that this VM may have to a
	// database.
	ConnLimit func(*roster.Member) int

	// Dialing, unless nil, returns the greatest number of connections to a
	// database that may begin at once; 0 stands for any.
	DialLimit func(*roster.Member) int
	// Lender, unless nil, is asked for connections of other VMs first.
	Lender Lender

	// Dials counts attempts to open a connection.
	Dials atomic.Uint64

	mu    sync.Mutex
	pools map[key]*pool
}

// key names a process of a database: one that starts again has none of the
// former's connections.
type key struct {
	target  ident.Target
	address string
	born    int64
}

// Lender gets connections that other VMs hold.
type Lender interface {
	// Borrow returns a connection that another VM holds. ok is false when this
	// VM is to use its own. The error is an *Error; nothing was run then.
	Borrow(deadline time.Time, m *roster.Member, ws ident.Workspace, owner Owner) (l LentConn, ok bool, err error)
	// Load returns what is known of the load of a database that this VM borrows
	// connections to. ok is false when this VM is to use its own.
	Load(m *roster.Member, ws ident.Workspace) (l Load, ok bool)
}

// Get returns a connection of a workspace to a database; "" takes a connection
// of any. owner is preferred to get the connection that it used last. It
// returns an *Error when there is none by the deadline; nothing was run then.
func (s *Pools) Get(deadline time.Time, m *roster.Member, ws ident.Workspace, owner Owner) (*Conn, error) {
	if s.Lender == nil {
		return s.GetLocal(deadline, m, ws, owner)
	}
	l, ok, err := s.Lender.Borrow(deadline, m, ws, owner)
	if !ok {
		return s.GetLocal(deadline, m, ws, owner)
	}
	if err != nil {
		var e *Error
		if errors.As(err, &e) && e.Kind == KindUnreachable {
			s.Roster.RecordFailure(m.Group, m.ID, time.Now())
		}
		return nil, err
	}
	s.Roster.RecordAnswer(m.Group, m.ID)
	return &Conn{
		back: l.Return, link: l.Link, Target: m.ID, Group: m.Group, Workspace: ws,
		Vars: l.Vars, Prepared: l.Prepared, answered: time.Now().Add(-l.AnswerAge), owner: owner,
	}, nil
}

// GetLocal is Get without connections of other VMs.
func (s *Pools) GetLocal(deadline time.Time, m *roster.Member, ws ident.Workspace, owner Owner) (*Conn, error) {
	return s.of(m).get(deadline, ws, owner)
}

func (s *Pools) of(m *roster.Member) *pool {
	k := key{m.ID, m.Address, m.ProcessStart}
	s.mu.Lock()
	defer s.mu.Unlock()
	p := s.pools[k]
	if p == nil {
		if s.pools == nil {
			s.pools = map[key]*pool{}
		}
		p = &pool{parent: s, member: *m}
		s.pools[k] = p
	}
	return p
}

func (s *Pools) dialBound(m *roster.Member) int {
	if s.DialLimit == nil {
		return 0
	}
	return s.DialLimit(m)
}

func (s *Pools) noteDial(m *roster.Member, code dbop.Code, err error) {
	s.Dials.Add(1)
	switch {
	case errors.Is(err, ErrStartTimeout):
	case err != nil || code == dbop.WrongTarget:
		s.Roster.RecordFailure(m.Group, m.ID, time.Now())
	case code == dbop.OK:
		s.Roster.RecordAnswer(m.Group, m.ID)
	}
}

// Load is what this VM does at a database.
type Load struct {
	// Busy is the number of connections in use, Waiting the number of requests
	// that wait for one.
	Busy, Waiting int
	// Idle tells that a connection of the workspace is free.
	HasIdle bool
	// Full tells that no further connection may be opened.
	Full bool
	// Faults is the part of the statements that failed lately, from 0 to 1.
	FailureRate float64
}

// Load returns the load of a database as a request of the workspace sees it.
func (s *Pools) Load(m *roster.Member, ws ident.Workspace) Load {
	if s.Lender != nil {
		if l, ok := s.Lender.Load(m, ws); ok {
			return l
		}
	}
	return s.LocalLoad(m, ws)
}

// LocalLoad is Load of this VM's own connections.
func (s *Pools) LocalLoad(m *roster.Member, ws ident.Workspace) Load {
	p := s.of(m)
	limit := s.ConnLimit(m)
	p.mu.Lock()
	defer p.mu.Unlock()
	l := Load{Busy: p.busy(), Waiting: len(p.wait), Full: p.open() >= limit && len(p.idle) == 0, FailureRate: p.faults.part(time.Now())}
	for _, c := range p.idle {
		l.HasIdle = l.HasIdle || c.Workspace == ws
	}
	return l
}

// CloseIdleIfSilent closes the idle connections to a database, which did not answer
// statements that were sent at a time, unless it answered others since.
func (s *Pools) CloseIdleIfSilent(m *roster.Member, sent time.Time) { s.of(m).dropSilent(sent) }

// Sweep closes connections that were idle for long, and the pools of databases
// that keep reports false for.
func (s *Pools) Sweep(keep func(ident.Group, ident.Target, string, int64) bool) {
	s.mu.Lock()
	var gone, stay []*pool
	for k, p := range s.pools {
		if keep(p.member.Group, k.target, k.address, k.born) {
			stay = append(stay, p)
			continue
		}
		gone = append(gone, p)
		delete(s.pools, k)
	}
	s.mu.Unlock()
	for _, p := range gone {
		p.close()
	}
	for _, p := range stay {
		p.sweep()
	}
}

// Close closes all pools.
func (s *Pools) Close() {
	s.Sweep(func(ident.Group, ident.Target, string, int64) bool { return false })
}
