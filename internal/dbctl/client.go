package dbctl

import (
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"io"
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

// maxAnswerBytes bounds a message of an answer. The longest is the status, one row of 13
// names and numbers.
const maxAnswerBytes = 64 << 10

// Config configures a Client.
type Config struct {
	Target ident.Target
	// Address is IP:port.
	Address  string
	User     string
	Password string
	Database string
	// TLS is nil for unencrypted connections.
	TLS *tls.Config
	// Dial opens the connection; nil means a net.Dialer.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
}

// Client makes control calls to one target. Its methods may be called from several
// goroutines; the calls run one after another.
type Client struct {
	cfg Config
	// token holds one element while no call runs. A call takes it out.
	token     chan struct{}
	closed    chan struct{}
	closeOnce sync.Once
	// The fields below may be used only by the holder of the token.
	conn     *pgconn.HijackedConn
	lastUsed time.Time
	// columns are those of the prepared status statement; nil if it is not
	// prepared on conn.
	columns []string
}

var _ elect.Database = (*Client)(nil)

// New returns a client that connects on its first call.
func New(cfg Config) *Client {
	c := &Client{cfg: cfg, token: make(chan struct{}, 1), closed: make(chan struct{})}
	c.token <- struct{}{}
	return c
}

// Close ends the client. A running call finishes first; later calls fail with
// KindClosed.
func (c *Client) Close() {
	c.closeOnce.Do(func() {
		<-c.token
		c.closeConn()
		close(c.closed)
	})
}

// CloseIdle closes the connection if it has not been used for d. It does nothing
// while a call runs.
func (c *Client) CloseIdle(d time.Duration) {
	select {
	case <-c.token:
	default:
		return
	}
	defer func() { c.token <- struct{}{} }()
	if c.conn != nil && time.Since(c.lastUsed) >= d {
		c.closeConn()
	}
}

func (c *Client) closeConn() {
	if c.conn != nil {
		_ = c.conn.Conn.Close()
		c.conn, c.columns = nil, nil
	}
}

func (c *Client) newError(op string, k Kind, err error) error {
	return &Error{Op: op, Kind: k, Target: c.cfg.Target, Err: err}
}

// query runs one statement and returns its rows by column name.
func (c *Client) query(ctx context.Context, op, sql string) ([]map[string]string, error) {
	return c.call(ctx, op, func(f *pgproto3.Frontend) answer {
		f.Send(&pgproto3.Query{String: sql})
		return answer{}
	})
}

// call sends a request with send and returns the rows of the answer. It waits for
// the token, connects if there is no connection, and closes the connection unless
// the answer was complete.
func (c *Client) call(ctx context.Context, op string, send func(*pgproto3.Frontend) answer) ([]map[string]string, error) {
	ctx, cancel := withDefaultTimeout(ctx)
	defer cancel()
	select {
	case <-c.token:
	case <-c.closed:
		return nil, c.newError(op, KindClosed, errors.New("client closed"))
	case <-ctx.Done():
		return nil, c.newError(op, KindUnreachable, ctx.Err())
	}
	defer func() { c.token <- struct{}{} }()
	if c.conn == nil {
		if err := c.connect(ctx); err != nil {
			return nil, c.newError(op, KindUnreachable, err)
		}
	}
	c.lastUsed = time.Now()
	a, err := c.exchange(ctx, send)
	if err != nil {
		c.closeConn()
		return nil, c.newError(op, KindNoAnswer, err)
	}
	if c.conn.Frontend.ReadBufferLen() > 0 {
		c.closeConn() // the rest would be the answer to the next call
	}
	if a.errorResponse != nil {
		if a.prepared {
			c.closeConn() // the target may lack the statement, or have it already
		}
		return nil, &Error{
			Op: op, Kind: kindOf(a.errorResponse.Code), Target: c.cfg.Target,
			SQLState: a.errorResponse.Code, Err: errors.New(a.errorResponse.Message),
		}
	}
	return a.rows, nil
}

func withDefaultTimeout(ctx context.Context) (context.Context, context.CancelFunc) {
	if _, ok := ctx.Deadline(); ok {
		return context.WithCancel(ctx)
	}
	return context.WithTimeout(ctx, DefaultTimeout)
}

// connect opens a connection and logs in. It hijacks the connection from pgconn,
// because pgconn answers a timeout with a cancel request on a further connection,
// and these would accumulate at a target that hangs.
func (c *Client) connect(ctx context.Context) error {
	host, port, err := net.SplitHostPort(c.cfg.Address)
	if err != nil {
		return err
	}
	portNumber, err := strconv.ParseUint(port, 10, 16)
	if err != nil {
		return fmt.Errorf("port %q: %w", port, err)
	}
	cfg, err := pgconn.ParseConfig("host=" + quoteValue(host) + " sslmode=disable target_session_attrs=any")
	if err != nil {
		return err
	}
	cfg.Port = uint16(portNumber)
	cfg.User, cfg.Password, cfg.Database = c.cfg.User, c.cfg.Password, c.cfg.Database
	cfg.TLSConfig, cfg.Fallbacks = c.cfg.TLS, nil
	cfg.RuntimeParams = map[string]string{"application_name": "chervild-control"}
	cfg.LookupFunc = func(_ context.Context, host string) ([]string, error) { return []string{host}, nil }
	cfg.BuildFrontend = func(r io.Reader, w io.Writer) *pgproto3.Frontend {
		f := pgproto3.NewFrontend(r, w)
		f.SetMaxBodyLen(maxAnswerBytes)
		return f
	}
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
		// The function may set the deadline at any moment, which would make the
		// next call fail.
		err = ctx.Err()
	}
	return a, err
}

// receive sends the buffered request and reads its answer.
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
		if err := a.add(msg); err != nil {
			return err
		}
	}
}
