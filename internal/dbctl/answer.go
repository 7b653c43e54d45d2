package dbctl

import (
	"fmt"
	"strings"

	"github.com/jackc/pgx/v5/pgproto3"
)

// answer collects the messages that answer a query.
type answer struct {
	columns       []string
	rows          []map[string]string
	errorResponse *pgproto3.ErrorResponse
	// prepared is true if the query was a prepared statement.
	prepared bool
	// onColumns, unless nil, is called with the columns when they arrive.
	onColumns func(columns []string)
}

// add adds a message to the answer.
func (a *answer) add(msg pgproto3.BackendMessage) error {
	switch msg := msg.(type) {
	case *pgproto3.RowDescription:
		a.columns = nil
		for _, f := range msg.Fields {
			a.columns = append(a.columns, string(f.Name))
		}
		if a.onColumns != nil {
			a.onColumns(a.columns)
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
		a.errorResponse = &e
	}
	return nil
}

// quote returns s as an SQL string literal.
func quote(s string) string { return "'" + strings.ReplaceAll(s, "'", "''") + "'" }

// quoteValue returns s as a value of a connection string.
func quoteValue(s string) string {
	return "'" + strings.NewReplacer(`\`, `\\`, `'`, `\'`).Replace(s) + "'"
}
