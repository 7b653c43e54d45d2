package peer

import (
	"context"
	"errors"
	"io"
	"net"
	"sync/atomic"
	"time"

	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/stats"
	"google.golang.org/grpc/status"

	"chervilspan.example/internal/evlog"
	"chervilspan.example/internal/tcpopt"
	"chervilspan.example/internal/usage"
	"chervilspan.example/pkg/ident"
)

// unacknowledgedTimeout is how long bytes sent to another VM may stay unacknowledged
// before the connection is given up and the next call opens a new one. A lost packet is
// sent again twice within it, also between regions.
const unacknowledgedTimeout = time.Second

var (
	callerLoss = tcpopt.LossDetection{Unacknowledged: unacknowledgedTimeout}
	// The called side may only wait, for the borrower of a connection to a database, and
	// finds a lost path by probes alone.
	calledLoss = tcpopt.LossDetection{
		Unacknowledged: unacknowledgedTimeout,
		KeepAlive:      net.KeepAliveConfig{Enable: true, Idle: 3 * time.Second, Interval: time.Second, Count: 2},
	}
)

// trackedConn is a connection to another VM that records when it last brought bytes.
type trackedConn struct {
	net.Conn
	openedAt time.Time
	// lastRead is the time from openedAt to the last read that brought bytes.
	lastRead atomic.Int64
	// silenceReported is set once the present silence has been reported, ended once the
	// end of the connection has been.
	silenceReported, ended atomic.Bool
	// onLost is called when the connection ends by an error of the network.
	onLost func(*trackedConn, error)
}

// Read implements io.Reader.
func (c *trackedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 {
		c.lastRead.Store(int64(time.Since(c.openedAt)))
		c.silenceReported.Store(false)
	}
	if err != nil && !errors.Is(err, io.EOF) && !errors.Is(err, net.ErrClosed) && !c.ended.Swap(true) {
		c.onLost(c, err)
	}
	return n, err
}

// readAt returns when the connection last brought bytes, or was opened if it never did.
func (c *trackedConn) readAt() time.Time { return c.openedAt.Add(time.Duration(c.lastRead.Load())) }

// dial opens a connection to a VM for a cached connection.
func (c *Cache) dial(ctx context.Context, address string, conn *cachedConn) (net.Conn, error) {
	raw, err := callerLoss.Dial(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	raw = c.cfg.Usage.Conn(raw, usage.Peers, func() ident.Zone { return c.zoneOf(address) })
	t := &trackedConn{Conn: raw, openedAt: time.Now(), onLost: func(t *trackedConn, err error) {
		c.cfg.Scope.Counter("peer_conns_lost").Inc(1)
		evlog.At(c.cfg.Log, evlog.PeerConnLost).Str("address", address).Dur("silent", time.Since(t.readAt())).
			Dur("open", time.Since(t.openedAt)).Err(err).Send()
	}}
	conn.tracked.Store(t)
	return t, nil
}

// reportSilence reports a connection that was open during the whole of a call and has
// brought nothing since the call began, once until it brings bytes again.
func (n *statsHandler) reportSilence(end *stats.End) {
	t := n.conn.tracked.Load()
	if t == nil || status.Code(end.Error) != codes.DeadlineExceeded || t.readAt().After(end.BeginTime) || t.silenceReported.Swap(true) {
		return
	}
	n.cache.cfg.Scope.Counter("peer_silences").Inc(1)
	evlog.At(n.cache.cfg.Log, evlog.PeerSilent).Str("address", n.address).Dur("silent", time.Since(t.readAt())).
		Dur("open", time.Since(t.openedAt)).Send()
}
