package node

import (
	"context"
	"net"
	"net/http"
	"time"

	"chervilspan.example/internal/evlog"
	"chervilspan.example/pkg/store"
)

const (
	// readyPollInterval is how often a starting VM checks whether it is ready.
	readyPollInterval = 15 * time.Millisecond
	// versionCheckTimeout is how long a starting VM waits for another VM's version of
	// the catalogue. It is below the time for which logins wait for the start.
	versionCheckTimeout = time.Second
)

// startMetrics serves the metrics if the settings have an address for them.
func (n *Node) startMetrics() {
	if n.settings.Metrics == "" {
		return
	}
	l, err := net.Listen("tcp", n.settings.Metrics)
	if err != nil {
		// The VM can serve callers without metrics.
		evlog.At(n.log, evlog.AcceptFailed).Str("listener", "metrics").Err(err).Send()
		return
	}
	go n.runListener("metrics", func() error { return n.serveHTTP(l, true) })
}

// serveHTTP serves the readiness check on a listener and, if metrics is set, the
// metrics.
func (n *Node) serveHTTP(l net.Listener, metrics bool) error {
	mux := http.NewServeMux()
	if metrics {
		mux.Handle("/metrics", n.metrics.Handler())
	}
	mux.HandleFunc("/", func(w http.ResponseWriter, _ *http.Request) {
		if !n.isReady() {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	})
	return newPageServer(mux).Serve(l)
}

// isReady reports whether the VM can serve callers.
func (n *Node) isReady() bool {
	return !n.stopping.Load() && n.follower.Index() != nil && n.versionChecked() && n.roster.Loaded() && n.limiter.Ready()
}

// versionChecked reports whether the version in force may be served by. After a
// restoration of the store, it may be one that other VMs have replaced; a starting VM
// then asks another VM first, or waits for versionCheckTimeout if none answers.
func (n *Node) versionChecked() bool {
	return store.EpochOf(n.adapters.Store) <= store.FirstEpoch || n.follower.Compared() || time.Since(n.startedAt) > versionCheckTimeout
}

// awaitReady closes firstReady, for which the engine waits, once the VM is ready.
func (n *Node) awaitReady(ctx context.Context) {
	t := time.NewTicker(readyPollInterval)
	defer t.Stop()
	for !n.isReady() {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
	}
	close(n.firstReady)
	evlog.At(n.log, evlog.DaemonReady).Uint64("version", uint64(n.follower.Version())).Send()
}
