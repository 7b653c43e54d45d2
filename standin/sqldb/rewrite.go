package sqldb

import (
	"strings"

	pgquery "github.com/pganalyze/pg_query_go/v6"
)

// nondeterministic lists functions whose result differs between runs. A write
// that uses one would store other values on a replica, which applies the
// statement later.
var nondeterministic = map[string]bool{
	"now": true, "random": true, "clock_timestamp": true, "statement_timestamp": true,
	"transaction_timestamp": true, "timeofday": true, "gen_random_uuid": true, "nextval": true,
	"current_timestamp": true, "current_date": true, "current_time": true,
	"localtime": true, "localtimestamp": true,
}

// sqliteWords maps words to those of SQLite's dialect.
var sqliteWords = map[string]string{
	"serial": "INTEGER", "bigserial": "INTEGER", "smallserial": "INTEGER", "ilike": "LIKE",
}

// rewrite sets SQL to the statement in SQLite's dialect.
func (s *Statement) rewrite() error {
	tokens, err := scanTokens(s.text)
	if err != nil {
		return err
	}
	if s.Class == ClassRead {
		tokens = dropLockingClause(s.node, tokens)
	}
	var b strings.Builder
	end := int32(0)
	for i := 0; i < len(tokens); i++ {
		t := tokens[i]
		word := s.text[t.Start:t.End]
		lower := strings.ToLower(word)
		if s.Class == ClassWrite && nondeterministic[lower] && t.Token != pgquery.Token_SCONST {
			return unsupported(lower + " gives other values on replicas and is not supported in a write")
		}
		switch {
		case t.Token == pgquery.Token_TYPECAST:
			i = skipType(tokens, i+1)
			end = tokens[i].End
			continue
		case t.Token == pgquery.Token_SQL_COMMENT || t.Token == pgquery.Token_C_COMMENT:
			b.WriteByte(' ')
			end = t.End
			continue
		case t.Token == pgquery.Token_PARAM:
			word = "?" + word[1:]
		case lower == "public" && i+1 < len(tokens) && s.text[tokens[i+1].Start:tokens[i+1].End] == ".":
			b.WriteString(s.text[end:t.Start])
			i++
			end = tokens[i].End
			continue
		case sqliteWords[lower] != "" && (lower == "ilike" || s.node.GetCreateStmt() != nil):
			word = sqliteWords[lower]
		}
		b.WriteString(s.text[end:t.Start])
		b.WriteString(word)
		end = t.End
	}
	s.SQL = strings.TrimSpace(b.String())
	return nil
}

// skipType returns the index of the last token of the type name that starts at i.
func skipType(tokens []*pgquery.ScanToken, i int) int {
	i = min(i, len(tokens)-1)
	if i+1 < len(tokens) && tokens[i].Token == pgquery.Token_DOUBLE_P && tokens[i+1].Token == pgquery.Token_PRECISION {
		i++
	}
	if i+1 < len(tokens) && tokens[i+1].Token == pgquery.Token_ASCII_40 {
		for i+1 < len(tokens) && tokens[i].Token != pgquery.Token_ASCII_41 {
			i++
		}
	}
	return i
}

// dropLockingClause removes clauses such as FOR UPDATE, as writes run one at a
// time anyway.
func dropLockingClause(n *pgquery.Node, tokens []*pgquery.ScanToken) []*pgquery.ScanToken {
	if len(n.GetSelectStmt().GetLockingClause()) == 0 {
		return tokens
	}
	for i := len(tokens) - 1; i > 0; i-- {
		if tokens[i].Token == pgquery.Token_FOR {
			return tokens[:i]
		}
	}
	return tokens
}
