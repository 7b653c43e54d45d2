package stmt

import (
	"errors"
	"strings"

	"github.com/pganalyze/pg_query_go/v6/parser"
)

const (
	// maxDepth bounds the result of depth, and so the depth of a syntax tree. The parser
	// library overflows a stack of 8 MiB between 20,000 and 40,000 levels. Texts of at
	// most this length have at most this depth.
	maxDepth = 8 << 10
	// maxOperatorRun bounds the operator characters in a row. The scanner of PostgreSQL
	// reads the rest of a run again for each sign in it.
	maxOperatorRun = 256
)

// reasonDepth is the reason for which a text is refused whose syntax tree is too deep to
// be built. Its statements are unknown, so it can't pass as a plain write.
const reasonDepth = "the statement is nested too deeply"

// isTooDeep reports whether the parser must not be given a text. The parser library
// writes the syntax tree by recursion in C without a check of the stack, so that a
// chain such as 1+1+1 of 80 KB ends the process.
func isTooDeep(sql string) bool {
	if len(sql) <= maxDepth {
		return false
	}
	var d depthMeter
	d.read(sql)
	return d.depth() > maxDepth || d.longestRun > maxOperatorRun
}

// isDepthError reports whether the parser gave up because of the depth of the tree.
func isDepthError(err error) bool {
	var e *parser.Error
	if !errors.As(err, &e) {
		return true // the tree exceeds the depth that protobuf decodes
	}
	return strings.HasPrefix(e.Message, "memory exhausted") || strings.HasPrefix(e.Message, "stack depth limit")
}

// group is a parenthesized part of a text, or a statement.
type group struct {
	// tokens counts those since the last separator, and inner is the greatest depth of a
	// group among them.
	tokens, inner int
	// deepest is the depth of the deepest part between separators, and chained counts
	// the keywords that nest across separators.
	deepest, chained int
}

// endPart is called at a separator. Its sides are siblings in the tree.
func (g *group) endPart() {
	g.deepest = max(g.deepest, g.tokens+g.inner)
	g.tokens, g.inner = 0, 0
}

func (g *group) depth() int {
	g.endPart()
	return g.deepest + g.chained
}

// depthMeter finds an upper bound of the depth of a syntax tree, in tokens. What stands
// between two commas, or two operands of AND and OR, nests at most once for each of its
// tokens; only set operations and joins nest across commas.
type depthMeter struct {
	statement group
	// open has the parenthesized groups that are not closed.
	open []group
	// deepest is the depth of the deepest statement that has ended.
	deepest int
	// run counts the operator characters in a row.
	run, longestRun int
	// total counts all tokens.
	total int
}

func (d *depthMeter) current() *group {
	if len(d.open) == 0 {
		return &d.statement
	}
	return &d.open[len(d.open)-1]
}

func (d *depthMeter) closeGroup() {
	if len(d.open) == 0 {
		return
	}
	inner := d.current().depth()
	d.open = d.open[:len(d.open)-1]
	g := d.current()
	g.inner = max(g.inner, inner)
}

func (d *depthMeter) depth() int {
	for len(d.open) > 0 {
		d.closeGroup()
	}
	return max(d.deepest, d.statement.depth())
}

// word counts a name, a keyword or a number.
func (d *depthMeter) word(s string) {
	d.run = 0
	g := d.current()
	g.tokens++
	d.total++
	switch {
	case strings.EqualFold(s, "and"), strings.EqualFold(s, "or"):
		g.endPart()
	case strings.EqualFold(s, "union"), strings.EqualFold(s, "intersect"), strings.EqualFold(s, "except"), strings.EqualFold(s, "join"):
		g.chained++
	}
}

// symbol counts a character outside of words.
func (d *depthMeter) symbol(c byte) {
	if strings.IndexByte("+-*/<>=~!@#%^&|`?", c) >= 0 {
		d.run++
		d.longestRun = max(d.longestRun, d.run)
	} else {
		d.run = 0
	}
	g := d.current()
	g.tokens++
	d.total++
	switch c {
	case '(', '[':
		d.open = append(d.open, group{})
	case ')', ']':
		d.closeGroup()
	case ',':
		g.endPart()
	case ';':
		if len(d.open) == 0 {
			d.deepest = max(d.deepest, g.depth())
			d.statement = group{}
		}
	}
}
