package sqldb

import (
	"context"
	"database/sql"
	"strings"
	"sync"

	// The driver of the in-memory database.
	_ "modernc.org/sqlite"
)

// DB is one in-memory database. Its methods may be called from several
// goroutines; statements run one at a time.
type DB struct {
	mu   sync.Mutex
	pool *sql.DB
	conn *sql.Conn
	// described is valid until the schema changes.
	described map[*Statement]*Description
	schema    map[string][]Column
}

// Result is what a statement returned: rows, or the number of rows changed.
type Result struct {
	Rows     [][]any
	Affected int64
}

// Open returns an empty database.
func Open() (*DB, error) {
	pool, err := sql.Open("sqlite", ":memory:")
	if err != nil {
		return nil, dataError("open", err)
	}
	pool.SetMaxOpenConns(1)
	conn, err := pool.Conn(context.Background())
	if err != nil {
		return nil, dataError("open", err)
	}
	return &DB{pool: pool, conn: conn}, nil
}

// Close frees the database.
func (d *DB) Close() error {
	d.mu.Lock()
	defer d.mu.Unlock()
	_ = d.conn.Close()
	return d.pool.Close()
}

// Reset drops all rows and tables, and an open transaction.
func (d *DB) Reset() error {
	fresh, err := Open()
	if err != nil {
		return err
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	_ = d.conn.Close()
	_ = d.pool.Close()
	d.pool, d.conn = fresh.pool, fresh.conn
	d.described, d.schema = nil, nil
	return nil
}

// CopyFrom replaces the contents of d by those of src.
func (d *DB) CopyFrom(src *DB) error {
	var image []byte
	src.mu.Lock()
	err := src.conn.Raw(func(c any) (err error) {
		image, err = c.(interface{ Serialize() ([]byte, error) }).Serialize()
		return err
	})
	src.mu.Unlock()
	if err != nil {
		return dataError("copy", err)
	}
	if err := d.Reset(); err != nil || len(image) == 0 {
		return err
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	err = d.conn.Raw(func(c any) error {
		return c.(interface{ Deserialize([]byte) error }).Deserialize(image)
	})
	if err != nil {
		return dataError("copy", err)
	}
	return nil
}

// Begin starts the only transaction that a database can have.
func (d *DB) Begin() error { return d.plain("BEGIN") }

// Commit ends the transaction and keeps its changes.
func (d *DB) Commit() error { return d.plain("COMMIT") }

// Rollback ends the transaction and drops its changes.
func (d *DB) Rollback() error {
	err := d.plain("ROLLBACK")
	d.mu.Lock()
	d.described, d.schema = nil, nil
	d.mu.Unlock()
	return err
}

func (d *DB) plain(text string) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	if _, err := d.conn.ExecContext(context.Background(), text); err != nil {
		return dataError(strings.ToLower(text), err)
	}
	return nil
}

// Run runs a statement of class read or write.
func (d *DB) Run(s *Statement, args []any) (Result, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if s.Class == ClassWrite && !s.TagHasCount {
		d.described, d.schema = nil, nil
	}
	if !s.ReturnsRows {
		return d.exec(s.SQL, args)
	}
	rows, err := d.conn.QueryContext(context.Background(), s.SQL, args...)
	if err != nil {
		return Result{}, dataError("run", err)
	}
	list, err := collect(rows)
	return Result{Rows: list, Affected: int64(len(list))}, err
}

func (d *DB) exec(text string, args []any) (Result, error) {
	r, err := d.conn.ExecContext(context.Background(), text, args...)
	if err != nil {
		return Result{}, dataError("run", err)
	}
	n, err := r.RowsAffected()
	if err != nil {
		return Result{}, dataError("run", err)
	}
	return Result{Affected: n}, nil
}

// ExecSQLite runs a statement that is already in SQLite's dialect, as a log entry
// holds it.
func (d *DB) ExecSQLite(text string, args []any) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	if !changesRows(text) {
		d.described, d.schema = nil, nil
	}
	_, err := d.exec(text, args)
	return err
}

func changesRows(text string) bool {
	word, _, _ := strings.Cut(strings.ToUpper(text), " ")
	return word == "INSERT" || word == "UPDATE" || word == "DELETE"
}

func collect(rows *sql.Rows) ([][]any, error) {
	defer func() { _ = rows.Close() }()
	names, err := rows.Columns()
	if err != nil {
		return nil, dataError("run", err)
	}
	var out [][]any
	for rows.Next() {
		row := make([]any, len(names))
		into := make([]any, len(names))
		for i := range row {
			into[i] = &row[i]
		}
		if err := rows.Scan(into...); err != nil {
			return nil, dataError("run", err)
		}
		out = append(out, row)
	}
	if err := rows.Err(); err != nil {
		return nil, dataError("run", err)
	}
	return out, nil
}

// load reads the columns of all tables. The caller holds mu.
func (d *DB) load() error {
	if d.schema != nil {
		return nil
	}
	rows, err := d.conn.QueryContext(context.Background(),
		"SELECT m.name, p.name, p.type FROM sqlite_schema m, pragma_table_info(m.name) p WHERE m.type IN ('table', 'view') ORDER BY m.name, p.cid")
	if err != nil {
		return dataError("describe", err)
	}
	list, err := collect(rows)
	if err != nil {
		return err
	}
	d.schema = map[string][]Column{}
	for _, r := range list {
		table := Text(r[0])
		d.schema[table] = append(d.schema[table], Column{Name: Text(r[1]), OID: oidOf(Text(r[2]))})
	}
	return nil
}
