package load

import (
	"context"
	"fmt"
	"time"

	"github.com/jackc/pgx/v5"
)

// Access tells how to reach the targets of a group directly.
type Access struct {
	Addresses []string
	User      string
	Password  string

	dialer dialer
}

// schema is the table that a run writes to. An order's id is not unique there,
// so that a duplicate shows.
var schema = []string{
	"DROP TABLE IF EXISTS orders",
	"CREATE TABLE orders (id text, workspace text, session bigint, seq bigint)",
	"CREATE INDEX orders_session ON orders (session, seq)",
}

// Prepare creates the table of orders anew on the group's primary. It returns
// an *Error of kind KindTarget when there is no primary or it refuses.
func Prepare(ctx context.Context, a Access) error {
	conn, err := a.primary(ctx)
	if err != nil {
		return err
	}
	defer func() { _ = conn.Close(ctx) }()
	for _, text := range schema {
		if _, err := conn.Exec(ctx, text); err != nil {
			return targetError("prepare", err)
		}
	}
	return nil
}

// Verify compares a ledger with the rows of the group's primary.
func Verify(ctx context.Context, a Access, l *Ledger) (Verdict, error) {
	conn, err := a.primary(ctx)
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
	conn, err := a.primary(ctx)
	if err != nil {
		return "", err
	}
	defer func() { _ = conn.Close(ctx) }()
	return conn.PgConn().Conn().RemoteAddr().String(), nil
}

// primary connects to the target that is the primary of the highest term.
func (a Access) primary(ctx context.Context) (*pgx.Conn, error) {
	var best *pgx.Conn
	var bestTerm int64
	for _, address := range a.Addresses {
		conn, term := a.openPrimary(ctx, address)
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
		return nil, targetError("find the primary", fmt.Errorf("none of %d targets is a primary", len(a.Addresses)))
	}
	return best, nil
}

// askTimeout bounds what a target that answers nothing costs.
const askTimeout = time.Second

// openPrimary connects to a target and returns its term; the connection is nil
// unless the target is a primary.
func (a Access) openPrimary(ctx context.Context, address string) (conn *pgx.Conn, term int64) {
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	conn, err := a.open(ctx, address)
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

func (a Access) open(ctx context.Context, address string) (*pgx.Conn, error) {
	return a.dialer.open(ctx, login{address: address, user: a.User, password: a.Password, database: "orders"})
}

func targetError(op string, err error) error {
	return &Error{Op: op, Kind: KindTarget, Text: err.Error()}
}
