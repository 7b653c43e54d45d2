package target

import (
	"net"
	"sync"
	"time"
)

// faultConn applies faults to the answers that it writes: it delays, splits or
// discards them. Each Write gets whole messages, so that a notification from
// another goroutine is sent between messages.
type faultConn struct {
	net.Conn
	session *session
	mu      sync.Mutex
}

// chunkInterval is the delay between the chunks of a split answer, so that each
// is sent in a packet of its own.
const chunkInterval = 100 * time.Microsecond

// Write implements io.Writer.
func (f *faultConn) Write(p []byte) (int, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	c := f.session
	if !c.admin {
		if err := c.srv.faults.waitUnfrozen(c.srv.ctx); err != nil {
			return 0, err
		}
		if c.unresponsive.Load() {
			return len(p), nil
		}
	}
	set := c.srv.faults.values()
	if c.admin || set.answerDelay == 0 && set.splitSize == 0 {
		return f.Conn.Write(p)
	}
	if err := sleep(c.srv.ctx, set.answerDelay); err != nil {
		return 0, err
	}
	return f.writeChunks(p, set.splitSize)
}

// writeChunks writes p in chunks of size bytes, or whole if size is 0.
func (f *faultConn) writeChunks(p []byte, size int) (int, error) {
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
		if err := sleep(f.session.srv.ctx, chunkInterval); err != nil {
			return done, err
		}
	}
	return done, nil
}
