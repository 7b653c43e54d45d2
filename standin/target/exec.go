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

// result holds the rows and the command tag of a statement.
type result struct {
	rows [][]any
	tag  string
}

// execute runs one statement of any class.
func (c *session) execute(ctx context.Context, st *sqldb.Statement, args []any) (*result, error) {
	if c.failed && !endsBlock(st) {
		return nil, errFailedBlock
	}
	out := &result{tag: st.Tag}
	switch st.Class {
	case sqldb.ClassRead, sqldb.ClassWrite:
		return c.runStatement(ctx, st, args)
	case sqldb.ClassCall:
		rows, err := c.callFunction(ctx, st.Call, args)
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
		return out, c.setVar(st)
	case sqldb.ClassShow:
		out.rows = [][]any{{c.showVar(st.Name)}}
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
	if c.inBlock {
		return nil
	}
	if err := c.commit(); err != nil {
		return err
	}
	c.inBlock, c.readOnly = true, st.ReadOnly
	return nil
}

// endBlock ends the transaction block: it commits if keep is set and rolls back
// otherwise. A failed block is rolled back in either case.
func (c *session) endBlock(keep bool) error {
	keep = keep && !c.failed
	c.inBlock, c.failed, c.readOnly = false, false, false
	clear(c.portals)
	if !keep {
		c.rollback()
		return nil
	}
	return c.commit()
}

// commit commits the session's open transaction, if any.
func (c *session) commit() error {
	t := c.txn
	if t == nil {
		return nil
	}
	c.txn = nil
	if !c.admin {
		if err := c.srv.faults.waitUnfrozen(c.srv.ctx); err != nil {
			return err
		}
	}
	p, err := c.srv.commit(t)
	if err != nil {
		return err
	}
	if !p.IsZero() {
		c.srv.stats.commits.Add(1)
		c.reportPosition = p
		c.dropAnswer = c.srv.faults.consumeDrop()
	}
	return nil
}

// runStatement runs a read or a write: it occupies a slot for the service time
// and then runs the statement on the data. A write waits for the write lock
// without a slot, so that waiting writes do not block further statements of the
// lock's holder.
func (c *session) runStatement(ctx context.Context, st *sqldb.Statement, args []any) (*result, error) {
	write := st.Class == sqldb.ClassWrite
	c.srv.stats.statements.Add(1)
	if write && c.readOnly {
		return nil, notRunError(codeReadOnly, "cannot execute a write in a read-only transaction")
	}
	if err := c.srv.checkAllowed(st.Class, c.bounds); err != nil {
		return nil, err
	}
	if err := c.occupySlot(ctx, 0); err != nil {
		return nil, err
	}
	if write {
		if c.txn == nil {
			c.txn = &txn{}
		}
		if err := c.srv.acquireWriteLock(ctx, c.txn); err != nil {
			return nil, err
		}
	}
	r, err := c.runOnData(st, args)
	if err != nil {
		return nil, err
	}
	if write {
		c.srv.stats.writes.Add(1)
	} else {
		c.srv.stats.reads.Add(1)
	}
	tag := st.Tag
	if st.TagHasCount {
		tag += " " + strconv.FormatInt(r.Affected, 10)
	}
	return &result{rows: r.Rows, tag: tag}, nil
}

// runOnData runs a statement on the head database if the session's transaction
// holds the write lock, and as a read of the committed and applied data
// otherwise.
func (c *session) runOnData(st *sqldb.Statement, args []any) (sqldb.Result, error) {
	if c.srv.isWriting(c.txn) {
		return c.srv.runInTxn(st, args, c.txn, c.bounds)
	}
	if c.srv.isSuperseded(c.txn) {
		return sqldb.Result{}, notRunError(codeSuperseded, "the primary's term is superseded")
	}
	r, p, err := c.srv.read(st, args, c.bounds)
	c.reportPosition = p
	return r, err
}

func (s *Server) isWriting(t *txn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return t != nil && t.holdsWriteLock
}

func (s *Server) isSuperseded(t *txn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return t != nil && t.superseded
}

// occupySlot waits for a slot and holds it for the service time plus extra.
// Administration and replication connections need no slot and no service time.
func (c *session) occupySlot(ctx context.Context, extra time.Duration) error {
	if c.admin || c.replica {
		return sleep(ctx, extra)
	}
	if err := c.srv.slots.acquire(ctx); err != nil {
		return err
	}
	defer c.srv.slots.release()
	if err := sleep(ctx, c.srv.faults.values().serviceTime+extra); err != nil {
		return err
	}
	return c.srv.faults.waitUnfrozen(ctx)
}

// setVar implements SET and RESET.
func (c *session) setVar(st *sqldb.Statement) error {
	name := strings.ToLower(st.Name)
	switch name {
	case "":
		c.resetVars()
		return nil
	case floorVar:
		p, err := parseFloor(st.Value)
		if err != nil {
			return notRunError(codeInvalidValue, err.Error())
		}
		c.bounds.floor = p
	case maxAgeVar:
		ms, err := strconv.ParseUint("0"+st.Value, 10, 32)
		if err != nil {
			return notRunError(codeInvalidValue, "chervil.max_age_ms must be a number of milliseconds")
		}
		c.bounds.maxAge = time.Duration(ms) * time.Millisecond
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

func (c *session) showVar(name string) string {
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
	c.bounds = readBounds{}
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
		return notRunError(codeUnsupported, "the only channel is "+quorumChannel)
	}
	if c.cancelListen != nil {
		return nil
	}
	ctx, cancel := context.WithCancel(c.ctx)
	c.cancelListen = cancel
	c.srv.wg.Go(func() { c.sendQuorumPositions(ctx) })
	return nil
}

func (c *session) stopListening() {
	if c.cancelListen != nil {
		c.cancelListen()
		c.cancelListen = nil
	}
}
