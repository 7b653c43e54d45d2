package stmt

import "strings"

// read counts the tokens of a text by PostgreSQL's lexical rules with
// standard_conforming_strings on, in linear time. The library's own scanner takes
// quadratic time for a run of signs. A text that ends inside a token is left to the
// parser, which rejects it.
func (d *depthMeter) read(sql string) {
	for i := 0; i < len(sql); {
		c, rest := sql[i], sql[i:]
		switch {
		case isSpace(c):
			d.run = 0
			i++
		case strings.HasPrefix(rest, "--"):
			i += lineLen(rest)
		case strings.HasPrefix(rest, "/*"):
			i += commentLen(rest)
		case c == '\'' || c == '"':
			d.word("")
			i += quotedLen(rest, c, false)
		case (c == 'e' || c == 'E') && strings.HasPrefix(rest[1:], "'"):
			d.word("")
			i += escapedLen(rest)
		case c == '$':
			d.word("")
			i += dollarLen(rest)
		case isWordByte(c):
			n := wordLen(rest)
			d.word(rest[:n])
			i += n
		default:
			d.symbol(c)
			i++
		}
	}
}

func isSpace(c byte) bool { return c == ' ' || c >= '\t' && c <= '\r' }

func isDigit(c byte) bool { return c >= '0' && c <= '9' }

// isWordByte reports whether a name may contain c. A name or a number begins with one.
func isWordByte(c byte) bool {
	return c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z' || isDigit(c) || c == '_' || c >= 0x80
}

func wordLen(s string) int {
	n := 1
	for n < len(s) && (isWordByte(s[n]) && (!isDigit(s[0]) || isDigit(s[n])) || s[n] == '$' && !isDigit(s[0])) {
		n++
	}
	return n
}

// lineLen returns the length of a comment up to the end of its line.
func lineLen(s string) int {
	if n := strings.IndexAny(s, "\r\n"); n >= 0 {
		return n
	}
	return len(s)
}

// commentLen returns the length of a comment, which may contain others.
func commentLen(s string) int {
	level := 0
	for i := 0; i+1 < len(s); i++ {
		switch s[i : i+2] {
		case "/*":
			level++
			i++
		case "*/":
			level--
			i++
			if level == 0 {
				return i + 1
			}
		}
	}
	return len(s)
}

// quotedLen returns the length of a quoted string or name. A doubled quote begins the
// next one, which makes no difference here.
func quotedLen(s string, quote byte, escapes bool) int {
	for i := 1; i < len(s); i++ {
		switch {
		case s[i] == quote:
			return i + 1
		case s[i] == '\\' && escapes:
			i++
		}
	}
	return len(s)
}

// escapedLen returns the length of a string with escapes, from its E on. A doubled quote
// and a string on a later line continue it. The library, unlike PostgreSQL, does not look
// for one behind a comment.
func escapedLen(s string) int {
	n := 1
	for {
		n += quotedLen(s[n:], '\'', true)
		rest := strings.TrimLeft(s[n:], " \t\n\r\f\v")
		gap := s[n : len(s)-len(rest)]
		if !strings.HasPrefix(rest, "'") || gap != "" && !strings.ContainsAny(gap, "\r\n") {
			return n
		}
		n += len(gap)
	}
}

// dollarLen returns the length of a string in dollar quotes, or of another token that
// begins with a dollar sign.
func dollarLen(s string) int {
	n := 1
	for n < len(s) && isWordByte(s[n]) && !(n == 1 && isDigit(s[n])) {
		n++
	}
	if n == len(s) || s[n] != '$' {
		return 1
	}
	quote := s[:n+1]
	if end := strings.Index(s[n+1:], quote); end >= 0 {
		return n + 1 + end + len(quote)
	}
	return len(s)
}
