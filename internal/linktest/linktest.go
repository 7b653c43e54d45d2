// Package linktest has in-process fakes of databases, the store and the platform
// for tests of the session engine, the connection pool and the failover. The
// databases implement dbpool.Dialer and dbpool.Link without a network, so that
// tests can use the clock of testing/synctest.
//
// # Usage
//
//	c := linktest.New("g", "a", "b", "c") // a is the primary
//	pools := &dbpool.Pools{Dialer: c, Roster: c.Roster(), ConnLimit: func(*roster.Member) int { return 4 }}
//	c.Update("a", func(d *linktest.DB) { d.Silent = true })
package linktest

import (
	"cmp"
	"errors"
	"maps"
	"strings"
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
	// formerGoesOn makes a replaced primary go on until it is demoted.
	formerGoesOn bool
	// replicate, unless nil, replicates a commit of the primary and reports whether it is
	// acknowledged.
	replicate func(primary *DB) bool
	// onControl, unless nil, is called before a control statement is carried out.
	onControl func(k dbop.Kind, id ident.Target)
	// controlLog has the control statements and promotions in the order in which
	// they were carried out, as "kind target".
	controlLog []string
}

// DB is a database. Use Cluster.Update to change its fields.
type DB struct {
	ID      ident.Target
	Primary bool
	// Zone is the availability zone in the roster; empty means "z".
	Zone ident.Zone
	// Index is that of the last log entry received and applied.
	Index uint64
	Term  ident.Term
	// AppliedTerm, unless 0, is the term of the last applied entry where that is older
	// than Term.
	AppliedTerm ident.Term
	// FenceTerm is the term below which the database refuses entries.
	FenceTerm ident.Term
	// Silent databases do not answer on connections. Unreachable ones accept no
	// new connections either, and Removed ones are not in the roster any more.
	Silent, Unreachable, Removed bool
	// Unlisted databases answer but are not in the roster, as when they are cut
	// off from the store.
	Unlisted bool
	// AnswerCodes are the codes of the answers to the next statements of a kind.
	AnswerCodes map[dbop.Kind][]dbop.Code
	// DroppedAnswers is the number of next statements of a kind that are run but
	// not answered.
	DroppedAnswers map[dbop.Kind]int
	// EndsTxns makes the database roll back an open transaction with each answer.
	EndsTxns bool
	// MaxConns is the limit of open connections; 0 means unlimited.
	MaxConns int
	// Latency is how long a read or write takes.
	Latency time.Duration

	openConns int
	// epoch is that of new connections. Those of an earlier epoch are silent.
	epoch int
	// Executions has the statements that were run.
	Executions []Execution
	// ConnsByWorkspace counts the connections ever opened, by workspace.
	ConnsByWorkspace map[ident.Workspace]int
}

// Execution is a statement that a database has run.
type Execution struct {
	dbop.Statement
	Workspace ident.Workspace
	// Vars are the session variables in force; InTx reports whether a transaction
	// was open.
	Vars map[string]string
	InTx bool
	// PreparedText is the text of the prepared statement that an Execute runs.
	PreparedText string
}

// New returns a cluster whose first database is the primary.
func New(g ident.Group, ids ...ident.Target) *Cluster {
	c := &Cluster{Group: g, dbs: map[ident.Target]*DB{}, term: 1, table: &roster.Table{}}
	for i, id := range ids {
		c.dbs[id] = newDB(id)
		c.dbs[id].Primary = i == 0
	}
	c.UpdateRoster()
	return c
}

func newDB(id ident.Target) *DB {
	return &DB{
		ID: id, Index: 1, Term: 1, AnswerCodes: map[dbop.Kind][]dbop.Code{}, DroppedAnswers: map[dbop.Kind]int{},
		ConnsByWorkspace: map[ident.Workspace]int{},
	}
}

// Join adds a replica that no VM knows yet, with the log up to an index. It is not listed.
func (c *Cluster) Join(id ident.Target, index uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	d := newDB(id)
	d.Index, d.Term, d.Unlisted = index, c.term, true
	c.dbs[id] = d
}

// Roster returns the table that UpdateRoster fills.
func (c *Cluster) Roster() *roster.Table { return c.table }

// UpdateRoster replaces the roster's list by the databases that are in service.
func (c *Cluster) UpdateRoster() {
	c.mu.Lock()
	var out []roster.Entry
	for id, d := range c.dbs {
		if !d.Removed && !d.Unlisted {
			out = append(out, roster.Entry{ID: id, Group: c.Group, Address: string(id), Zone: cmp.Or(d.Zone, "z"), Slots: 4, Primary: d.Primary, ProcessStart: 1, Sequence: time.Now().UnixNano()})
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

// Find returns a database, nil if there is none, for callers that hold the cluster's lock: in
// Update.
func (c *Cluster) Find(id ident.Target) *DB { return c.dbs[id] }

// HangConns makes the open connections to a database silent; new ones work.
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
	return c.dbs[id].openConns
}

// ConnsByWorkspace returns the number of connections to a database that were ever
// opened, by workspace.
func (c *Cluster) ConnsByWorkspace(id ident.Target) map[ident.Workspace]int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return maps.Clone(c.dbs[id].ConnsByWorkspace)
}

// SetFormerGoesOn sets whether a replaced primary goes on for its own callers until
// it is demoted. It gets no commit acknowledged.
func (c *Cluster) SetFormerGoesOn(on bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.formerGoesOn = on
}

// OnCommit makes f replicate the commits of primaries in place of the cluster, which holds
// its lock meanwhile. A commit for which f returns false gets no answer.
func (c *Cluster) OnCommit(f func(primary *DB) bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.replicate = f
}

// OnControl makes f be called before each control statement is carried out. The cluster holds
// its lock meanwhile; f uses Find.
func (c *Cluster) OnControl(f func(k dbop.Kind, id ident.Target)) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.onControl = f
}

// Promote makes a database the primary.
func (c *Cluster) Promote(id ident.Target) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.term++
	for _, d := range c.dbs {
		if c.formerGoesOn && d.Primary && d.ID != id {
			continue
		}
		d.Primary = d.ID == id
		d.Term = c.term
		if d.Primary || d.FenceTerm <= c.term {
			d.FenceTerm = 0
		}
	}
	c.controlLog = append(c.controlLog, "promote "+string(id))
}

// isUp reports whether a database is running.
func (c *Cluster) isUp(id ident.Target) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return !c.dbs[id].Removed && !c.dbs[id].Unreachable
}

// isPrimary reports whether a database is the primary of the present term.
func (c *Cluster) isPrimary(id ident.Target) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.dbs[id].Primary && c.dbs[id].Term == c.term
}

// ControlLog returns the control statements and promotions so far, in order, as
// "kind target".
func (c *Cluster) ControlLog() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return append([]string(nil), c.controlLog...)
}

// ErrNoAnswer is the error of calls to a database that does not answer.
var ErrNoAnswer = errors.New("linktest: the database does not answer")

// Dial implements dbpool.Dialer.
func (c *Cluster) Dial(deadline time.Time, m *roster.Member, ws ident.Workspace) (dbpool.Link, dbop.Answer, error) {
	if ws != dbpool.Anonymous && strings.ContainsAny(string(ws), " \n") {
		return nil, dbop.Answer{}, dbpool.ErrNotEncodable
	}
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
	if d.MaxConns > 0 && d.openConns >= d.MaxConns {
		return nil, dbop.Answer{Code: dbop.TooMany}, nil
	}
	d.openConns++
	d.ConnsByWorkspace[ws]++
	return &link{c: c, d: d, ws: ws, epoch: d.epoch, vars: map[string]string{}, prepared: map[string]string{}}, dbop.Answer{Position: d.position()}, nil
}

func (d *DB) position() ident.Position { return ident.Position{Term: d.Term, Index: d.Index} }

// appliedPosition returns the position of the last applied entry.
func (d *DB) appliedPosition() ident.Position {
	p := d.position()
	if d.AppliedTerm != 0 {
		p.Term = d.AppliedTerm
	}
	return p
}
