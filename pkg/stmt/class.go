package stmt

import (
	"slices"
	"strings"

	pg "github.com/pganalyze/pg_query_go/v6"
)

// Classify returns the classification of a query text without a cache. A text
// that the parser rejects is classified as a single write, and one that is too deep for
// it as unsupported.
func Classify(sql string) *Query {
	if isTooDeep(sql) {
		return &Query{Statements: []Info{unsupported(reasonDepth)}}
	}
	tree, err := pg.Parse(sql)
	if err != nil && isDepthError(err) {
		return &Query{Statements: []Info{unsupported(reasonDepth)}}
	}
	if err != nil {
		// A target of another version may accept the text.
		return &Query{Statements: []Info{{Taints: true}}}
	}
	q := &Query{Statements: make([]Info, 0, len(tree.Stmts))}
	for _, s := range tree.Stmts {
		q.Statements = append(q.Statements, classifyNode(s.Stmt))
	}
	return q
}

func unsupported(reason string) Info { return Info{Kind: KindUnsupported, Reason: reason} }

func classifyNode(n *pg.Node) Info {
	switch s := n.GetNode().(type) {
	case *pg.Node_TransactionStmt:
		return classifyTransaction(s.TransactionStmt)
	case *pg.Node_VariableSetStmt:
		return classifySet(s.VariableSetStmt)
	case *pg.Node_VariableShowStmt:
		return classifyShow(s.VariableShowStmt)
	case *pg.Node_DeallocateStmt:
		return Info{Kind: KindDeallocate, ReadOnly: true, Name: s.DeallocateStmt.Name, Tag: deallocateTag(s.DeallocateStmt)}
	case *pg.Node_DiscardStmt:
		return classifyDiscard(s.DiscardStmt)
	case *pg.Node_ListenStmt, *pg.Node_UnlistenStmt:
		return unsupported("LISTEN needs a session of its own")
	case *pg.Node_PrepareStmt, *pg.Node_ExecuteStmt:
		return unsupported("PREPARE and EXECUTE in SQL are not pooled; prepare through the protocol")
	case *pg.Node_CopyStmt:
		return unsupported("COPY is not supported; use INSERT or SELECT")
	case *pg.Node_LoadStmt:
		return unsupported("LOAD changes the session")
	}
	return classifyTree(n)
}

func classifyTransaction(s *pg.TransactionStmt) Info {
	if s.Chain {
		return unsupported("AND CHAIN is not supported")
	}
	switch s.Kind {
	case pg.TransactionStmtKind_TRANS_STMT_BEGIN, pg.TransactionStmtKind_TRANS_STMT_START:
		a := accessMode(s.Options)
		return Info{Kind: KindBegin, Access: a, ReadOnly: a == AccessReadOnly, Tag: "BEGIN"}
	case pg.TransactionStmtKind_TRANS_STMT_COMMIT:
		return Info{Kind: KindCommit, ReadOnly: true, Tag: "COMMIT"}
	case pg.TransactionStmtKind_TRANS_STMT_ROLLBACK:
		return Info{Kind: KindRollback, ReadOnly: true, Tag: "ROLLBACK"}
	case pg.TransactionStmtKind_TRANS_STMT_ROLLBACK_TO:
		return Info{Kind: KindRollbackTo, ReadOnly: true}
	case pg.TransactionStmtKind_TRANS_STMT_SAVEPOINT, pg.TransactionStmtKind_TRANS_STMT_RELEASE:
		return Info{ReadOnly: true}
	}
	return unsupported("two-phase commit outlives the session")
}

// accessMode returns the last access mode among the options, which is the one
// that PostgreSQL applies.
func accessMode(options []*pg.Node) Access {
	a := AccessDefault
	for _, o := range options {
		if d := o.GetDefElem(); d.GetDefname() == "transaction_read_only" {
			a = AccessReadWrite
			if d.GetArg().GetAConst().GetIval().GetIval() != 0 {
				a = AccessReadOnly
			}
		}
	}
	return a
}

func classifyDiscard(s *pg.DiscardStmt) Info {
	if s.Target == pg.DiscardMode_DISCARD_ALL {
		return Info{Kind: KindDiscardAll, ReadOnly: true, Tag: "DISCARD ALL"}
	}
	tags := map[pg.DiscardMode]string{
		pg.DiscardMode_DISCARD_PLANS:     "DISCARD PLANS",
		pg.DiscardMode_DISCARD_SEQUENCES: "DISCARD SEQUENCES",
		pg.DiscardMode_DISCARD_TEMP:      "DISCARD TEMP",
	}
	return Info{Kind: KindIgnored, ReadOnly: true, Tag: tags[s.Target]}
}

func deallocateTag(s *pg.DeallocateStmt) string {
	if s.Name == "" {
		return "DEALLOCATE ALL"
	}
	return "DEALLOCATE"
}

// Names of the session variables that the proxy keeps.
const (
	VarPosition        = "chervil.position"
	VarIdempotencyKey  = "chervil.idempotency_key"
	VarApplicationName = "application_name"
)

// fixedVariables holds the variables that have the same value on every
// connection to a target, with the spellings of that value. Drivers may set them
// to it when they connect.
var fixedVariables = map[string][]string{
	"client_encoding":             {"utf8", "utf-8", "unicode"},
	"standard_conforming_strings": {"on", "true", "1"},
	"extra_float_digits":          {"1", "2", "3"}, // all select the shortest exact output
	"datestyle":                   {"iso", "iso, mdy"},
	"intervalstyle":               {"postgres"},
	"timezone":                    {"utc"},
	"statement_timeout":           {"0"},
	"lock_timeout":                {"0"},
}

func classifySet(s *pg.VariableSetStmt) Info {
	name := strings.ToLower(s.Name)
	reset := s.Kind == pg.VariableSetKind_VAR_RESET || s.Kind == pg.VariableSetKind_VAR_SET_DEFAULT
	switch {
	case s.Kind == pg.VariableSetKind_VAR_RESET_ALL:
		return Info{Kind: KindSet, ReadOnly: true, Tag: "RESET"}
	case s.Kind == pg.VariableSetKind_VAR_SET_MULTI && strings.EqualFold(name, "transaction"):
		return Info{ReadOnly: true}
	case name == VarIdempotencyKey, name == VarApplicationName:
		return classifyKeptVariable(s, name, reset)
	case strings.HasPrefix(name, "chervil."):
		return unsupported("the variable " + name + " can't be set by callers")
	case name == "role", name == "session_authorization":
		return unsupported("the user of a target connection can't be changed")
	case s.IsLocal && !reset:
		// SET LOCAL ends with the transaction, so that it works under pooling.
		return Info{ReadOnly: true}
	case reset:
		return Info{Kind: KindIgnored, ReadOnly: true, Tag: "RESET"}
	}
	if HasFixedValue(name, argumentText(s.Args)) {
		return Info{Kind: KindIgnored, ReadOnly: true, Tag: "SET"}
	}
	return unsupported("SET " + name + " for a session is not pooled; use SET LOCAL in a transaction")
}

// classifyKeptVariable classifies SET and RESET of a variable that the proxy
// keeps.
func classifyKeptVariable(s *pg.VariableSetStmt, name string, reset bool) Info {
	if s.IsLocal {
		return unsupported("SET LOCAL " + name + " is not supported; use SET")
	}
	if reset {
		return Info{Kind: KindSet, ReadOnly: true, Name: name, Tag: "RESET"}
	}
	return Info{Kind: KindSet, ReadOnly: true, Name: name, Value: argumentText(s.Args), Tag: "SET"}
}

// argumentText returns the arguments of SET as text.
func argumentText(args []*pg.Node) string {
	var parts []string
	for _, a := range args {
		c := a.GetAConst()
		switch v := c.GetVal().(type) {
		case *pg.A_Const_Sval:
			parts = append(parts, v.Sval.Sval)
		case *pg.A_Const_Fval:
			parts = append(parts, v.Fval.Fval)
		case *pg.A_Const_Ival:
			parts = append(parts, itoa(v.Ival.Ival))
		}
	}
	return strings.Join(parts, ", ")
}

func classifyShow(s *pg.VariableShowStmt) Info {
	name := strings.ToLower(s.Name)
	if name == VarApplicationName || strings.HasPrefix(name, "chervil.") {
		return Info{Kind: KindShow, ReadOnly: true, Name: name, Tag: "SHOW"}
	}
	return Info{ReadOnly: true}
}

// HasFixedValue reports whether the named variable has the given value on every
// connection to a target, so that setting it has no effect.
func HasFixedValue(name, value string) bool {
	return slices.Contains(fixedVariables[strings.ToLower(name)], strings.ToLower(value))
}
