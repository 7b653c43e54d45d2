package sqldb

import (
	"strings"

	lru "github.com/hashicorp/golang-lru/v2"
	pgquery "github.com/pganalyze/pg_query_go/v6"
)

// Class tells what a statement does.
type Class uint8

// Classes of statements.
const (
	ClassRead Class = iota + 1
	ClassWrite
	ClassBegin
	ClassCommit
	ClassRollback
	ClassSet
	ClassShow
	ClassListen
	ClassUnlisten
	ClassDiscard
	ClassDeallocate
	// ClassCall is a call of one of the target's own functions.
	ClassCall
)

// Statement is a parsed statement. It is not changed after Parse and may be
// shared.
type Statement struct {
	Class Class
	// SQL is the statement in SQLite's dialect.
	SQL string
	// Tag is the command tag, without counts.
	Tag string
	// Rows tells whether the statement returns rows.
	ReturnsRows bool
	// Counted tells whether the tag ends in a number of rows.
	TagHasCount bool
	// ReadOnly is set for BEGIN READ ONLY.
	ReadOnly bool
	// Name is a variable, channel or prepared statement; empty means all.
	Name string
	// Value is that of SET.
	Value string
	// Call is set for ClassCall.
	Call *Call

	node *pgquery.Node
	text string
}

// Call is a call of one of the target's own functions, such as
// chervil_status().
type Call struct {
	Name string
	Args []Argument
	// Fields are the columns that are selected; empty means all.
	Fields []string
}

// Argument is an argument of a Call: a parameter, counted from 1, or a value.
type Argument struct {
	Param int
	Value any
}

// cached has parsed texts; workloads repeat a few statements.
var cached, _ = lru.New[string, []*Statement](4096)

// Parse splits a text into its statements and classifies each. An empty text
// gives an empty list.
func Parse(text string) ([]*Statement, error) {
	if list, ok := cached.Get(text); ok {
		return list, nil
	}
	tree, err := pgquery.Parse(text)
	if err != nil {
		return nil, syntaxError(err)
	}
	list := make([]*Statement, 0, len(tree.Stmts))
	for _, raw := range tree.Stmts {
		part := text[raw.StmtLocation:]
		if raw.StmtLen > 0 {
			part = part[:raw.StmtLen]
		}
		st, err := classify(raw.Stmt, part)
		if err != nil {
			return nil, err
		}
		list = append(list, st)
	}
	cached.Add(text, list)
	return list, nil
}

func classify(n *pgquery.Node, text string) (*Statement, error) {
	st := &Statement{node: n, text: text}
	if st.control(n) {
		return st, nil
	}
	if t := n.GetTransactionStmt(); t != nil {
		return st, st.transaction(t)
	}
	if sel := n.GetSelectStmt(); sel != nil {
		if st.Call = callOf(sel); st.Call != nil {
			st.Class, st.Tag, st.ReturnsRows, st.TagHasCount = ClassCall, "SELECT", true, true
			return st, nil
		}
		if sel.IntoClause != nil {
			return nil, unsupported("SELECT INTO is not supported")
		}
		st.Class, st.Tag, st.ReturnsRows, st.TagHasCount = ClassRead, "SELECT", true, true
		if writesInside(n) {
			return nil, unsupported("a writing statement inside WITH is not supported")
		}
	} else if err := st.write(n); err != nil {
		return nil, err
	}
	return st, st.rewrite()
}

// control fills in statements that concern only the session.
func (s *Statement) control(n *pgquery.Node) bool {
	switch {
	case n.GetVariableSetStmt() != nil:
		v := n.GetVariableSetStmt()
		s.Class, s.Tag, s.Name = ClassSet, "SET", v.Name
		if v.Kind == pgquery.VariableSetKind_VAR_RESET || v.Kind == pgquery.VariableSetKind_VAR_RESET_ALL {
			s.Tag = "RESET"
		}
		s.Value = setValue(v.Args)
	case n.GetVariableShowStmt() != nil:
		s.Class, s.Tag, s.Name, s.ReturnsRows = ClassShow, "SHOW", n.GetVariableShowStmt().Name, true
	case n.GetListenStmt() != nil:
		s.Class, s.Tag, s.Name = ClassListen, "LISTEN", n.GetListenStmt().Conditionname
	case n.GetUnlistenStmt() != nil:
		s.Class, s.Tag, s.Name = ClassUnlisten, "UNLISTEN", n.GetUnlistenStmt().Conditionname
	case n.GetDiscardStmt() != nil:
		s.Class, s.Tag = ClassDiscard, "DISCARD ALL"
	case n.GetDeallocateStmt() != nil:
		s.Class, s.Tag, s.Name = ClassDeallocate, "DEALLOCATE", n.GetDeallocateStmt().Name
	default:
		return false
	}
	return true
}

func setValue(args []*pgquery.Node) string {
	parts := make([]string, 0, len(args))
	for _, a := range args {
		v, _ := constant(a)
		parts = append(parts, Text(v))
	}
	return strings.Join(parts, ", ")
}

func (s *Statement) transaction(t *pgquery.TransactionStmt) error {
	switch t.Kind {
	case pgquery.TransactionStmtKind_TRANS_STMT_BEGIN, pgquery.TransactionStmtKind_TRANS_STMT_START:
		s.Class, s.Tag = ClassBegin, "BEGIN"
		for _, o := range t.Options {
			d := o.GetDefElem()
			if d.GetDefname() == "transaction_read_only" {
				v, _ := constant(d.Arg)
				s.ReadOnly = v == int64(1) || v == true
			}
		}
	case pgquery.TransactionStmtKind_TRANS_STMT_COMMIT:
		s.Class, s.Tag = ClassCommit, "COMMIT"
	case pgquery.TransactionStmtKind_TRANS_STMT_ROLLBACK:
		s.Class, s.Tag = ClassRollback, "ROLLBACK"
	default:
		return unsupported("savepoints and prepared transactions are not supported")
	}
	return nil
}

// write fills in statements that change rows or the schema.
func (s *Statement) write(n *pgquery.Node) error {
	s.Class = ClassWrite
	switch {
	case n.GetInsertStmt() != nil:
		s.Tag, s.TagHasCount = "INSERT 0", true
		s.ReturnsRows = len(n.GetInsertStmt().ReturningList) > 0
	case n.GetUpdateStmt() != nil:
		s.Tag, s.TagHasCount = "UPDATE", true
		s.ReturnsRows = len(n.GetUpdateStmt().ReturningList) > 0
	case n.GetDeleteStmt() != nil:
		s.Tag, s.TagHasCount = "DELETE", true
		s.ReturnsRows = len(n.GetDeleteStmt().ReturningList) > 0
	case n.GetCreateStmt() != nil:
		s.Tag = "CREATE TABLE"
	case n.GetIndexStmt() != nil:
		s.Tag = "CREATE INDEX"
	case n.GetViewStmt() != nil:
		s.Tag = "CREATE VIEW"
	case n.GetDropStmt() != nil:
		s.Tag = "DROP " + strings.TrimPrefix(n.GetDropStmt().RemoveType.String(), "OBJECT_")
	case n.GetAlterTableStmt() != nil:
		s.Tag = "ALTER TABLE"
	case n.GetRenameStmt() != nil:
		s.Tag = "ALTER TABLE"
	default:
		return unsupported("this kind of statement is not supported")
	}
	return nil
}
