package node

import (
	"net"
	"net/http"
	"slices"
	"sync"
	"time"
)

const (
	// headerTimeout bounds the wait for the headers of a request for the readiness check
	// or the metrics, and pageTimeout that for the whole request and for the answer.
	headerTimeout = 2 * time.Second
	pageTimeout   = 5 * time.Second
	// pageIdleTimeout is how long a connection is kept for the next request. Checks and
	// scrapes come several times a minute.
	pageIdleTimeout = time.Minute
	// maxPageHeaderBytes bounds the headers of a request; net/http adds 4 KiB.
	maxPageHeaderBytes = 4 << 10
	// maxPageConns bounds the connections to one page. Anyone who reaches the port may
	// open them, and each takes some 10 KiB.
	maxPageConns = 64
)

// newPageServer returns a server for a page that is open to anyone who reaches its port.
func newPageServer(h http.Handler) *http.Server {
	var conns pageConns
	return &http.Server{
		Handler: h, ReadHeaderTimeout: headerTimeout, ReadTimeout: pageTimeout, WriteTimeout: pageTimeout, IdleTimeout: pageIdleTimeout,
		MaxHeaderBytes: maxPageHeaderBytes, ConnState: conns.record,
	}
}

// pageConns has the open connections of a server, the oldest first. Above maxPageConns it
// closes the oldest, since a refusal of new ones would let strangers keep the checks of
// the load balancer out.
type pageConns struct {
	mu   sync.Mutex
	open []net.Conn
}

func (p *pageConns) record(c net.Conn, s http.ConnState) {
	p.mu.Lock()
	defer p.mu.Unlock()
	switch s {
	case http.StateNew:
		p.open = append(p.open, c)
		if len(p.open) > maxPageConns {
			_ = p.open[0].Close()
			p.open = slices.Delete(p.open, 0, 1)
		}
	case http.StateClosed, http.StateHijacked:
		p.open = slices.DeleteFunc(p.open, func(o net.Conn) bool { return o == c })
	}
}
