package admin

import (
	"context"
	"errors"
	"net"
	"net/http"
	"net/http/pprof"
	"time"

	"github.com/rs/zerolog"

	"chervilspan.example/internal/evlog"
)

// HandlerConfig has the parts behind the HTTP listener.
type HandlerConfig struct {
	// Ready returns nil while the VM takes callers; otherwise the reason why
	// not. A nil Ready means always.
	Ready func() error
	// Metrics serves /metrics; may be nil.
	Metrics http.Handler
}

// Handler returns the handler of /healthz (the process answers), /readyz (the
// VM takes callers), /metrics and /debug/pprof/.
func Handler(h HandlerConfig) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) {
		_, _ = w.Write([]byte("ok\n"))
	})
	mux.HandleFunc("GET /readyz", func(w http.ResponseWriter, _ *http.Request) {
		if h.Ready != nil {
			if err := h.Ready(); err != nil {
				http.Error(w, err.Error(), http.StatusServiceUnavailable)
				return
			}
		}
		_, _ = w.Write([]byte("ready\n"))
	})
	if h.Metrics != nil {
		mux.Handle("GET /metrics", h.Metrics)
	}
	mux.HandleFunc("/debug/pprof/", pprof.Index)
	mux.HandleFunc("/debug/pprof/cmdline", pprof.Cmdline)
	mux.HandleFunc("/debug/pprof/profile", pprof.Profile)
	mux.HandleFunc("/debug/pprof/symbol", pprof.Symbol)
	mux.HandleFunc("/debug/pprof/trace", pprof.Trace)
	return mux
}

// Serve serves HTTP on l until ctx ends.
func Serve(ctx context.Context, l net.Listener, h http.Handler, log zerolog.Logger) error {
	srv := &http.Server{Handler: h, ReadHeaderTimeout: 5 * time.Second}
	stop := context.AfterFunc(ctx, func() {
		// Open profiles would hold a graceful stop up.
		_ = srv.Close()
	})
	defer stop()
	err := srv.Serve(l)
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	evlog.At(log, evlog.HTTPFailed).Str("reason", err.Error()).Send()
	return err
}
