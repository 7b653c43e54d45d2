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

// Conn is a connection to a target. Only one goroutine may use it at a time,
// except that BeginCancel and Pools.Cancel may run concurrently.
type Conn struct {
	netConn  net.Conn
	frontend *pgproto3.Frontend
	pool     *pool
	group    ident.Group
	target   ident.Target
	address  string
	database string
	pid      uint32
	secret   []byte

	// term is the group's term, and generation the pool's, when the connection
	// was opened.
	term       ident.Term
	generation uint64
	usedAt     time.Time
	// openedAt is when the connection was opened, heardAt when it last received
	// a message, and awaitedSince when the wait for an answer began, 0 when none
	// is awaited. All are times as returned by Pools.elapsed.
	openedAt     time.Duration
	awaitedSince atomic.Int64
	heardAt      atomic.Int64

	// floor and maxAge are the values set on the connection.
	floor  ident.Position
	maxAge time.Duration
	// position is the position that the target reported last, and
	// positionReported tells whether it did so since ClearPositionReported.
	position         ident.Position
	positionReported bool
	// prepared has the names of the statements on the target, and evicted those
	// beyond the limit that are still to be closed there.
	prepared *simplelru.LRU[string, bool]
	evicted  []string

	status byte
	// ownAnswers is the number of ReadyForQuery messages to come that answer
	// commands of the connection itself, not of the session.
	ownAnswers int
	// outstanding is the number of ReadyForQuery messages to come.
	outstanding int
	// received tells whether a message arrived since Start or StartWrite.
	received atomic.Bool
	// failure is the error that ended the connection.
	failure    error
	closeOnPut bool
	// unsynced tells that messages of the extended protocol were sent without a
	// Sync.
	unsynced bool

	cancel struct {
		sync.Mutex
		requested bool
		running   sync.WaitGroup
	}
}

// Target returns the target's name.
func (c *Conn) Target() ident.Target { return c.target }

// Status returns the transaction status of the last ReadyForQuery.
func (c *Conn) Status() byte { return c.status }

// Position returns the position that the target reported last.
func (c *Conn) Position() ident.Position { return c.position }

// ClearPositionReported resets PositionReported.
func (c *Conn) ClearPositionReported() { c.positionReported = false }

// PositionReported reports whether the target reported a position since
// ClearPositionReported. A target reports one with each commit that changed
// data (assumption A5 of docs/design.md).
func (c *Conn) PositionReported() bool { return c.positionReported }

// Term returns the group's term when the connection was opened.
func (c *Conn) Term() ident.Term { return c.term }

// Outstanding returns the number of ReadyForQuery messages to come.
func (c *Conn) Outstanding() int { return c.outstanding }

// SetDeadline bounds all further I/O; the zero time removes the bound.
func (c *Conn) SetDeadline(t time.Time) { _ = c.netConn.SetDeadline(t) }

// CloseOnPut makes Put close the connection.
func (c *Conn) CloseOnPut() { c.closeOnPut = true }

// Start begins a transaction of a session: the target refuses statements while
// it is behind floor or its data may be older than maxAge. The SET commands that
// this needs are sent ahead of the session's first message, and Receive hides
// their answers.
func (c *Conn) Start(floor ident.Position, maxAge time.Duration) {
	c.received.Store(false)
	if c.floor.Less(floor) || c.position.Less(c.floor) && c.floor != floor {
		// The highest floor that the target has reached is set, so that later
		// sessions with a lower one need no SET.
		c.floor = floor
		if floor.Less(c.position) {
			c.floor = c.position
		}
		c.sendOwnQuery("SET chervil.floor = '" + c.floor.String() + "'")
	}
	if c.maxAge != maxAge {
		c.maxAge = maxAge
		c.sendOwnQuery("SET chervil.max_age_ms = " + strconv.FormatInt(maxAge.Milliseconds(), 10))
	}
	c.closeEvicted()
}

// StartWrite begins a write. A write needs no floor: it runs on the primary, and
// WaitForQuorum reports when that primary was replaced.
func (c *Conn) StartWrite() {
	c.received.Store(false)
	if c.maxAge != 0 {
		c.Start(ident.Position{}, 0)
	}
	c.closeEvicted()
}

func (c *Conn) sendOwnQuery(sql string) {
	c.ownAnswers++
	c.Send(&pgproto3.Query{String: sql})
}

// closeEvicted closes prepared statements beyond the limit. It runs between
// transactions only, because closing a statement also closes its portals.
func (c *Conn) closeEvicted() {
	if len(c.evicted) == 0 {
		return
	}
	for _, name := range c.evicted {
		c.Send(&pgproto3.Close{ObjectType: 'S', Name: name})
	}
	c.evicted = c.evicted[:0]
	c.ownAnswers++
	c.Send(&pgproto3.Sync{})
}

// Prepared reports whether a statement is prepared on the connection, and marks
// it as recently used.
func (c *Conn) Prepared(name string) bool {
	_, ok := c.prepared.Get(name)
	return ok
}

// AddPrepared records a statement whose Parse is about to be sent.
func (c *Conn) AddPrepared(name string) { c.prepared.Add(name, true) }

// RemovePrepared removes the record of a statement whose Parse failed.
func (c *Conn) RemovePrepared(name string) {
	c.prepared.Remove(name)
	for i, s := range c.evicted {
		if s == name {
			c.evicted = append(c.evicted[:i], c.evicted[i+1:]...)
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
	c.frontend.Send(m)
}

// Flush writes the queued messages. The outcome of an error is NotRun when
// nothing was written, else Unknown.
func (c *Conn) Flush() error {
	if c.failure != nil {
		return c.fail("send", c.failure, retry.NotRun)
	}
	c.awaitedSince.Store(int64(c.pool.pools.elapsed()))
	if err := c.frontend.Flush(); err != nil {
		outcome := retry.Unknown
		if pgconn.SafeToRetry(err) {
			outcome = retry.NotRun
		}
		return c.fail("send", err, outcome)
	}
	return nil
}

func (c *Conn) fail(op string, err error, o retry.Outcome) error {
	c.failure = err
	return &Error{Op: op, Target: c.target, Kind: KindConnFailed, Outcome: o, Err: err}
}

// Receive returns the next message for the session; it is valid until the next
// call. It records reported positions, and skips notifications and the answers
// to the connection's own commands.
func (c *Conn) Receive() (pgproto3.BackendMessage, error) {
	for {
		m, err := c.frontend.Receive()
		if err != nil {
			return nil, c.fail("receive", err, retry.Unknown)
		}
		if err := c.check(m); err != nil {
			return nil, c.fail("receive", err, retry.Unknown)
		}
		c.received.Store(true)
		ownAnswer := c.ownAnswers > 0
		c.recordReceived(ownAnswer || precedesExecution(m))
		switch m := m.(type) {
		case *pgproto3.ParameterStatus:
			if m.Name == paramPosition {
				c.recordPosition(m.Value)
			}
			continue
		case *pgproto3.NotificationResponse:
			continue
		case *pgproto3.ReadyForQuery:
			c.outstanding--
			c.status = m.TxStatus
			if ownAnswer {
				c.ownAnswers--
			}
		case *pgproto3.ErrorResponse:
			if ownAnswer {
				return nil, c.fail("set up", pgconn.ErrorResponseToPgError(m), retry.Unknown)
			}
		}
		if !ownAnswer {
			return m, nil
		}
	}
}

func (c *Conn) recordPosition(value string) {
	p, err := ident.ParsePosition(value)
	if err != nil {
		return
	}
	c.position, c.positionReported = p, true
	c.pool.recordPosition(c, p)
}

// reusable reports whether another transaction may use the connection. What was read
// behind the last answer would be taken for the answer to the next statement.
func (c *Conn) reusable() bool {
	c.cancel.Lock()
	cancelled := c.cancel.requested
	c.cancel.Unlock()
	return c.failure == nil && !c.closeOnPut && !cancelled && !c.unsynced && c.outstanding == 0 && c.ownAnswers == 0 && c.status == StatusIdle &&
		c.frontend.ReadBufferLen() == 0
}

func (c *Conn) close() { _ = c.netConn.Close() }

// Exec runs a statement of the proxy itself and returns the values of the first
// row, nil when there is none. A refusal by the target is a *pgconn.PgError,
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

// LogPosition queries the position of the last entry in the target's log
// (assumption A1 of docs/design.md).
func (c *Conn) LogPosition() (ident.Position, error) {
	row, err := c.Exec("SELECT log_term, log_index FROM chervil_status()")
	if err != nil {
		return ident.Position{}, err
	}
	return ident.ParsePosition(strings.Join(row, "/"))
}
