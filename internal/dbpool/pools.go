package dbpool

import (
	"errors"
	"sync"
	"sync/atomic"
	"time"

	"chervilspan.example/pkg/dbop"
	"chervilspan.example/pkg/ident"
	"chervilspan.example/pkg/place"
	"chervilspan.example/pkg/roster"
)

// Pools holds the connections of one VM to all databases. Its fields must be set
// before the first use; its methods are safe for concurrent use.
type Pools struct {
	Dialer Dialer
	Roster *roster.Table
	// ConnLimit returns the greatest number of connections that this VM may have
	// to a database.
	ConnLimit func(*roster.Member) int

	// DialLimit, unless nil, returns the greatest number of connections to a
	// database that may be opened at the same time; 0 means no limit.
	DialLimit func(*roster.Member) int
	// Lender, unless nil, is asked for a connection of another VM before a local
	// one is used.
	Lender Lender
	// Turns, unless nil, orders the requests for local connections by priority.
	Turns Turns

	// Learns, unless nil, reports whether the learned speed of a database is used.
	Learns func(*roster.Member) bool

	// Guard, unless nil, is asked before a statement is sent on a local connection.
	Guard Guard

	// Commits, unless nil, is asked before a commit is sent on a local connection.
	Commits Commits

	// NotSent, unless nil, is told of messages to a database that were not sent because
	// they can't be encoded. The workspace is "" if the message is the proxy's own.
	NotSent func(m *roster.Member, ws ident.Workspace, err error)

	// Dials counts the attempts to open a connection.
	Dials atomic.Uint64

	learned learned

	mu    sync.Mutex
	pools map[poolKey]*pool
}

// poolKey identifies a database process. A restarted process gets a new pool,
// since it has none of the connections of its predecessor.
type poolKey struct {
	target       ident.Target
	address      string
	processStart int64
}

// Lender borrows connections that other VMs hold.
type Lender interface {
	// Borrow returns a connection that another VM holds. ok is false when this
	// VM must use a local connection. The error is an *Error; no statement was
	// run then.
	Borrow(deadline time.Time, m *roster.Member, r *Request) (l LentConn, ok bool, err error)
	// Load returns the known load of a database to which this VM borrows
	// connections. ok is false when this VM uses local connections.
	Load(m *roster.Member, ws ident.Workspace, allowed place.Regions) (l Load, ok bool)
	// Pressure returns what is known of the queue of the lender that would be asked.
	Pressure(m *roster.Member, ws ident.Workspace, allowed place.Regions) Pressure
}

// Anonymous stands for the workspace of callers without one. Their statements need
// connections of their own: on one of a workspace, a database would take them for
// statements of that workspace. The blank keeps it apart from the names of workspaces.
const Anonymous ident.Workspace = "no workspace"

// Request says for whom a connection is requested.
type Request struct {
	// Workspace "" accepts a connection of any workspace.
	Workspace ident.Workspace
	// Owner prefers the connection that it used last.
	Owner Owner
	// Scheduling is that of the first statement.
	Scheduling dbop.Scheduling
	// Allowed has the regions of the VMs to which the request may be sent, besides this
	// VM's own.
	Allowed place.Regions
}

// Get returns a connection of a workspace to a database; ws "" accepts a
// connection of any workspace. The connection that owner used last is preferred.
// Get returns an *Error when no connection is available by the deadline; no
// statement was run then.
func (s *Pools) Get(deadline time.Time, m *roster.Member, ws ident.Workspace, owner Owner) (*Conn, error) {
	return s.GetFor(deadline, m, &Request{Workspace: ws, Owner: owner})
}

// GetFor is like Get for a request, whose first statement waits for its turn if
// Scheduling.Ranked is set. An error of kind KindRefused and code Crowded means that the
// turn is not expected to come in time.
func (s *Pools) GetFor(deadline time.Time, m *roster.Member, r *Request) (*Conn, error) {
	if s.Lender == nil {
		return s.getInTurn(deadline, m, r)
	}
	l, ok, err := s.Lender.Borrow(deadline, m, r)
	if !ok {
		return s.getInTurn(deadline, m, r)
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
		borrowedBy: s, giveBack: l.Return, link: l.Link, Target: m.ID, Zone: m.Zone, Group: m.Group, Workspace: r.Workspace,
		Vars: l.Vars, Prepared: l.Prepared, answeredAt: time.Now().Add(-l.AnswerAge), owner: r.Owner,
	}, nil
}

// GetLocal is like Get but never borrows a connection of another VM.
func (s *Pools) GetLocal(deadline time.Time, m *roster.Member, ws ident.Workspace, owner Owner) (*Conn, error) {
	return s.poolOf(m).get(deadline, ws, owner)
}

func (s *Pools) poolOf(m *roster.Member) *pool {
	k := poolKey{m.ID, m.Address, m.ProcessStart}
	s.mu.Lock()
	defer s.mu.Unlock()
	p := s.pools[k]
	if p == nil {
		if s.pools == nil {
			s.pools = map[poolKey]*pool{}
		}
		p = &pool{parent: s, member: *m}
		s.pools[k] = p
	}
	return p
}

func (s *Pools) dialLimit(m *roster.Member) int {
	if s.DialLimit == nil {
		return 0
	}
	return s.DialLimit(m)
}

func (s *Pools) recordDial(m *roster.Member, code dbop.Code, err error) {
	s.Dials.Add(1)
	switch {
	case errors.Is(err, ErrStartTimeout), notSentCode(err) != dbop.OK:
	case err != nil || code == dbop.WrongTarget:
		s.Roster.RecordFailure(m.Group, m.ID, time.Now())
	case code == dbop.OK:
		s.Roster.RecordAnswer(m.Group, m.ID)
	}
}

// Load is the load of a database as seen by the VM that holds the connections.
type Load struct {
	// Busy is the number of connections in use, Waiting the number of requests
	// that wait for a connection.
	Busy, Waiting int
	// HasIdle reports whether a connection of the workspace is idle.
	HasIdle bool
	// Full reports whether no connection is idle and no further one may be opened.
	Full bool
	// FailureRate is the fraction of recent statements that failed, from 0 to 1.
	FailureRate float64
	// Own is the number of connections that this VM borrows, which is part of Busy but
	// has no age.
	Own int
	// Age is the age of Busy and Waiting, 0 if they are this VM's own.
	Age time.Duration
}

// Load returns the load of a database for a request of the workspace that may be sent
// only to VMs in the allowed regions or in this VM's own.
func (s *Pools) Load(m *roster.Member, ws ident.Workspace, allowed place.Regions) Load {
	if s.Lender != nil {
		if l, ok := s.Lender.Load(m, ws, allowed); ok {
			return l
		}
	}
	return s.LocalLoad(m, ws)
}

// LocalLoad is like Load but considers only the local connections.
func (s *Pools) LocalLoad(m *roster.Member, ws ident.Workspace) Load {
	p := s.poolOf(m)
	limit := s.ConnLimit(m)
	p.mu.Lock()
	defer p.mu.Unlock()
	l := Load{Busy: p.busyCount(), Waiting: len(p.waiters), Full: p.openCount() >= limit && len(p.idle) == 0, FailureRate: p.speed.Failures.Rate(time.Now())}
	for _, c := range p.idle {
		l.HasIdle = l.HasIdle || c.Workspace == ws
	}
	return l
}

// CloseIdleIfSilent closes the idle connections to a database after statements
// sent at the given time got no answer. It closes none when a connection that
// was open before that time has answered since.
func (s *Pools) CloseIdleIfSilent(m *roster.Member, sent time.Time) {
	s.poolOf(m).closeIdleIfSilent(sent)
}

// Sweep closes connections that have been idle for longer than the idle timeout,
// and the pools of database processes for which keep returns false. The last
// arguments of keep are the address and roster.Entry.ProcessStart.
func (s *Pools) Sweep(keep func(ident.Group, ident.Target, string, int64) bool) {
	s.mu.Lock()
	var gone, stay []*pool
	for k, p := range s.pools {
		if keep(p.member.Group, k.target, k.address, k.processStart) {
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
	s.learned.mu.Lock()
	s.learned.view.Sweep(time.Now())
	s.learned.mu.Unlock()
}

// Close closes all pools.
func (s *Pools) Close() {
	s.Sweep(func(ident.Group, ident.Target, string, int64) bool { return false })
}
