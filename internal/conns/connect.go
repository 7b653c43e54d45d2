package conns

import (
	"cmp"
	"context"
	"net"
	"strconv"
	"time"

	"github.com/hashicorp/golang-lru/v2/simplelru"
	"github.com/jackc/pgx/v5/pgconn"
	"github.com/jackc/pgx/v5/pgproto3"

	"chervilspan.example/pkg/topo"
)

// connect opens a connection and logs in with the proxy's own credentials.
func (p *Pools) connect(ctx context.Context, l *pool, tgt topo.Target, database string) (*Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, p.cfg.ConnectTimeout)
	defer cancel()
	cfg, err := p.pgConfig(tgt.Config.Address, database)
	if err != nil {
		return nil, err
	}
	pc, err := pgconn.ConnectConfig(ctx, cfg)
	if err != nil {
		return nil, err
	}
	h, err := pc.Hijack()
	if err != nil {
		_ = pc.Conn().Close()
		return nil, err
	}
	_ = h.Conn.SetDeadline(time.Time{})
	c := &Conn{
		netConn: h.Conn, frontend: h.Frontend, pool: l, group: l.group, target: l.target,
		address: tgt.Config.Address, database: database, pid: h.PID, secret: h.SecretKey,
		status: h.TxStatus, usedAt: time.Now(), openedAt: p.elapsed(),
	}
	c.recordReceived(false)
	c.prepared, err = simplelru.NewLRU(p.cfg.StatementLimit, func(name string, _ bool) { c.evicted = append(c.evicted, name) })
	if err != nil {
		c.close()
		return nil, err
	}
	if v := h.ParameterStatuses[paramPosition]; v != "" {
		c.recordPosition(v)
	}
	return c, nil
}

// pgConfig returns the settings of a connection. Nothing is taken from the
// environment of the process.
func (p *Pools) pgConfig(address, database string) (*pgconn.Config, error) {
	host, portText, err := net.SplitHostPort(address)
	if err != nil {
		return nil, err
	}
	port, err := strconv.ParseUint(portText, 10, 16)
	if err != nil {
		return nil, err
	}
	cfg, err := pgconn.ParseConfig("host=127.0.0.1 sslmode=disable user=none passfile=/dev/null target_session_attrs=any")
	if err != nil {
		return nil, err
	}
	cfg.Host, cfg.Port = host, uint16(port)
	cfg.User, cfg.Password = p.cfg.User, p.cfg.Password
	cfg.Database = cmp.Or(database, p.cfg.Database, p.cfg.User)
	cfg.TLSConfig = p.cfg.TLS
	cfg.Fallbacks = nil
	cfg.DialFunc = p.cfg.Dial
	cfg.BuildFrontend = newFrontend
	cfg.ConnectTimeout = p.cfg.ConnectTimeout
	cfg.LookupFunc = func(_ context.Context, host string) ([]string, error) { return []string{host}, nil }
	cfg.RuntimeParams = map[string]string{
		"application_name": "chervilspan",
		// The values that callers are told at login and that stmt.HasFixedValue
		// lets them set.
		"client_encoding": "UTF8", "DateStyle": "ISO, MDY", "IntervalStyle": "postgres", "TimeZone": "UTC",
		"extra_float_digits": "1", "statement_timeout": "0", "lock_timeout": "0",
	}
	cfg.OnNotice = func(*pgconn.PgConn, *pgconn.Notice) {}
	return cfg, nil
}

// BeginCancel registers a coming Cancel. The caller ensures that the connection
// is running the statement to cancel, and calls done after Cancel. Put then
// closes the connection, because the request may take effect late.
func (c *Conn) BeginCancel() (done func()) {
	c.cancel.Lock()
	defer c.cancel.Unlock()
	c.cancel.requested = true
	c.cancel.running.Add(1)
	return c.cancel.running.Done
}

// Cancel asks the target to cancel the statement that runs on the connection. It
// returns when the target has handled the request.
func (p *Pools) Cancel(ctx context.Context, c *Conn) error {
	ctx, stop := context.WithTimeout(ctx, p.cfg.ConnectTimeout)
	defer stop()
	conn, err := p.cfg.Dial(ctx, "tcp", c.address)
	if err != nil {
		return &Error{Op: "cancel", Target: c.target, Kind: KindConnect, Err: err}
	}
	defer conn.Close()
	deadline, _ := ctx.Deadline()
	_ = conn.SetDeadline(deadline)
	msg, err := (&pgproto3.CancelRequest{ProcessID: c.pid, SecretKey: c.secret}).Encode(nil)
	if err != nil {
		return &Error{Op: "cancel", Target: c.target, Kind: KindConnect, Err: err}
	}
	if _, err := conn.Write(msg); err != nil {
		return &Error{Op: "cancel", Target: c.target, Kind: KindConnect, Err: err}
	}
	// The server closes the connection when it has handled the request.
	_, _ = conn.Read(make([]byte, 1))
	return nil
}

// AwaitCancel waits until no cancel request is in progress, so that a late one
// can't cancel the next statement of the same transaction.
func (c *Conn) AwaitCancel() { c.cancel.running.Wait() }
