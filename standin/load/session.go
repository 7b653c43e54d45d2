package load

import (
	"cmp"
	"context"
	"crypto/tls"
	"fmt"
	"net"
	"strconv"
	"time"

	"github.com/jackc/pgx/v5"
	"github.com/jackc/pgx/v5/pgconn"
)

// positionVar is the name of the session's position, in both directions.
const positionVar = "chervil.position"

// attempts is how often an idempotent order is sent at most.
const attempts = 5

// session is one caller: it sends one statement at a time and keeps its
// position when it moves to another address.
type session struct {
	cfg   Config
	rec   *recorder
	ws    Workspace
	id    int64
	addr  int // index into Addresses
	conn  *pgx.Conn
	token string
	sent  int
	// seq is the last order that was sent, acked the last that is done.
	seq   int64
	acked int64
}

// serve takes arrivals until there are no more.
func (s *session) serve(ctx context.Context, queue *queue) {
	defer s.drop()
	for {
		a, ok := queue.take(ctx)
		if !ok {
			return
		}
		sent := time.Since(s.rec.start)
		outcome, reason := s.one(ctx, a)
		s.rec.done(a, sent, outcome, reason)
	}
}

func (s *session) one(ctx context.Context, a Arrival) (Outcome, string) {
	ctx, cancel := context.WithTimeout(ctx, s.cfg.StatementTimeout)
	defer cancel()
	if s.cfg.RoamEvery > 0 && s.sent%s.cfg.RoamEvery == s.cfg.RoamEvery-1 {
		s.drop()
	}
	s.sent++
	if a.Class == ClassWrite {
		return s.write(ctx)
	}
	err := s.read(ctx)
	s.after(err)
	return classify(err)
}

// write sends the session's next order.
func (s *session) write(ctx context.Context) (Outcome, string) {
	s.seq++
	o := Order{ID: fmt.Sprintf("%d-%d", s.id, s.seq), Session: s.id, Seq: s.seq}
	reason := s.insertUntilKnown(ctx, &o)
	s.rec.ledger.add(o)
	if o.Outcome == OutcomeDone {
		s.acked = s.seq
	}
	return o.Outcome, reason
}

// insertUntilKnown sets the order's outcome. An order with an idempotency key
// is repeated while its outcome is unknown; a repetition that did not run says
// nothing of the attempt before it.
func (s *session) insertUntilKnown(ctx context.Context, o *Order) (reason string) {
	unknown := false
	for range attempts {
		err := s.insert(ctx, *o)
		s.after(err)
		o.Outcome, reason = classify(err)
		unknown = unknown || o.Outcome == OutcomeUnknown
		if o.Outcome == OutcomeDone || !unknown || !s.cfg.Idempotent || ctx.Err() != nil {
			break
		}
	}
	if unknown && o.Outcome == OutcomeNotRun {
		o.Outcome = OutcomeUnknown
	}
	return reason
}

func (s *session) insert(ctx context.Context, o Order) error {
	if err := s.connect(ctx); err != nil {
		return err
	}
	if s.cfg.Idempotent {
		if _, err := s.conn.Exec(ctx, "SET chervil.idempotency_key = '"+o.ID+"'"); err != nil {
			return &unsent{err}
		}
	}
	_, err := s.conn.Exec(ctx, "INSERT INTO orders (id, workspace, session, seq) VALUES ($1, $2, $3, $4)",
		o.ID, s.ws.Name, o.Session, o.Seq)
	return err
}

// read asks for the session's last order. The echo tells whether the answer
// belongs to this request.
func (s *session) read(ctx context.Context) error {
	if err := s.connect(ctx); err != nil {
		return err
	}
	var echo, last int64
	err := s.conn.QueryRow(ctx, "SELECT $1::bigint, coalesce(max(seq), 0) FROM orders WHERE session = $1", s.id).Scan(&echo, &last)
	if err != nil {
		return err
	}
	switch {
	case echo != s.id || last > s.seq:
		s.rec.add(&s.rec.wrong)
	case last < s.acked:
		s.rec.add(&s.rec.stale)
	}
	return nil
}

// after keeps the position of an answer, and gives a broken connection up.
func (s *session) after(err error) {
	if s.conn == nil {
		return
	}
	if token := s.conn.PgConn().ParameterStatus(positionVar); token != "" {
		s.token = token
	}
	if err != nil && s.conn.IsClosed() {
		s.drop()
	}
}

// drop closes the connection; the next one goes to the next address.
func (s *session) drop() {
	if s.conn == nil {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), 100*time.Millisecond)
	defer cancel()
	_ = s.conn.Close(ctx)
	s.conn = nil
	s.addr++
}

// connect opens a connection unless there is one; it tries each address once.
// A failure means that nothing was sent.
func (s *session) connect(ctx context.Context) error {
	if s.conn != nil {
		return nil
	}
	var last error
	for range s.cfg.Addresses {
		conn, err := s.cfg.dialer.open(ctx, login{
			address: s.cfg.Addresses[s.addr%len(s.cfg.Addresses)], user: cmp.Or(s.cfg.User, s.ws.Name), password: s.ws.Key,
			database: s.cfg.Route, token: s.token, tls: s.cfg.TLS,
		})
		if err == nil {
			s.conn = conn
			s.rec.add(&s.rec.connects)
			return nil
		}
		last = err
		s.addr++
	}
	return &unsent{last}
}

// unsent is the error of a statement of which nothing was sent.
type unsent struct{ err error }

func (u *unsent) Error() string { return "nothing was sent: " + u.err.Error() }

func (u *unsent) Unwrap() error { return u.err }

// dialer opens connections; nil stands for a net.Dialer.
type dialer func(ctx context.Context, network, address string) (net.Conn, error)

// login is what a connection is opened with.
type login struct {
	address  string
	user     string
	password string
	database string
	// token is a position, passed as a startup parameter unless empty.
	token string
	// tls is nil for plain text, as loopback addresses allow.
	tls *tls.Config
}

func (d dialer) open(ctx context.Context, l login) (*pgx.Conn, error) {
	host, port, err := net.SplitHostPort(l.address)
	if err != nil {
		return nil, err
	}
	n, err := strconv.ParseUint(port, 10, 16)
	if err != nil {
		return nil, err
	}
	cfg, err := pgx.ParseConfig("sslmode=disable")
	if err != nil {
		return nil, err
	}
	cfg.Host, cfg.Port = host, uint16(n)
	if l.tls != nil {
		cfg.TLSConfig = l.tls.Clone()
		cfg.TLSConfig.ServerName = host
	}
	cfg.User, cfg.Password, cfg.Database = l.user, l.password, l.database
	cfg.Fallbacks = nil
	if d != nil {
		cfg.DialFunc = pgconn.DialFunc(d)
		cfg.LookupFunc = func(_ context.Context, host string) ([]string, error) { return []string{host}, nil }
	}
	if l.token != "" {
		cfg.RuntimeParams[positionVar] = l.token
	}
	return pgx.ConnectConfig(ctx, cfg)
}
