// Package linktest has databases inside the process for tests of the session
// engine, the connection pool and the failover: they implement dbpool.Dialer
// and dbpool.Link without a wire, so that testing/synctest can pause the clock.
//
// # Usage
//
//	c := linktest.New("g", "a", "b", "c") // a leads
//	pools := &dbpool.Pools{Dialer: c, Roster: c.Roster(), Limit: func(*roster.Member) int { return 4 }}
//	c.DB("a").Silent = true
package linktest

import (
	"errors"
	"maps"
	"sync"
	"time"

	"chervilspan.example/internal/dbpool"
	"chervilspan.example/pkg/dbop"
	"chervilspan.example/pkg/ident"
	"chervilspan.example/pkg/roster"
)

// Cluster is a group of databases. Its methods may be called from several
// goroutines.
type Cluster struct {
	Group ident.Group
	mu    sync.Mutex
	dbs   map[ident.Target]*DB
	term  ident.Term
	table *roster.Table
	// Order has the control statements and promotions in the order in which
	// they were carried out, as "kind target".
	order []string
}

// DB is a database. Its fields are changed with Cluster.Set.
type DB struct {
	ID      ident.Target
	Primary bool
	// Index of the last log entry, received and applied.
	Index uint64
	Term  ident.Term
	// Fenced is the term below which entries are refused.
	Fenced ident.Term
	// Silent databases answer nothing on open connections; Dark ones take no new
	// connections either, and Gone ones are not listed any more.
	Silent, Unreachable, Removed bool
	// Unlisted databases answer but are not listed, as when they are cut off from
	// the store.
	Unlisted bool
	// Codes are given as answers to the next statements of a kind, in order.
	AnswerCodes map[dbop.Kind][]dbop.Code
	// Mute swallows the answers to the next statements of a kind.
	DroppedAnswers map[dbop.Kind]int
	// Max is the number of connections that the database accepts; 0 means any.
	MaxConns int
	// Took, unless 0, is how long a read or write takes.
	Latency time.Duration

	open int
	// epoch grows when the open connections go silent.
	epoch int
	// Ran has the statements that were run.
	Executions []Execution
	// Tenants counts connections by workspace.
	ConnsByWorkspace map[ident.Workspace]int
}

// Execution is a statement that a database has run.
type Execution struct {
	dbop.Statement
	Workspace ident.Workspace
	// Vars are the session variables in force, InTx tells whether a
	// transaction was open.
	Vars map[string]string
	InTx bool
	// Shape is that of the prepared statement of an Execute.
	Shape string
}

// New returns a cluster whose first database leads.
func New(g ident.Group, ids ...ident.Target) *Cluster {
	c := &Cluster{Group: g, dbs: map[ident.Target]*DB{}, term: 1, table: &roster.Table{}}
	for i, id := range ids {
		c.dbs[id] = &DB{
			ID: id, Primary: i == 0, Index: 1, Term: 1, AnswerCodes: map[dbop.Kind][]dbop.Code{}, DroppedAnswers: map[dbop.Kind]int{},
			ConnsByWorkspace: map[ident.Workspace]int{},
		}
	}
	c.UpdateRoster()
	return c
}

// Roster returns the list that Announce fills.
func (c *Cluster) Roster() *roster.Table { return c.table }

// UpdateRoster puts the databases into the roster.
func (c *Cluster) UpdateRoster() {
	c.mu.Lock()
	var out []roster.Entry
	for id, d := range c.dbs {
		if !d.Removed && !d.Unlisted {
			out = append(out, roster.Entry{ID: id, Group: c.Group, Address: string(id), Zone: "z", Slots: 4, Primary: d.Primary, ProcessStart: 1, Sequence: time.Now().UnixNano()})
		}
	}
	c.mu.Unlock()
	c.table.Update(out, time.Now())
}

// Update changes a database.
func (c *Cluster) Update(id ident.Target, f func(*DB)) {
	c.mu.Lock()
	defer c.mu.Unlock()
	f(c.dbs[id])
}

// HangConns makes the open connections to a database go silent; new ones work.
func (c *Cluster) HangConns(id ident.Target) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.dbs[id].epoch++
}

// Executions returns the statements of a kind that a database has run.
func (c *Cluster) Executions(id ident.Target, k dbop.Kind) []Execution {
	c.mu.Lock()
	defer c.mu.Unlock()
	var out []Execution
	for _, r := range c.dbs[id].Executions {
		if r.Kind == k {
			out = append(out, r)
		}
	}
	return out
}

// OpenConns returns the number of open connections to a database.
func (c *Cluster) OpenConns(id ident.Target) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.dbs[id].open
}

// ConnsByWorkspace returns the connections to a database that were opened, by workspace.
func (c *Cluster) ConnsByWorkspace(id ident.Target) map[ident.Workspace]int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return maps.Clone(c.dbs[id].ConnsByWorkspace)
}

// Promote makes a database the primary.
func (c *Cluster) Promote(id ident.Target) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.term++
	for _, d := range c.dbs {
		d.Primary = d.ID == id
		d.Term, d.Fenced = c.term, 0
	}
	c.order = append(c.order, "promote "+string(id))
}

// ControlLog returns the control statements and promotions so far.
func (c *Cluster) ControlLog() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return append([]string(nil), c.order...)
}

// ErrNoAnswer is the error of a database that can't be reached.
var ErrNoAnswer = errors.New("linktest: the database does not answer")

// Dial implements dbpool.Dialer.
func (c *Cluster) Dial(deadline time.Time, m *roster.Member, ws ident.Workspace) (dbpool.Link, dbop.Answer, error) {
	c.mu.Lock()
	d := c.dbs[m.ID]
	gone := d == nil || d.Removed || d.Unreachable
	c.mu.Unlock()
	if gone {
		time.Sleep(time.Until(deadline))
		return nil, dbop.Answer{}, ErrNoAnswer
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if d.MaxConns > 0 && d.open >= d.MaxConns {
		return nil, dbop.Answer{Code: dbop.TooMany}, nil
	}
	d.open++
	d.ConnsByWorkspace[ws]++
	return &link{c: c, d: d, ws: ws, epoch: d.epoch, vars: map[string]string{}, names: map[string]string{}}, dbop.Answer{Position: d.position()}, nil
}

func (d *DB) position() ident.Position { return ident.Position{Term: d.Term, Index: d.Index} }

type link struct {
	c      *Cluster
	d      *DB
	ws     ident.Workspace
	vars   map[string]string
	names  map[string]string
	state  dbop.State
	plain  bool
	wrote  bool
	closed bool
	epoch  int
}

// Exchange implements dbpool.Link.
func (l *link) Exchange(deadline time.Time, sts ...dbop.Statement) ([]dbop.Answer, error) {
	var out []dbop.Answer
	for i := range sts {
		a, ok := l.one(&sts[i])
		if !ok {
			time.Sleep(time.Until(deadline))
			return out, ErrNoAnswer
		}
		out = append(out, a)
	}
	return out, nil
}

func (l *link) one(st *dbop.Statement) (dbop.Answer, bool) {
	l.c.mu.Lock()
	took := l.d.Latency
	l.c.mu.Unlock()
	if took > 0 && (st.Kind == dbop.Read || st.Kind == dbop.Write) {
		time.Sleep(took)
	}
	l.c.mu.Lock()
	defer l.c.mu.Unlock()
	d := l.d
	if d.Silent || d.Unreachable || d.Removed || l.closed || l.epoch != d.epoch {
		return dbop.Answer{}, false
	}
	var a dbop.Answer
	if codes := d.AnswerCodes[st.Kind]; len(codes) > 0 {
		a.Code = codes[0]
		d.AnswerCodes[st.Kind] = codes[1:]
		if a.Code == dbop.Failed {
			l.note(st)
		}
	} else {
		a = l.run(st)
	}
	if a.Code != dbop.OK && l.state == dbop.Open {
		l.state = dbop.InError
	}
	a.State, a.Position = l.state, d.position()
	if d.DroppedAnswers[st.Kind] > 0 {
		d.DroppedAnswers[st.Kind]--
		return a, false
	}
	return a, true
}

func (l *link) note(st *dbop.Statement) {
	l.d.Executions = append(l.d.Executions, Execution{*st, l.ws, maps.Clone(l.vars), l.state == dbop.Open, l.names[st.Name]})
}

func (l *link) run(st *dbop.Statement) dbop.Answer {
	d := l.d
	switch st.Kind {
	case dbop.Begin, dbop.BeginRead:
		l.plain = st.Kind == dbop.Begin
		if l.plain && !d.Primary {
			return dbop.Answer{Code: dbop.ReadOnly}
		}
		if d.position().Less(st.Floor) {
			return dbop.Answer{Code: dbop.Lagging}
		}
		l.state, l.wrote = dbop.Open, false
	case dbop.Rollback:
		l.state = dbop.Idle
	case dbop.Set:
		l.vars[st.Name] = st.Arg
	case dbop.Prepare:
		l.names[st.Name] = st.Arg
	case dbop.Reset:
		clear(l.vars)
		clear(l.names)
	case dbop.Commit, dbop.Read, dbop.Write, dbop.Execute:
		return l.data(st)
	}
	l.note(st)
	return dbop.Answer{}
}

// data runs a statement that needs the database's signature.
func (l *link) data(st *dbop.Statement) dbop.Answer {
	d := l.d
	if l.state == dbop.Open && l.plain && !d.Primary || st.Kind == dbop.Write && !d.Primary {
		return dbop.Answer{Code: dbop.ReadOnly}
	}
	if st.Kind == dbop.Execute {
		if _, ok := l.names[st.Name]; !ok {
			return dbop.Answer{Code: dbop.NoStatement}
		}
	}
	if d.position().Less(st.Floor) {
		return dbop.Answer{Code: dbop.Lagging}
	}
	l.note(st)
	a := dbop.Answer{Signature: "sig-" + string(d.ID)}
	writes := st.Kind == dbop.Write || st.Kind == dbop.Execute && st.Writes
	switch {
	case st.Kind == dbop.Commit:
		l.state = dbop.Idle
		if l.wrote {
			l.commit()
		}
	case writes && l.state == dbop.Open:
		l.wrote = true
	case writes:
		l.commit()
	default:
		a.Rows = []string{"row"}
	}
	return a
}

// commit adds an entry and sends it to the replicas that take it.
func (l *link) commit() {
	l.d.Index++
	for _, r := range l.c.dbs {
		if !r.Primary && !r.Removed && !r.Unreachable && r.Fenced <= l.c.term && !r.Silent {
			r.Index = l.d.Index
		}
	}
}

// Control implements dbpool.Link.
func (l *link) Control(deadline time.Time, st dbop.Statement) (dbpool.Status, dbop.Answer, error) {
	l.c.mu.Lock()
	silent := l.d.Silent || l.d.Unreachable || l.d.Removed
	l.c.mu.Unlock()
	if silent {
		time.Sleep(time.Until(deadline))
		return dbpool.Status{}, dbop.Answer{}, ErrNoAnswer
	}
	l.c.mu.Lock()
	defer l.c.mu.Unlock()
	d := l.d
	switch st.Kind {
	case dbop.Fence:
		d.Fenced = st.Term
		l.c.order = append(l.c.order, "fence "+string(d.ID))
	case dbop.Demote:
		d.Primary = d.Primary && st.Term <= d.Term
		l.c.order = append(l.c.order, "demote "+string(d.ID))
	case dbop.Unfence:
		d.Fenced = 0
		l.c.order = append(l.c.order, "unfence "+string(d.ID))
	}
	return dbpool.Status{Primary: d.Primary, Term: d.Term, Received: d.position(), FenceTerm: d.Fenced}, dbop.Answer{Position: d.position()}, nil
}

// Close implements dbpool.Link.
func (l *link) Close() error {
	l.c.mu.Lock()
	defer l.c.mu.Unlock()
	if !l.closed {
		l.closed = true
		l.d.open--
	}
	return nil
}
