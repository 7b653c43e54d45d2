package load

import (
	"context"
	"fmt"
	"time"

	"github.com/jackc/pgx/v5"
)

// Access holds the addresses and credentials with which the targets of a group
// are reached directly, without a daemon.
type Access struct {
	Addresses []string
	User      string
	Password  string

	dial dialFunc
}

// createStatements create the table that a run writes to. It has no unique
// constraint on an order's id, so that Verify can count duplicates.
var createStatements = []string{
	"DROP TABLE IF EXISTS orders",
	"CREATE TABLE orders (id text, workspace text, session bigint, seq bigint)",
	"CREATE INDEX orders_session ON orders (session, seq)",
}

// Prepare drops and creates the table of orders on the group's primary. It
// returns an *Error of kind KindTarget when there is no primary or a statement
// fails.
func Prepare(ctx context.Context, a Access) error {
	conn, err := a.connectPrimary(ctx)
	if err != nil {
		return err
	}
	defer func() { _ = conn.Close(ctx) }()
	for _, text := range createStatements {
		if _, err := conn.Exec(ctx, text); err != nil {
			return targetError("prepare", err)
		}
	}
	return nil
}

// Verify compares a ledger with the rows on the group's primary.
func Verify(ctx context.Context, a Access, l *Ledger) (Verdict, error) {
	conn, err := a.connectPrimary(ctx)
	if err != nil {
		return Verdict{}, err
	}
	defer func() { _ = conn.Close(ctx) }()
	rows, err := conn.Query(ctx, "SELECT id, count(*) FROM orders GROUP BY id")
	if err != nil {
		return Verdict{}, targetError("verify", err)
	}
	found := map[string]int{}
	var id string
	var n int64
	_, err = pgx.ForEachRow(rows, []any{&id, &n}, func() error {
		found[id] = int(n)
		return nil
	})
	if err != nil {
		return Verdict{}, targetError("verify", err)
	}
	return compare(l.Orders(), found), nil
}

// PrimaryAddress returns the address of the group's primary.
func (a Access) PrimaryAddress(ctx context.Context) (string, error) {
	conn, err := a.connectPrimary(ctx)
	if err != nil {
		return "", err
	}
	defer func() { _ = conn.Close(ctx) }()
	return conn.PgConn().Conn().RemoteAddr().String(), nil
}

// connectPrimary connects to the target that is the primary of the highest term.
func (a Access) connectPrimary(ctx context.Context) (*pgx.Conn, error) {
	var best *pgx.Conn
	var bestTerm int64
	for _, address := range a.Addresses {
		conn, term := a.connectIfPrimary(ctx, address)
		if conn == nil {
			continue
		}
		if term <= bestTerm {
			_ = conn.Close(ctx)
			continue
		}
		if best != nil {
			_ = best.Close(ctx)
		}
		best, bestTerm = conn, term
	}
	if best == nil {
		return nil, targetError("find the primary", fmt.Errorf("none of the %d targets is a primary", len(a.Addresses)))
	}
	return best, nil
}

// statusTimeout bounds the wait for a target that does not answer.
const statusTimeout = time.Second

// connectIfPrimary connects to a target and returns its term. The connection is
// nil unless the target is a primary.
func (a Access) connectIfPrimary(ctx context.Context, address string) (conn *pgx.Conn, term int64) {
	ctx, cancel := context.WithTimeout(ctx, statusTimeout)
	defer cancel()
	conn, err := a.connect(ctx, address)
	if err != nil {
		return nil, 0
	}
	var role string
	err = conn.QueryRow(ctx, "SELECT term, role FROM chervil_status()").Scan(&term, &role)
	if err != nil || role != "primary" {
		_ = conn.Close(ctx)
		return nil, 0
	}
	return conn, term
}

func (a Access) connect(ctx context.Context, address string) (*pgx.Conn, error) {
	return a.dial.connect(ctx, loginParams{address: address, user: a.User, password: a.Password, database: "orders"})
}

func targetError(op string, err error) error {
	return &Error{Op: op, Kind: KindTarget, Text: err.Error()}
}
