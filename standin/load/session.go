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

// positionParam is the parameter that carries the session's position: at startup
// to the server, in parameter status messages back to the session.
const positionParam = "chervil.position"

// maxInsertAttempts limits how often an idempotent order is sent.
const maxInsertAttempts = 5

// session is one caller. It sends one statement at a time and keeps its position
// when it moves to another address.
type session struct {
	cfg          Config
	rec          *recorder
	ws           Workspace
	id           int64
	addressIndex int // index into Addresses
	conn         *pgx.Conn
	position     string
	statements   int
	// lastSeq is the number of the last order sent, lastAcked that of the last
	// one done.
	lastSeq   int64
	lastAcked int64
}

// run executes arrivals from the queue until there are no more.
func (s *session) run(ctx context.Context, queue *queue) {
	defer s.closeConn()
	for {
		a, ok := queue.take(ctx)
		if !ok {
			return
		}
		sent := time.Since(s.rec.start)
		outcome, reason := s.execute(ctx, a)
		s.rec.recordResult(a, sent, outcome, reason)
	}
}

func (s *session) execute(ctx context.Context, a Arrival) (Outcome, string) {
	ctx, cancel := context.WithTimeout(ctx, s.cfg.StatementTimeout)
	defer cancel()
	if s.cfg.RoamEvery > 0 && s.statements%s.cfg.RoamEvery == s.cfg.RoamEvery-1 {
		s.closeConn()
	}
	s.statements++
	if a.Class == ClassWrite {
		return s.writeOrder(ctx)
	}
	err := s.readLastOrder(ctx)
	s.recordAnswer(err)
	return classify(err)
}

// writeOrder sends the session's next order and adds it to the ledger.
func (s *session) writeOrder(ctx context.Context) (Outcome, string) {
	s.lastSeq++
	o := Order{ID: fmt.Sprintf("%d-%d", s.id, s.lastSeq), Session: s.id, Seq: s.lastSeq}
	reason := s.insertUntilKnown(ctx, &o)
	s.rec.ledger.add(o)
	if o.Outcome == OutcomeDone {
		s.lastAcked = s.lastSeq
	}
	return o.Outcome, reason
}

// insertUntilKnown sends an order and sets its outcome. An order with an
// idempotency key is retried while its outcome is unknown. A retry that did not
// run does not tell whether an attempt before it ran.
func (s *session) insertUntilKnown(ctx context.Context, o *Order) (reason string) {
	unknown := false
	for range maxInsertAttempts {
		err := s.insert(ctx, *o)
		s.recordAnswer(err)
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
	if err := s.ensureConnected(ctx); err != nil {
		return err
	}
	if s.cfg.Idempotent {
		if _, err := s.conn.Exec(ctx, "SET chervil.idempotency_key = '"+o.ID+"'"); err != nil {
			return &notSentError{err}
		}
	}
	_, err := s.conn.Exec(ctx, "INSERT INTO orders (id, workspace, session, seq) VALUES ($1, $2, $3, $4)",
		o.ID, s.ws.Name, o.Session, o.Seq)
	return err
}

// readLastOrder reads the number of the session's last order. The echoed
// parameter tells whether the answer belongs to this request.
func (s *session) readLastOrder(ctx context.Context) error {
	if err := s.ensureConnected(ctx); err != nil {
		return err
	}
	var echo, last int64
	err := s.conn.QueryRow(ctx, "SELECT $1::bigint, coalesce(max(seq), 0) FROM orders WHERE session = $1", s.id).Scan(&echo, &last)
	if err != nil {
		return err
	}
	switch {
	case echo != s.id || last > s.lastSeq:
		s.rec.increment(&s.rec.wrongAnswers)
	case last < s.lastAcked:
		s.rec.increment(&s.rec.staleReads)
	}
	return nil
}

// recordAnswer takes the position from an answer and discards a connection that
// is closed.
func (s *session) recordAnswer(err error) {
	if s.conn == nil {
		return
	}
	if token := s.conn.PgConn().ParameterStatus(positionParam); token != "" {
		s.position = token
	}
	if err != nil && s.conn.IsClosed() {
		s.closeConn()
	}
}

// closeConn closes the connection. The next one goes to the next address.
func (s *session) closeConn() {
	if s.conn == nil {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), 100*time.Millisecond)
	defer cancel()
	_ = s.conn.Close(ctx)
	s.conn = nil
	s.addressIndex++
}

// ensureConnected opens a connection unless there is one. It tries as many
// addresses as there are, from the current one on. Its error is a
// *notSentError.
func (s *session) ensureConnected(ctx context.Context) error {
	if s.conn != nil {
		return nil
	}
	var last error
	for range s.cfg.Addresses {
		conn, err := s.cfg.dial.connect(ctx, loginParams{
			address: s.cfg.Addresses[s.addressIndex%len(s.cfg.Addresses)], user: cmp.Or(s.cfg.User, s.ws.Name), password: s.ws.Key,
			database: s.cfg.Route, position: s.position, tls: s.cfg.TLS,
		})
		if err == nil {
			s.conn = conn
			s.rec.increment(&s.rec.connects)
			return nil
		}
		last = err
		s.addressIndex++
	}
	return &notSentError{last}
}

// notSentError is the error of a statement that was not sent at all.
type notSentError struct{ err error }

func (u *notSentError) Error() string { return "statement not sent: " + u.err.Error() }

func (u *notSentError) Unwrap() error { return u.err }

// dialFunc dials a network connection; nil means pgx's default.
type dialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// loginParams are the parameters of a new connection.
type loginParams struct {
	address  string
	user     string
	password string
	database string
	// position is passed as a startup parameter unless empty.
	position string
	// tls is nil for plain text, which is allowed on loopback addresses.
	tls *tls.Config
}

func (d dialFunc) connect(ctx context.Context, l loginParams) (*pgx.Conn, error) {
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
	if l.position != "" {
		cfg.RuntimeParams[positionParam] = l.position
	}
	return pgx.ConnectConfig(ctx, cfg)
}
