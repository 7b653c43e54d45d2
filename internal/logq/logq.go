// Package logq writes log lines without ever blocking the goroutine that logs.
//
// Lines wait in a bounded queue for one goroutine that writes them. Lines for which
// the queue has no room, which are too long, or which exceed the rate of their level, are
// dropped and counted. Warnings and errors have a separate rate, so that a flood of lines of
// lower levels can't displace them.
//
// # Usage
//
//	w := logq.New(os.Stdout)
//	go w.Run(ctx)
//	log := zerolog.New(w)
//	dropped := w.Dropped()
package logq

import (
	"context"
	"io"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"
)

const (
	// queueLength is the greatest number of lines that wait to be written.
	queueLength = 512
	// maxLineBytes is the length of the longest line that is written; the queue holds
	// 32 MB at most.
	maxLineBytes = 64 << 10
	// infoRate and warnRate are the greatest numbers of lines in a second, and also
	// in a burst. warnRate applies to warnings and errors, infoRate to
	// all other lines.
	infoRate = 40
	warnRate = 60
)

// Writer is a zerolog.LevelWriter. It is created by New, and its methods may be
// called from several goroutines.
type Writer struct {
	out     io.Writer
	lines   chan []byte
	dropped atomic.Uint64

	mu          sync.Mutex
	windowStart time.Time
	infoLines   int
	warnLines   int
}

// New returns a Writer that writes to out once Run is called.
func New(out io.Writer) *Writer { return &Writer{out: out, lines: make(chan []byte, queueLength)} }

// Dropped returns the number of lines that were dropped.
func (w *Writer) Dropped() uint64 { return w.dropped.Load() }

// Write implements io.Writer for lines without a level.
func (w *Writer) Write(p []byte) (int, error) { return w.WriteLevel(zerolog.NoLevel, p) }

// WriteLevel implements zerolog.LevelWriter. It never fails and never waits.
func (w *Writer) WriteLevel(l zerolog.Level, p []byte) (int, error) {
	if len(p) > maxLineBytes || !w.allow(l, time.Now()) {
		w.dropped.Add(1)
		return len(p), nil
	}
	select {
	case w.lines <- append([]byte(nil), p...):
	default:
		w.dropped.Add(1)
	}
	return len(p), nil
}

// allow counts a line and reports whether it is within the rate of its level.
func (w *Writer) allow(l zerolog.Level, now time.Time) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if now.Sub(w.windowStart) >= time.Second {
		w.windowStart, w.infoLines, w.warnLines = now, 0, 0
	}
	if l >= zerolog.WarnLevel && l != zerolog.NoLevel {
		w.warnLines++
		return w.warnLines <= warnRate
	}
	w.infoLines++
	return w.infoLines <= infoRate
}

// Run writes lines until ctx ends, and then those still in the queue. A line that
// can't be written is counted as dropped, because its error can't be logged either.
func (w *Writer) Run(ctx context.Context) {
	for {
		select {
		case p := <-w.lines:
			w.writeLine(p)
		case <-ctx.Done():
			w.flush()
			return
		}
	}
}

func (w *Writer) flush() {
	for {
		select {
		case p := <-w.lines:
			w.writeLine(p)
		default:
			return
		}
	}
}

func (w *Writer) writeLine(p []byte) {
	if _, err := w.out.Write(p); err != nil {
		w.dropped.Add(1)
	}
}
