package dbctl

import (
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"net"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/jackc/pgx/v5/pgconn"
	"github.com/jackc/pgx/v5/pgproto3"

	"chervilspan.example/pkg/elect"
	"chervilspan.example/pkg/ident"
	"chervilspan.example/pkg/topo"
)

// DefaultTimeout bounds a call whose context has no deadline.
const DefaultTimeout = 2 * time.Second

// Config says how to reach a target.
type Config struct {
	Target ident.Target
	// Address is IP:port.
	Address  string
	User     string
	Password string
	Database string
	// TLS is nil for plain text.
	TLS *tls.Config
	// Dial opens the connection; nil stands for a net.Dialer.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
}

// Client is one target's control connection. Its methods may be called from
// several goroutines; calls wait for one another.
type Client struct {
	cfg Config
	// turn holds a token while no call runs.
	turn chan struct{}
	done chan struct{}
	once sync.Once
	// The fields below belong to the holder of the token.
	conn *pgconn.HijackedConn
	used time.Time
}

var _ elect.Database = (*Client)(nil)

// New returns a client that connects with its first call.
func New(cfg Config) *Client {
	c := &Client{cfg: cfg, turn: make(chan struct{}, 1), done: make(chan struct{})}
	c.turn <- struct{}{}
	return c
}

// Close ends the client. A running call finishes first; later calls fail with
// KindClosed.
func (c *Client) Close() {
	c.once.Do(func() {
		<-c.turn
		c.drop()
		close(c.done)
	})
}

// CloseIdle closes the connection when it has not been used for d. It does not
// wait for a running call.
func (c *Client) CloseIdle(d time.Duration) {
	select {
	case <-c.turn:
	default:
		return
	}
	defer func() { c.turn <- struct{}{} }()
	if c.conn != nil && time.Since(c.used) >= d {
		c.drop()
	}
}

func (c *Client) drop() {
	if c.conn != nil {
		_ = c.conn.Conn.Close()
		c.conn = nil
	}
}

func (c *Client) fail(op string, k Kind, err error) error {
	return &Error{Op: op, Kind: k, Target: c.cfg.Target, Err: err}
}

// query runs one statement and returns its rows by column name. It takes the
// turn, connects when there is no connection, and closes the connection unless
// the answer was complete.
func (c *Client) query(ctx context.Context, op, sql string) ([]map[string]string, error) {
	ctx, cancel := bounded(ctx)
	defer cancel()
	select {
	case <-c.turn:
	case <-c.done:
		return nil, c.fail(op, KindClosed, errors.New("client closed"))
	case <-ctx.Done():
		return nil, c.fail(op, KindUnreachable, ctx.Err())
	}
	defer func() { c.turn <- struct{}{} }()
	if c.conn == nil {
		if err := c.connect(ctx); err != nil {
			return nil, c.fail(op, KindUnreachable, err)
		}
	}
	c.used = time.Now()
	rows, refusal, err := c.exchange(ctx, sql)
	if err != nil {
		c.drop()
		return nil, c.fail(op, KindLost, err)
	}
	if refusal != nil {
		return nil, &Error{
			Op: op, Kind: kindOf(refusal.Code), Target: c.cfg.Target,
			SQLState: refusal.Code, Err: errors.New(refusal.Message),
		}
	}
	return rows, nil
}

func bounded(ctx context.Context) (context.Context, context.CancelFunc) {
	if _, ok := ctx.Deadline(); ok {
		return context.WithCancel(ctx)
	}
	return context.WithTimeout(ctx, DefaultTimeout)
}

// connect logs in. The connection is taken over from pgconn, because pgconn
// answers a timeout with a cancel request on a further connection, which would
// pile up against a target that hangs.
func (c *Client) connect(ctx context.Context) error {
	host, port, err := net.SplitHostPort(c.cfg.Address)
	if err != nil {
		return err
	}
	number, err := strconv.ParseUint(port, 10, 16)
	if err != nil {
		return fmt.Errorf("port %q: %w", port, err)
	}
	cfg, err := pgconn.ParseConfig("host=" + quoteValue(host) + " sslmode=disable target_session_attrs=any")
	if err != nil {
		return err
	}
	cfg.Port = uint16(number)
	cfg.User, cfg.Password, cfg.Database = c.cfg.User, c.cfg.Password, c.cfg.Database
	cfg.TLSConfig, cfg.Fallbacks = c.cfg.TLS, nil
	cfg.RuntimeParams = map[string]string{"application_name": "chervild-control"}
	cfg.LookupFunc = func(_ context.Context, host string) ([]string, error) { return []string{host}, nil }
	if c.cfg.Dial != nil {
		cfg.DialFunc = c.cfg.Dial
	}
	pg, err := pgconn.ConnectConfig(ctx, cfg)
	if err != nil {
		return err
	}
	if err := pg.SyncConn(ctx); err != nil {
		_ = pg.Conn().Close()
		return err
	}
	c.conn, err = pg.Hijack()
	return err
}

// exchange sends a simple query and reads up to ReadyForQuery.
func (c *Client) exchange(ctx context.Context, sql string) ([]map[string]string, *pgproto3.ErrorResponse, error) {
	deadline, _ := ctx.Deadline()
	if err := c.conn.Conn.SetDeadline(deadline); err != nil {
		return nil, nil, err
	}
	conn := c.conn.Conn
	stop := context.AfterFunc(ctx, func() { _ = conn.SetDeadline(time.Unix(1, 0)) })
	rows, refusal, err := c.receive(sql)
	if !stop() && err == nil {
		// The deadline may be set at any moment and would hit the next call.
		err = ctx.Err()
	}
	return rows, refusal, err
}

func (c *Client) receive(sql string) ([]map[string]string, *pgproto3.ErrorResponse, error) {
	f := c.conn.Frontend
	f.Send(&pgproto3.Query{String: sql})
	if err := f.Flush(); err != nil {
		return nil, nil, err
	}
	var a answer
	for {
		msg, err := f.Receive()
		if err != nil {
			return nil, nil, err
		}
		if _, ok := msg.(*pgproto3.ReadyForQuery); ok {
			return a.rows, a.refusal, nil
		}
		if err := a.take(msg); err != nil {
			return nil, nil, err
		}
	}
}

// answer collects the messages that answer a query.
type answer struct {
	columns []string
	rows    []map[string]string
	refusal *pgproto3.ErrorResponse
}

func (a *answer) take(msg pgproto3.BackendMessage) error {
	switch msg := msg.(type) {
	case *pgproto3.RowDescription:
		a.columns = nil
		for _, f := range msg.Fields {
			a.columns = append(a.columns, string(f.Name))
		}
	case *pgproto3.DataRow:
		if len(msg.Values) != len(a.columns) {
			return fmt.Errorf("row of %d values for %d columns", len(msg.Values), len(a.columns))
		}
		row := make(map[string]string, len(a.columns))
		for i, v := range msg.Values {
			row[a.columns[i]] = string(v)
		}
		a.rows = append(a.rows, row)
	case *pgproto3.ErrorResponse:
		e := *msg
		a.refusal = &e
	}
	return nil
}

// quote returns s as an SQL string literal.
func quote(s string) string { return "'" + strings.ReplaceAll(s, "'", "''") + "'" }

// quoteValue returns s as a value of a connection string.
func quoteValue(s string) string {
	return "'" + strings.NewReplacer(`\`, `\\`, `'`, `\'`).Replace(s) + "'"
}

// Status returns what the database says of itself (A1).
func (c *Client) Status(ctx context.Context) (topo.Status, error) {
	return c.status(ctx, "status", "SELECT * FROM chervil_status()")
}

// RaiseTerm promises a term (A2).
func (c *Client) RaiseTerm(ctx context.Context, term ident.Term) (topo.Status, error) {
	return c.status(ctx, "raise term", fmt.Sprintf("SELECT * FROM chervil_raise_term(%d)", term))
}

func (c *Client) status(ctx context.Context, op, sql string) (topo.Status, error) {
	rows, err := c.query(ctx, op, sql)
	if err != nil {
		return topo.Status{}, err
	}
	if len(rows) != 1 {
		return topo.Status{}, c.fail(op, KindProtocol, fmt.Errorf("%d rows", len(rows)))
	}
	s, err := parseStatus(rows[0])
	if err != nil {
		return topo.Status{}, c.fail(op, KindProtocol, err)
	}
	if s.Target != c.cfg.Target {
		return topo.Status{}, c.fail(op, KindProtocol, fmt.Errorf("the address is that of target %q", s.Target))
	}
	return s, nil
}

// Promote makes the database the primary of the term it has promised (A3).
func (c *Client) Promote(ctx context.Context, term ident.Term, members []elect.Member) error {
	list := make([]string, len(members))
	for i, m := range members {
		list[i] = string(m.ID) + "=" + m.Address
	}
	_, err := c.query(ctx, "promote", fmt.Sprintf("SELECT chervil_promote(%d, %s)", term, quote(strings.Join(list, ","))))
	return err
}

// Follow makes the database a replica of primary (A4).
func (c *Client) Follow(ctx context.Context, term ident.Term, primary ident.Target, address string) error {
	_, err := c.query(ctx, "follow", fmt.Sprintf("SELECT chervil_follow(%d, %s, %s)", term, quote(string(primary)), quote(address)))
	return err
}

// Has reports whether the log holds the entry at p (A9).
func (c *Client) Has(ctx context.Context, p ident.Position) (bool, error) {
	rows, err := c.query(ctx, "has", "SELECT chervil_has("+quote(p.String())+")")
	if err != nil {
		return false, err
	}
	if len(rows) != 1 || len(rows[0]) != 1 {
		return false, c.fail("has", KindProtocol, fmt.Errorf("%d rows", len(rows)))
	}
	for _, v := range rows[0] {
		return parseBool(v), nil
	}
	return false, nil
}
