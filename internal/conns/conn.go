package conns

import (
	"net"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/golang-lru/v2/simplelru"
	"github.com/jackc/pgx/v5/pgconn"
	"github.com/jackc/pgx/v5/pgproto3"

	"chervilspan.example/pkg/ident"
	"chervilspan.example/pkg/retry"
)

// paramPosition is the ParameterStatus in which a target reports its position.
const paramPosition = "chervil.position"

// StatusIdle is the transaction status of a connection without a transaction.
const StatusIdle byte = 'I'

// Conn is a connection to a target. One goroutine uses it at a time, but for
// Cancel.
type Conn struct {
	net      net.Conn
	fe       *pgproto3.Frontend
	pool     *pool
	group    ident.Group
	target   ident.Target
	address  string
	database string
	pid      uint32
	secret   []byte

	// term is the group's when the connection was opened.
	term       ident.Term
	generation uint64
	used       time.Time
	// opened and last are when the connection was opened and last heard, as
	// times of the Pools. sent is since when an answer is awaited, 0 when one
	// has begun.
	opened time.Duration
	sent   atomic.Int64
	last   atomic.Int64

	// floor and maxAge are the values set on the connection.
	floor  ident.Position
	maxAge time.Duration
	// position is the last one that the target reported, and reported whether
	// that was since Expect.
	position ident.Position
	reported bool
	stmts    *simplelru.LRU[string, bool]
	surplus  []string

	status byte
	// own is the number of ReadyForQuery messages that answer the connection's
	// own commands.
	own int
	// outstanding is the number of ReadyForQuery messages to come.
	outstanding int
	// heard tells whether anything was received since Start.
	heard  atomic.Bool
	broken error
	taint  bool
	// unsynced tells that extended messages were sent without Sync.
	unsynced bool

	cancel struct {
		sync.Mutex
		sent    bool
		running sync.WaitGroup
	}
}

// Target returns the target's name.
func (c *Conn) Target() ident.Target { return c.target }

// Status returns the transaction status of the last ReadyForQuery.
func (c *Conn) Status() byte { return c.status }

// Position returns the position that the target reported last.
func (c *Conn) Position() ident.Position { return c.position }

// ClearPositionReported forgets that a position was reported.
func (c *Conn) ClearPositionReported() { c.reported = false }

// PositionReported reports whether the target reported a position since Expect. A
// target reports one with each commit that changed something (A5).
func (c *Conn) PositionReported() bool { return c.reported }

// Term returns the group's term when the connection was opened.
func (c *Conn) Term() ident.Term { return c.term }

// Outstanding returns the number of ReadyForQuery messages to come.
func (c *Conn) Outstanding() int { return c.outstanding }

// SetDeadline bounds all further I/O; the zero time removes the bound.
func (c *Conn) SetDeadline(t time.Time) { _ = c.net.SetDeadline(t) }

// CloseOnPut makes Put close the connection.
func (c *Conn) CloseOnPut() { c.taint = true }

// Start begins a transaction of a session: the target refuses statements while
// it is behind floor or its data may be older than maxAge. What has to be set
// is sent ahead of the session's first message, and Receive hides the answers.
func (c *Conn) Start(floor ident.Position, maxAge time.Duration) {
	c.heard.Store(false)
	if c.floor.Less(floor) || c.position.Less(c.floor) && c.floor != floor {
		// A floor that the target has reached serves the next sessions too.
		c.floor = floor
		if floor.Less(c.position) {
			c.floor = c.position
		}
		c.command("SET chervil.floor = '" + c.floor.String() + "'")
	}
	if c.maxAge != maxAge {
		c.maxAge = maxAge
		c.command("SET chervil.max_age_ms = " + strconv.FormatInt(maxAge.Milliseconds(), 10))
	}
	c.trim()
}

// StartWrite begins a write. It needs no floor: the target of a write is the
// primary, and the wait for the quorum covers a replaced one.
func (c *Conn) StartWrite() {
	c.heard.Store(false)
	if c.maxAge != 0 {
		c.Start(ident.Position{}, 0)
	}
	c.trim()
}

func (c *Conn) command(sql string) {
	c.own++
	c.Send(&pgproto3.Query{String: sql})
}

// trim closes prepared statements beyond the bound. It runs between
// transactions only, because closing a statement closes its portals.
func (c *Conn) trim() {
	if len(c.surplus) == 0 {
		return
	}
	for _, name := range c.surplus {
		c.Send(&pgproto3.Close{ObjectType: 'S', Name: name})
	}
	c.surplus = c.surplus[:0]
	c.own++
	c.Send(&pgproto3.Sync{})
}

// Prepared reports whether a statement is known on the connection, and marks it
// as used.
func (c *Conn) Prepared(name string) bool {
	_, ok := c.stmts.Get(name)
	return ok
}

// AddPrepared notes that a Parse for the statement is about to be sent.
func (c *Conn) AddPrepared(name string) { c.stmts.Add(name, true) }

// RemovePrepared notes that the statement is not on the connection, because its Parse
// failed.
func (c *Conn) RemovePrepared(name string) {
	c.stmts.Remove(name)
	for i, s := range c.surplus {
		if s == name {
			c.surplus = append(c.surplus[:i], c.surplus[i+1:]...)
			return
		}
	}
}

// Send queues a message until Flush.
func (c *Conn) Send(m pgproto3.FrontendMessage) {
	switch m.(type) {
	case *pgproto3.Query:
		c.outstanding++
	case *pgproto3.Sync:
		c.outstanding++
		c.unsynced = false
	default:
		c.unsynced = true
	}
	c.fe.Send(m)
}

// Flush writes the queued messages. The error is NotRun when nothing was
// written, else Unknown.
func (c *Conn) Flush() error {
	if c.broken != nil {
		return c.fail("send", c.broken, retry.NotRun)
	}
	c.sent.Store(int64(c.pool.p.elapsed()))
	if err := c.fe.Flush(); err != nil {
		outcome := retry.Unknown
		if pgconn.SafeToRetry(err) {
			outcome = retry.NotRun
		}
		return c.fail("send", err, outcome)
	}
	return nil
}

func (c *Conn) fail(op string, err error, o retry.Outcome) error {
	c.broken = err
	return &Error{Op: op, Target: c.target, Kind: KindConnFailed, Outcome: o, Err: err}
}

// Receive returns the next message for the session; it is valid until the next
// call. Positions are noted, and answers to the connection's own commands and
// notifications are left out.
func (c *Conn) Receive() (pgproto3.BackendMessage, error) {
	for {
		m, err := c.fe.Receive()
		if err != nil {
			return nil, c.fail("receive", err, retry.Unknown)
		}
		c.heard.Store(true)
		mine := c.own > 0
		c.hear(mine || precedes(m))
		switch m := m.(type) {
		case *pgproto3.ParameterStatus:
			if m.Name == paramPosition {
				c.note(m.Value)
			}
			continue
		case *pgproto3.NotificationResponse:
			continue
		case *pgproto3.ReadyForQuery:
			c.outstanding--
			c.status = m.TxStatus
			if mine {
				c.own--
			}
		case *pgproto3.ErrorResponse:
			if mine {
				return nil, c.fail("set up", pgconn.ErrorResponseToPgError(m), retry.Unknown)
			}
		}
		if !mine {
			return m, nil
		}
	}
}

func (c *Conn) note(value string) {
	p, err := ident.ParsePosition(value)
	if err != nil {
		return
	}
	c.position, c.reported = p, true
	c.pool.hear(c, p)
}

// reusable reports whether another transaction may use the connection.
func (c *Conn) reusable() bool {
	c.cancel.Lock()
	cancelled := c.cancel.sent
	c.cancel.Unlock()
	return c.broken == nil && !c.taint && !cancelled && !c.unsynced && c.outstanding == 0 && c.own == 0 && c.status == StatusIdle
}

func (c *Conn) close() { _ = c.net.Close() }

// Exec runs a statement of the proxy's own and returns the values of its first
// row, none when there is no row. A refusal by the target is a *pgconn.PgError,
// any other error an *Error.
func (c *Conn) Exec(sql string) (row []string, err error) {
	c.Send(&pgproto3.Query{String: sql})
	if err := c.Flush(); err != nil {
		return nil, err
	}
	var refused error
	for {
		m, err := c.Receive()
		if err != nil {
			return nil, err
		}
		switch m := m.(type) {
		case *pgproto3.DataRow:
			if row == nil {
				for _, v := range m.Values {
					row = append(row, string(v))
				}
			}
		case *pgproto3.ErrorResponse:
			refused = pgconn.ErrorResponseToPgError(m)
		case *pgproto3.ReadyForQuery:
			return row, refused
		}
	}
}

// LogPosition asks the target for the position of the last entry of its log (A1).
func (c *Conn) LogPosition() (ident.Position, error) {
	row, err := c.Exec("SELECT log_term, log_index FROM chervil_status()")
	if err != nil {
		return ident.Position{}, err
	}
	return ident.ParsePosition(strings.Join(row, "/"))
}
