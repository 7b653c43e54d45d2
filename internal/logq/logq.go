// Package logq writes log lines without ever blocking who logs.
//
// Lines wait in a bounded queue for one goroutine that writes them. What the
// queue has no room for, and what is above the rate of its level, is left out
// and counted; warnings and errors have a rate of their own, so that a flood of
// information leaves them room.
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
	// queue is the number of lines that wait.
	queue = 512
	// infoRate and warnRate bound the lines a second, and are the greatest
	// bursts too.
	infoRate = 40
	warnRate = 60
)

// Writer is a zerolog.LevelWriter. New makes one; its methods may be called from
// several goroutines.
type Writer struct {
	out     io.Writer
	lines   chan []byte
	dropped atomic.Uint64

	mu    sync.Mutex
	start time.Time
	info  int
	warn  int
}

// New returns a Writer that writes to out once Run is called.
func New(out io.Writer) *Writer { return &Writer{out: out, lines: make(chan []byte, queue)} }

// Dropped returns the number of lines that were left out.
func (w *Writer) Dropped() uint64 { return w.dropped.Load() }

// Write implements io.Writer for lines without a level.
func (w *Writer) Write(p []byte) (int, error) { return w.WriteLevel(zerolog.NoLevel, p) }

// WriteLevel implements zerolog.LevelWriter. It never fails and never waits.
func (w *Writer) WriteLevel(l zerolog.Level, p []byte) (int, error) {
	if !w.allow(l, time.Now()) {
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

// allow counts a line against the rate of its level.
func (w *Writer) allow(l zerolog.Level, now time.Time) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if now.Sub(w.start) >= time.Second {
		w.start, w.info, w.warn = now, 0, 0
	}
	if l >= zerolog.WarnLevel && l != zerolog.NoLevel {
		w.warn++
		return w.warn <= warnRate
	}
	w.info++
	return w.info <= infoRate
}

// Run writes lines until ctx ends, and then those that wait. A line that can't
// be written is counted as left out: there is nobody to tell.
func (w *Writer) Run(ctx context.Context) {
	for {
		select {
		case p := <-w.lines:
			w.put(p)
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
			w.put(p)
		default:
			return
		}
	}
}

func (w *Writer) put(p []byte) {
	if _, err := w.out.Write(p); err != nil {
		w.dropped.Add(1)
	}
}
