package sqldb

import (
	"slices"
	"strings"

	"github.com/jackc/pgx/v5/pgtype"
	pgquery "github.com/pganalyze/pg_query_go/v6"
	"google.golang.org/protobuf/reflect/protoreflect"
)

// oids maps the first word of a declared type to the type's OID.
var oids = map[string]uint32{
	"int": pgtype.Int4OID, "integer": pgtype.Int4OID, "int4": pgtype.Int4OID, "serial": pgtype.Int4OID,
	"bigint": pgtype.Int8OID, "int8": pgtype.Int8OID, "bigserial": pgtype.Int8OID,
	"smallint": pgtype.Int2OID, "int2": pgtype.Int2OID,
	"bool": pgtype.BoolOID, "boolean": pgtype.BoolOID,
	"real": pgtype.Float4OID, "float4": pgtype.Float4OID,
	"float": pgtype.Float8OID, "float8": pgtype.Float8OID, "double": pgtype.Float8OID,
	"numeric": pgtype.NumericOID, "decimal": pgtype.NumericOID,
	"bytea": pgtype.ByteaOID, "blob": pgtype.ByteaOID,
	"timestamptz": pgtype.TimestamptzOID, "timestamp": pgtype.TimestampOID, "date": pgtype.DateOID,
}

// oidOfDeclared returns the OID of a type as declared for a column or named in a
// cast, that of text if the type is unknown.
func oidOfDeclared(decl string) uint32 {
	lower := strings.ToLower(strings.TrimSpace(decl))
	if strings.HasPrefix(lower, "timestamp with time zone") {
		return pgtype.TimestamptzOID
	}
	if i := strings.IndexAny(lower, " ("); i >= 0 {
		lower = lower[:i]
	}
	if oid, ok := oids[lower]; ok {
		return oid
	}
	return pgtype.TextOID
}

func oidOfType(t *pgquery.TypeName) uint32 {
	if t == nil || len(t.Names) == 0 {
		return 0
	}
	return oidOfDeclared(t.Names[len(t.Names)-1].GetString_().GetSval())
}

// columnTypes maps the names of the columns in a statement's tables to their
// types.
type columnTypes map[string]uint32

// walkMessages calls visit for m and every message nested in it.
func walkMessages(m protoreflect.Message, visit func(any)) {
	visit(m.Interface())
	m.Range(func(f protoreflect.FieldDescriptor, v protoreflect.Value) bool {
		switch {
		case f.Message() == nil:
		case f.IsList():
			for i := range v.List().Len() {
				walkMessages(v.List().Get(i).Message(), visit)
			}
		default:
			walkMessages(v.Message(), visit)
		}
		return true
	})
}

// tableNames returns the names of the tables that a statement refers to.
func tableNames(n *pgquery.Node) []string {
	var out []string
	walkMessages(n.ProtoReflect(), func(m any) {
		if r, ok := m.(*pgquery.RangeVar); ok {
			out = append(out, r.Relname)
		}
	})
	return out
}

func containsWrite(n *pgquery.Node) bool {
	found := false
	walkMessages(n.ProtoReflect(), func(m any) {
		switch m.(type) {
		case *pgquery.InsertStmt, *pgquery.UpdateStmt, *pgquery.DeleteStmt:
			found = true
		}
	})
	return found
}

// paramTypes infers the types of a statement's parameters from their use: in a
// cast, in a comparison, in LIMIT or OFFSET, as an argument of pg_sleep, or as a
// value for a column. Other parameters are text, as in PostgreSQL.
func paramTypes(n *pgquery.Node, cols columnTypes, schema map[string][]Column) []uint32 {
	types := map[int]uint32{}
	maxParam := 0
	set := func(n *pgquery.Node, oid uint32) {
		if p := int(n.GetParamRef().GetNumber()); p > 0 && types[p] == 0 {
			types[p] = oid
		}
	}
	walkMessages(n.ProtoReflect(), func(m any) {
		switch m := m.(type) {
		case *pgquery.ParamRef:
			maxParam = max(maxParam, int(m.Number))
		case *pgquery.TypeCast:
			set(m.Arg, oidOfType(m.TypeName))
		case *pgquery.A_Expr:
			inferFromComparison(m, cols, set)
		case *pgquery.InsertStmt:
			inferFromInsert(m, schema[m.GetRelation().GetRelname()], set)
		case *pgquery.ResTarget:
			set(m.Val, cols[m.Name])
		case *pgquery.SelectStmt:
			set(m.LimitCount, pgtype.Int8OID)
			set(m.LimitOffset, pgtype.Int8OID)
		case *pgquery.FuncCall:
			if funcName(m) == "pg_sleep" && len(m.Args) == 1 {
				set(m.Args[0], pgtype.Float8OID)
			}
		}
	})
	out := make([]uint32, maxParam)
	for i := range out {
		out[i] = types[i+1]
		if out[i] == 0 {
			out[i] = pgtype.TextOID
		}
	}
	return out
}

func inferFromComparison(e *pgquery.A_Expr, cols columnTypes, set func(*pgquery.Node, uint32)) {
	if l := e.Rexpr.GetList(); l != nil {
		for _, item := range l.Items {
			set(item, expressionType(e.Lexpr, cols, nil))
		}
		return
	}
	set(e.Rexpr, expressionType(e.Lexpr, cols, nil))
	set(e.Lexpr, expressionType(e.Rexpr, cols, nil))
}

// inferFromInsert gives the parameters of VALUES the types of the columns that
// they are stored in. Without a list of columns these are all columns in order.
func inferFromInsert(s *pgquery.InsertStmt, table []Column, set func(*pgquery.Node, uint32)) {
	types := make([]uint32, 0, len(table))
	for _, c := range table {
		if len(s.Cols) == 0 {
			types = append(types, c.OID)
		}
	}
	for _, target := range s.Cols {
		i := slices.IndexFunc(table, func(c Column) bool { return c.Name == target.GetResTarget().GetName() })
		if i < 0 {
			return // SQLite reports the unknown column
		}
		types = append(types, table[i].OID)
	}
	for _, row := range s.SelectStmt.GetSelectStmt().GetValuesLists() {
		for i, item := range row.GetList().GetItems() {
			if i < len(types) {
				set(item, types[i])
			}
		}
	}
}

// functionTypes maps functions whose result type does not depend on their
// arguments to that type.
var functionTypes = map[string]uint32{
	"count": pgtype.Int8OID, "length": pgtype.Int8OID, "avg": pgtype.Float8OID, "total": pgtype.Float8OID,
	"lower": pgtype.TextOID, "upper": pgtype.TextOID, "concat": pgtype.TextOID, "row_number": pgtype.Int8OID,
}

// expressionType returns the type of an expression, 0 if it is unknown.
func expressionType(n *pgquery.Node, cols columnTypes, params []uint32) uint32 {
	switch {
	case n.GetColumnRef() != nil:
		f := n.GetColumnRef().Fields
		return cols[f[len(f)-1].GetString_().GetSval()]
	case n.GetTypeCast() != nil:
		return oidOfType(n.GetTypeCast().TypeName)
	case n.GetParamRef() != nil:
		if i := int(n.GetParamRef().Number); i <= len(params) {
			return params[i-1]
		}
	case n.GetBoolExpr() != nil, n.GetNullTest() != nil, n.GetBooleanTest() != nil:
		return pgtype.BoolOID
	case n.GetSubLink() != nil:
		return subqueryType(n.GetSubLink(), cols, params)
	case n.GetCoalesceExpr() != nil:
		return firstKnownType(n.GetCoalesceExpr().Args, cols, params)
	case n.GetCaseExpr() != nil:
		if when := n.GetCaseExpr().Args; len(when) > 0 {
			return expressionType(when[0].GetCaseWhen().GetResult(), cols, params)
		}
	case n.GetAExpr() != nil:
		return operatorType(n.GetAExpr(), cols, params)
	case n.GetFuncCall() != nil:
		return functionType(n.GetFuncCall(), cols, params)
	}
	if v, ok := constant(n); ok {
		return valueType(v)
	}
	return 0
}

func valueType(v any) uint32 {
	switch v := v.(type) {
	case int64:
		if v == int64(int32(v)) {
			return pgtype.Int4OID
		}
		return pgtype.Int8OID
	case float64:
		return pgtype.Float8OID
	case bool:
		return pgtype.BoolOID
	case []byte:
		return pgtype.ByteaOID
	}
	return pgtype.TextOID
}

func subqueryType(s *pgquery.SubLink, cols columnTypes, params []uint32) uint32 {
	if s.SubLinkType != pgquery.SubLinkType_EXPR_SUBLINK {
		return pgtype.BoolOID
	}
	if list := s.Subselect.GetSelectStmt().GetTargetList(); len(list) == 1 {
		return expressionType(list[0].GetResTarget().GetVal(), cols, params)
	}
	return 0
}

func firstKnownType(args []*pgquery.Node, cols columnTypes, params []uint32) uint32 {
	for _, a := range args {
		if oid := expressionType(a, cols, params); oid != 0 {
			return oid
		}
	}
	return 0
}

func operatorType(e *pgquery.A_Expr, cols columnTypes, params []uint32) uint32 {
	switch operator(e) {
	case "+", "-", "*", "/", "%":
		l, r := expressionType(e.Lexpr, cols, params), expressionType(e.Rexpr, cols, params)
		if l == pgtype.Float8OID || r == pgtype.Float8OID {
			return pgtype.Float8OID
		}
		return pgtype.Int8OID
	case "||":
		return pgtype.TextOID
	}
	return pgtype.BoolOID
}

func functionType(f *pgquery.FuncCall, cols columnTypes, params []uint32) uint32 {
	name := funcName(f)
	if oid, ok := functionTypes[name]; ok {
		return oid
	}
	if len(f.Args) == 0 {
		return 0
	}
	oid := expressionType(f.Args[0], cols, params)
	if name == "sum" && (oid == pgtype.Int4OID || oid == pgtype.Int2OID) {
		return pgtype.Int8OID
	}
	return oid
}
