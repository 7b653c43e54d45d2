package main

import (
	"bytes"
	"errors"
	"io"
	"strings"
	"sync"
)

const (
	// maxLine is the greatest length of a message without its line end, in bytes.
	maxLine = 1 << 20
	lineEnd = "\r\n"
)

var errTooLong = errors.New("a message of more than 1 MiB")

// lineReader reads lines that end at CR LF and nowhere else: a CR or an LF that stands alone
// belongs to the line.
type lineReader struct {
	r   io.Reader
	buf []byte
	// scanned is the number of bytes in buf that are known to contain no line end.
	scanned int
}

// next returns the next line without its line end.
func (l *lineReader) next() (string, error) {
	var b [4 << 10]byte
	for {
		i := bytes.Index(l.buf[l.scanned:], []byte(lineEnd))
		if i >= 0 {
			end := l.scanned + i
			s := string(l.buf[:end])
			l.buf, l.scanned = l.buf[end+len(lineEnd):], 0
			if len(s) > maxLine {
				return "", errTooLong
			}
			return s, nil
		}
		l.scanned = max(len(l.buf)-1, 0) // the last byte may be the CR of a line end
		if len(l.buf) > maxLine+1 {
			return "", errTooLong
		}
		n, err := l.r.Read(b[:])
		l.buf = append(l.buf, b[:n]...)
		if n == 0 && err != nil {
			return "", err
		}
	}
}

// parseQuery splits a QUERY into its id and its text, which is all that follows the third
// blank.
func parseQuery(line string) (id, text string, ok bool) {
	f := strings.SplitN(line, " ", 3)
	if len(f) < 3 || f[0] != "QUERY" || f[1] == "" || f[2] == "" {
		return "", "", false
	}
	return f[1], f[2], true
}

// cut splits the text of a statement after its first word.
func cut(text string) (word, rest string) {
	word, rest, _ = strings.Cut(text, " ")
	return word, rest
}

// cutFloor splits the text of a statement after "AFTER position ".
func cutFloor(text string) (floor, rest string) {
	after, ok := strings.CutPrefix(text, "AFTER ")
	if !ok {
		return "", text
	}
	return cut(after)
}

// asked has what the callers have sent, and finds what databases are asked to run without.
type asked struct {
	rec *recorder

	mu     sync.Mutex
	texts  map[string]string
	faults int
}

// send records a message that a caller is about to send.
func (a *asked) send(line string) {
	id, text, ok := parseQuery(line)
	if !ok {
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.texts == nil {
		a.texts = map[string]string{}
	}
	a.texts[id] = text
}

// check records a fault if a database is asked to run a statement with the id of none that
// was sent, or with another text. Statements of the system itself may not read, write or
// commit.
func (a *asked) check(db, id, text string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	_, text = cutFloor(text)
	verb, _ := cut(text)
	own := id == "-" && verb != "READ" && verb != "WRITE" && verb != "EXEC" && verb != "COMMIT"
	if !own && a.texts[id] != text {
		a.faultLocked("%s is asked to run %q with id %q, sent was %q", db, text, id, a.texts[id])
	}
}

// fault records a broken rule.
func (a *asked) fault(format string, args ...any) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.faultLocked(format, args...)
}

func (a *asked) faultLocked(format string, args ...any) {
	a.faults++
	a.rec.add("UNASKED: "+format, args...)
}

// any reports whether there was a fault.
func (a *asked) any() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.faults > 0
}
