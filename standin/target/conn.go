package target

import (
	"net"
	"sync"
	"time"
)

// faultConn writes answers as the faults have it: later, in pieces, or not at
// all. Its writes are whole messages, so that a notification from another
// goroutine comes between messages.
type faultConn struct {
	net.Conn
	c  *session
	mu sync.Mutex
}

// pieceGap separates the pieces of a split answer, so that they travel in
// packets of their own.
const pieceGap = 100 * time.Microsecond

// Write implements io.Writer.
func (f *faultConn) Write(p []byte) (int, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	c := f.c
	if !c.admin {
		if err := c.srv.faults.gate(c.srv.ctx); err != nil {
			return 0, err
		}
		if c.silent.Load() {
			return len(p), nil
		}
	}
	set := c.srv.faults.snapshot()
	if c.admin || set.delay == 0 && set.split == 0 {
		return f.Conn.Write(p)
	}
	if err := sleep(c.srv.ctx, set.delay); err != nil {
		return 0, err
	}
	return f.pieces(p, set.split)
}

func (f *faultConn) pieces(p []byte, size int) (int, error) {
	if size <= 0 {
		return f.Conn.Write(p)
	}
	done := 0
	for done < len(p) {
		n, err := f.Conn.Write(p[done:min(done+size, len(p))])
		done += n
		if err != nil {
			return done, err
		}
		if err := sleep(f.c.srv.ctx, pieceGap); err != nil {
			return done, err
		}
	}
	return done, nil
}
