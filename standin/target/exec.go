package target

import (
	"context"
	"strconv"
	"strings"
	"time"

	"github.com/jackc/pgx/v5/pgtype"

	"chervilspan.example/pkg/ident"
	"chervilspan.example/standin/sqldb"
)

const (
	textOID  = pgtype.TextOID
	intOID   = pgtype.Int8OID
	boolOID  = pgtype.BoolOID
	floatOID = pgtype.Float8OID
)

// result is what a statement gives its client.
type result struct {
	rows [][]any
	tag  string
}

// execute runs one statement.
func (c *session) execute(ctx context.Context, st *sqldb.Statement, args []any) (*result, error) {
	if c.failed && !endsBlock(st) {
		return nil, errFailedBlock
	}
	out := &result{tag: st.Tag}
	switch st.Class {
	case sqldb.ClassRead, sqldb.ClassWrite:
		return c.statement(ctx, st, args)
	case sqldb.ClassCall:
		rows, err := c.call(ctx, st.Call, args)
		out.rows, out.tag = rows, "SELECT "+strconv.Itoa(len(rows))
		return out, err
	case sqldb.ClassBegin:
		return out, c.beginBlock(st)
	case sqldb.ClassCommit:
		if c.failed {
			out.tag = "ROLLBACK"
		}
		return out, c.endBlock(true)
	case sqldb.ClassRollback:
		return out, c.endBlock(false)
	case sqldb.ClassSet:
		return out, c.set(st)
	case sqldb.ClassShow:
		out.rows = [][]any{{c.show(st.Name)}}
		return out, nil
	case sqldb.ClassListen:
		return out, c.listen(st.Name)
	case sqldb.ClassUnlisten:
		c.stopListening()
	case sqldb.ClassDiscard:
		c.discard()
	case sqldb.ClassDeallocate:
		c.deallocate(st.Name)
	}
	return out, nil
}

func (c *session) beginBlock(st *sqldb.Statement) error {
	if c.block {
		return nil
	}
	if err := c.commit(); err != nil {
		return err
	}
	c.block, c.readOnly = true, st.ReadOnly
	return nil
}

// endBlock ends the block; keep is false for ROLLBACK.
func (c *session) endBlock(keep bool) error {
	keep = keep && !c.failed
	c.block, c.failed, c.readOnly = false, false, false
	clear(c.portals)
	if !keep {
		c.abort()
		return nil
	}
	return c.commit()
}

// commit commits what the session has open, if anything.
func (c *session) commit() error {
	t := c.txn
	if t == nil {
		return nil
	}
	c.txn = nil
	if !c.admin {
		if err := c.srv.faults.gate(c.srv.ctx); err != nil {
			return err
		}
	}
	p, err := c.srv.commit(t)
	if err != nil {
		return err
	}
	if !p.IsZero() {
		c.srv.stats.commits.Add(1)
		c.position = p
		c.dropped = c.srv.faults.takeDrop()
	}
	return nil
}

// statement runs a read or a write: it takes a slot for the service time and
// then runs on the data. A write waits for the writer's place without a slot,
// so that the holder's next statements are not held up by waiting ones.
func (c *session) statement(ctx context.Context, st *sqldb.Statement, args []any) (*result, error) {
	write := st.Class == sqldb.ClassWrite
	c.srv.stats.statements.Add(1)
	if write && c.readOnly {
		return nil, refuse(codeReadOnly, "cannot execute a write in a read-only transaction")
	}
	if err := c.srv.check(st.Class, c.limits); err != nil {
		return nil, err
	}
	if err := c.serve(ctx, 0); err != nil {
		return nil, err
	}
	if write {
		if c.txn == nil {
			c.txn = &txn{}
		}
		if err := c.srv.begin(ctx, c.txn); err != nil {
			return nil, err
		}
	}
	r, err := c.onData(st, args)
	if err != nil {
		return nil, err
	}
	if write {
		c.srv.stats.writes.Add(1)
	} else {
		c.srv.stats.reads.Add(1)
	}
	tag := st.Tag
	if st.Counted {
		tag += " " + strconv.FormatInt(r.Affected, 10)
	}
	return &result{rows: r.Rows, tag: tag}, nil
}

func (c *session) onData(st *sqldb.Statement, args []any) (sqldb.Result, error) {
	if c.srv.isWriting(c.txn) {
		return c.srv.inTxn(st, args, c.txn, c.limits)
	}
	if c.srv.isDoomed(c.txn) {
		return sqldb.Result{}, refuse(codeTerm, "the primary's term is superseded")
	}
	r, p, err := c.srv.read(st, args, c.limits)
	c.position = p
	return r, err
}

func (s *Server) isWriting(t *txn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return t != nil && t.writing
}

func (s *Server) isDoomed(t *txn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return t != nil && t.doomed
}

// serve holds a slot for the service time and extra. Connections of
// administrators and replicas need none.
func (c *session) serve(ctx context.Context, extra time.Duration) error {
	if c.admin || c.replica {
		return sleep(ctx, extra)
	}
	if err := c.srv.slots.acquire(ctx); err != nil {
		return err
	}
	defer c.srv.slots.release()
	if err := sleep(ctx, c.srv.faults.snapshot().service+extra); err != nil {
		return err
	}
	return c.srv.faults.gate(ctx)
}

// set is SET and RESET.
func (c *session) set(st *sqldb.Statement) error {
	name := strings.ToLower(st.Name)
	switch name {
	case "":
		c.resetVars()
		return nil
	case floorVar:
		p, err := parseFloor(st.Value)
		if err != nil {
			return refuse(codeValue, err.Error())
		}
		c.limits.floor = p
	case maxAgeVar:
		ms, err := strconv.ParseUint("0"+st.Value, 10, 32)
		if err != nil {
			return refuse(codeValue, "chervil.max_age_ms must be a number of milliseconds")
		}
		c.limits.maxAge = time.Duration(ms) * time.Millisecond
	}
	c.vars[name] = st.Value
	return nil
}

func parseFloor(text string) (ident.Position, error) {
	if text == "" || text == "0" {
		return ident.Position{}, nil
	}
	return ident.ParsePosition(text)
}

func (c *session) show(name string) string {
	name = strings.ToLower(name)
	if v, ok := c.vars[name]; ok {
		return v
	}
	for _, p := range parameters {
		if strings.ToLower(p.Name) == name {
			return p.Value
		}
	}
	switch name {
	case positionVar:
		return c.srv.appliedPosition().String()
	case "transaction_read_only", "default_transaction_read_only", "in_hot_standby":
		return "off"
	}
	return ""
}

func (s *Server) appliedPosition() ident.Position {
	s.dataMu.Lock()
	defer s.dataMu.Unlock()
	return s.applied
}

func (c *session) resetVars() {
	clear(c.vars)
	c.limits = limits{}
}

func (c *session) discard() {
	c.resetVars()
	clear(c.stmts)
	c.stopListening()
}

func (c *session) deallocate(name string) {
	if name == "" {
		clear(c.stmts)
	}
	delete(c.stmts, name)
}

func (c *session) listen(channel string) error {
	if channel != quorumChannel {
		return refuse(codeUnsupported, "the only channel is "+quorumChannel)
	}
	if c.unlisten != nil {
		return nil
	}
	ctx, cancel := context.WithCancel(c.ctx)
	c.unlisten = cancel
	c.srv.wg.Go(func() { c.notify(ctx) })
	return nil
}

func (c *session) stopListening() {
	if c.unlisten != nil {
		c.unlisten()
		c.unlisten = nil
	}
}
