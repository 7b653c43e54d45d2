package linktest

import (
	"strings"
	"sync"
)

// LogBuffer collects log lines. It may be read while others write to it, and is empty at
// first.
type LogBuffer struct {
	mu sync.Mutex
	b  strings.Builder
}

// Write implements io.Writer.
func (l *LogBuffer) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.b.Write(p)
}

// String returns the lines so far.
func (l *LogBuffer) String() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.b.String()
}

// Count returns the number of lines with the name of an event.
func (l *LogBuffer) Count(event string) int {
	return strings.Count(l.String(), `"name":"`+event+`"`)
}
