package dbctl

import (
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"net"
	"strconv"
	"sync"
	"time"

	"github.com/jackc/pgx/v5/pgconn"
	"github.com/jackc/pgx/v5/pgproto3"

	"chervilspan.example/pkg/elect"
	"chervilspan.example/pkg/ident"
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
	// columns of the prepared status statement; nil when conn has none.
	columns []string
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
		c.conn, c.columns = nil, nil
	}
}

func (c *Client) fail(op string, k Kind, err error) error {
	return &Error{Op: op, Kind: k, Target: c.cfg.Target, Err: err}
}

// query runs one statement and returns its rows by column name.
func (c *Client) query(ctx context.Context, op, sql string) ([]map[string]string, error) {
	return c.call(ctx, op, func(f *pgproto3.Frontend) answer {
		f.Send(&pgproto3.Query{String: sql})
		return answer{}
	})
}

// call sends what send does and returns the rows of the answer. It takes the
// turn, connects when there is no connection, and closes the connection unless
// the answer was complete.
func (c *Client) call(ctx context.Context, op string, send func(*pgproto3.Frontend) answer) ([]map[string]string, error) {
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
	a, err := c.exchange(ctx, send)
	if err != nil {
		c.drop()
		return nil, c.fail(op, KindNoAnswer, err)
	}
	if a.refusal != nil {
		if a.prepared {
			c.drop() // the target may lack the statement, or have it already
		}
		return nil, &Error{
			Op: op, Kind: kindOf(a.refusal.Code), Target: c.cfg.Target,
			SQLState: a.refusal.Code, Err: errors.New(a.refusal.Message),
		}
	}
	return a.rows, nil
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

// exchange sends a request and reads up to ReadyForQuery.
func (c *Client) exchange(ctx context.Context, send func(*pgproto3.Frontend) answer) (answer, error) {
	deadline, _ := ctx.Deadline()
	conn := c.conn.Conn
	if err := conn.SetDeadline(deadline); err != nil {
		return answer{}, err
	}
	stop := context.AfterFunc(ctx, func() { _ = conn.SetDeadline(time.Unix(1, 0)) })
	a := send(c.conn.Frontend)
	err := c.receive(&a)
	if !stop() && err == nil {
		// The deadline may be set at any moment and would hit the next call.
		err = ctx.Err()
	}
	return a, err
}

func (c *Client) receive(a *answer) error {
	f := c.conn.Frontend
	if err := f.Flush(); err != nil {
		return err
	}
	for {
		msg, err := f.Receive()
		if err != nil {
			return err
		}
		if _, ok := msg.(*pgproto3.ReadyForQuery); ok {
			return nil
		}
		if err := a.take(msg); err != nil {
			return err
		}
	}
}
