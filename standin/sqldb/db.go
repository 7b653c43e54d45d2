package sqldb

import (
	"context"
	"database/sql"
	"strings"
	"sync"

	// Registers the SQLite driver.
	_ "modernc.org/sqlite"
)

// DB is an in-memory database. Its methods may be called concurrently;
// statements run one at a time.
type DB struct {
	mu   sync.Mutex
	pool *sql.DB
	conn *sql.Conn
	// descriptions and schema are caches, dropped when the schema may have changed.
	descriptions map[*Statement]*Description
	schema       map[string][]Column
}

// Result is the result of a statement: its rows and their number, or the number
// of changed rows.
type Result struct {
	Rows     [][]any
	Affected int64
}

// Open returns an empty database.
func Open() (*DB, error) {
	pool, err := sql.Open("sqlite", ":memory:")
	if err != nil {
		return nil, databaseError("open", err)
	}
	pool.SetMaxOpenConns(1)
	conn, err := pool.Conn(context.Background())
	if err != nil {
		return nil, databaseError("open", err)
	}
	return &DB{pool: pool, conn: conn}, nil
}

// Close closes the database and frees its memory.
func (d *DB) Close() error {
	d.mu.Lock()
	defer d.mu.Unlock()
	_ = d.conn.Close()
	return d.pool.Close()
}

// Reset removes all tables and ends an open transaction without its changes.
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
	d.descriptions, d.schema = nil, nil
	return nil
}

// CopyFrom replaces the contents of d with a copy of src.
func (d *DB) CopyFrom(src *DB) error {
	var image []byte
	src.mu.Lock()
	err := src.conn.Raw(func(c any) (err error) {
		image, err = c.(interface{ Serialize() ([]byte, error) }).Serialize()
		return err
	})
	src.mu.Unlock()
	if err != nil {
		return databaseError("copy", err)
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
		return databaseError("copy", err)
	}
	return nil
}

// Begin starts a transaction. A database has at most one at a time.
func (d *DB) Begin() error { return d.execControl("BEGIN") }

// Commit ends the transaction and keeps its changes.
func (d *DB) Commit() error { return d.execControl("COMMIT") }

// Rollback ends the transaction and discards its changes.
func (d *DB) Rollback() error {
	err := d.execControl("ROLLBACK")
	d.mu.Lock()
	d.descriptions, d.schema = nil, nil
	d.mu.Unlock()
	return err
}

func (d *DB) execControl(text string) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	if _, err := d.conn.ExecContext(context.Background(), text); err != nil {
		return databaseError(strings.ToLower(text), err)
	}
	return nil
}

// Run runs a statement of class ClassRead or ClassWrite.
func (d *DB) Run(s *Statement, args []any) (Result, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if s.Class == ClassWrite && !s.TagHasCount {
		d.descriptions, d.schema = nil, nil
	}
	if !s.ReturnsRows {
		return d.exec(s.SQL, args)
	}
	rows, err := d.conn.QueryContext(context.Background(), s.SQL, args...)
	if err != nil {
		return Result{}, databaseError("run", err)
	}
	list, err := collectRows(rows)
	return Result{Rows: list, Affected: int64(len(list))}, err
}

// exec runs a statement that returns no rows. The caller holds mu.
func (d *DB) exec(text string, args []any) (Result, error) {
	r, err := d.conn.ExecContext(context.Background(), text, args...)
	if err != nil {
		return Result{}, databaseError("run", err)
	}
	n, err := r.RowsAffected()
	if err != nil {
		return Result{}, databaseError("run", err)
	}
	return Result{Affected: n}, nil
}

// ExecSQLite runs a statement in SQLite's dialect, the form in which log entries
// hold statements.
func (d *DB) ExecSQLite(text string, args []any) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	if !changesRows(text) {
		d.descriptions, d.schema = nil, nil
	}
	_, err := d.exec(text, args)
	return err
}

// changesRows reports whether a statement changes only rows, so that the cached
// schema stays valid.
func changesRows(text string) bool {
	word, _, _ := strings.Cut(strings.ToUpper(text), " ")
	return word == "INSERT" || word == "UPDATE" || word == "DELETE"
}

func collectRows(rows *sql.Rows) ([][]any, error) {
	defer func() { _ = rows.Close() }()
	names, err := rows.Columns()
	if err != nil {
		return nil, databaseError("run", err)
	}
	var out [][]any
	for rows.Next() {
		row := make([]any, len(names))
		dest := make([]any, len(names))
		for i := range row {
			dest[i] = &row[i]
		}
		if err := rows.Scan(dest...); err != nil {
			return nil, databaseError("run", err)
		}
		out = append(out, row)
	}
	if err := rows.Err(); err != nil {
		return nil, databaseError("run", err)
	}
	return out, nil
}

// loadSchema reads the columns of all tables and views unless they are cached.
// The caller holds mu.
func (d *DB) loadSchema() error {
	if d.schema != nil {
		return nil
	}
	rows, err := d.conn.QueryContext(context.Background(),
		"SELECT m.name, p.name, p.type FROM sqlite_schema m, pragma_table_info(m.name) p WHERE m.type IN ('table', 'view') ORDER BY m.name, p.cid")
	if err != nil {
		return databaseError("describe", err)
	}
	list, err := collectRows(rows)
	if err != nil {
		return err
	}
	d.schema = map[string][]Column{}
	for _, r := range list {
		table := Text(r[0])
		d.schema[table] = append(d.schema[table], Column{Name: Text(r[1]), OID: oidOfDeclared(Text(r[2]))})
	}
	return nil
}
