package sqldb

import (
	"strconv"
	"strings"

	pgquery "github.com/pganalyze/pg_query_go/v6"
)

// callOf returns the call when the statement is SELECT f(…) or SELECT … FROM
// f(…) with one of the target's own functions, and nil otherwise.
func callOf(sel *pgquery.SelectStmt) *Call {
	if len(sel.FromClause) == 0 && len(sel.TargetList) == 1 {
		return ownFunction(sel.TargetList[0].GetResTarget().GetVal().GetFuncCall())
	}
	if len(sel.FromClause) != 1 {
		return nil
	}
	fn := sel.FromClause[0].GetRangeFunction()
	if fn == nil || len(fn.Functions) != 1 {
		return nil
	}
	items := fn.Functions[0].GetList().GetItems()
	if len(items) == 0 {
		return nil
	}
	c := ownFunction(items[0].GetFuncCall())
	if c == nil {
		return nil
	}
	for _, t := range sel.TargetList {
		fields := t.GetResTarget().GetVal().GetColumnRef().GetFields()
		if len(fields) == 0 {
			return nil
		}
		if last := fields[len(fields)-1]; last.GetString_() != nil {
			c.Fields = append(c.Fields, last.GetString_().Sval)
		}
	}
	return c
}

func ownFunction(f *pgquery.FuncCall) *Call {
	name := funcName(f)
	if name != "pg_sleep" && !strings.HasPrefix(name, "chervil_") && !strings.HasPrefix(name, "standin_") {
		return nil
	}
	c := &Call{Name: name}
	for _, a := range f.Args {
		if p := paramOf(a); p > 0 {
			c.Args = append(c.Args, Argument{Param: p})
			continue
		}
		v, _ := constant(a)
		c.Args = append(c.Args, Argument{Value: v})
	}
	return c
}

func funcName(f *pgquery.FuncCall) string {
	if f == nil || len(f.Funcname) == 0 {
		return ""
	}
	return f.Funcname[len(f.Funcname)-1].GetString_().GetSval()
}

// paramOf returns the number of a parameter, also below a cast, or 0.
func paramOf(n *pgquery.Node) int {
	if c := n.GetTypeCast(); c != nil {
		return paramOf(c.Arg)
	}
	return int(n.GetParamRef().GetNumber())
}

// constant returns the value of a literal.
func constant(n *pgquery.Node) (v any, ok bool) {
	if c := n.GetTypeCast(); c != nil {
		return constant(c.Arg)
	}
	if e := n.GetAExpr(); e != nil && e.Lexpr == nil && operator(e) == "-" {
		switch v, _ := constant(e.Rexpr); v := v.(type) {
		case int64:
			return -v, true
		case float64:
			return -v, true
		}
		return nil, false
	}
	c := n.GetAConst()
	switch {
	case c == nil:
		return nil, false
	case c.GetSval() != nil:
		return c.GetSval().Sval, true
	case c.GetBoolval() != nil:
		return c.GetBoolval().Boolval, true
	case c.GetFval() != nil:
		return number(c.GetFval().Fval), true
	case c.GetIval() != nil:
		return int64(c.GetIval().Ival), true
	}
	return nil, true
}

// number reads a numeric literal that does not fit 32 bits.
func number(s string) any {
	if i, err := strconv.ParseInt(s, 10, 64); err == nil {
		return i
	}
	f, _ := strconv.ParseFloat(s, 64)
	return f
}

func operator(e *pgquery.A_Expr) string {
	if len(e.Name) == 0 {
		return ""
	}
	return e.Name[len(e.Name)-1].GetString_().GetSval()
}
