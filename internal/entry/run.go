package entry

import (
	"context"
	"errors"
	"net"
	"os"
	"os/signal"
	"sync"
	"syscall"
	"time"

	"chervilspan.example/internal/admin"
	"chervilspan.example/internal/certs"
	"chervilspan.example/internal/conf"
	"chervilspan.example/internal/evlog"
)

var (
	errLeaving     = errors.New("the VM is leaving")
	errNoCatalogue = errors.New("no catalogue is in force")
	errCutOff      = errors.New("the VM is cut off")
	errNoSlices    = errors.New("the rate slices are not claimed yet")
)

const (
	// releaseTimeout limits the release of the rate slices.
	releaseTimeout = 2 * time.Second
	// stopTimeout limits the stop of the services for peers and operators. Streams
	// from other VMs to the gates of this VM never end by themselves.
	stopTimeout = 200 * time.Millisecond
)

// Run serves until a planned stop has drained the sessions, and returns the number
// of sessions that were cut. SIGTERM, an interrupt and the end of ctx begin a
// planned stop; a second signal cuts the remaining sessions. SIGHUP reloads the
// settings.
func (d *Daemon) Run(ctx context.Context) (cut int, err error) {
	signals := make(chan os.Signal, 4)
	signal.Notify(signals, syscall.SIGTERM, os.Interrupt, syscall.SIGHUP)
	defer signal.Stop(signals)
	work, end := context.WithCancel(context.Background())
	var running sync.WaitGroup
	for _, run := range []func(context.Context){d.spread.Run, d.limiter.Run, d.watch.Run} {
		running.Go(func() { run(work) })
	}
	failed := d.serve(work)
	cfg := d.cfg.Load()
	evlog.At(d.log, evlog.DaemonStarted).Str("callers", cfg.Callers.Listen).Str("peers", cfg.Peers.Listen).Send()
	err = d.awaitStop(ctx, signals, failed)
	if err == nil {
		cut = d.stop(signals)
	}
	end()
	last, cancel := context.WithTimeout(context.Background(), stopTimeout)
	defer cancel()
	d.closeAll(last)
	running.Wait()
	return cut, err
}

// serve starts the listeners. The channel receives their failures.
func (d *Daemon) serve(ctx context.Context) <-chan error {
	failed := make(chan error, 3)
	report := func(op string, err error) {
		if err != nil && !errors.Is(err, net.ErrClosed) {
			failed <- &Error{Op: op, Kind: KindListen, Err: err}
		}
	}
	go func() { report("serve callers", d.server.Serve(d.listeners.callers)) }()
	go func() { report("serve peers", d.peers.Serve(d.listeners.peers)) }()
	if l := d.listeners.admin; l != nil {
		h := admin.Handler(admin.HandlerConfig{Ready: d.Ready, Metrics: d.metrics.Handler()})
		go func() { report("serve the admin listener", admin.Serve(ctx, l, h, d.log)) }()
	}
	return failed
}

// awaitStop blocks until a planned stop should begin and returns nil, or until a
// listener fails and returns its error. It reloads the settings on SIGHUP.
func (d *Daemon) awaitStop(ctx context.Context, signals <-chan os.Signal, failed <-chan error) error {
	for {
		select {
		case s := <-signals:
			if s != syscall.SIGHUP {
				return nil
			}
			d.reload()
		case <-d.drainRequests:
			return nil
		case <-ctx.Done():
			return nil
		case err := <-failed:
			return err
		}
	}
}

// requestDrain begins a planned stop on behalf of an operator and returns the
// number of open sessions.
func (d *Daemon) requestDrain() uint32 {
	select {
	case d.drainRequests <- struct{}{}:
	default:
	}
	return uint32(d.server.SessionCount())
}

// stop drains the sessions. It announces that the VM is leaving, accepts
// connections for the notice period, and then ends sessions between transactions.
// A second signal cuts the remaining ones. It returns the number of cut sessions.
func (d *Daemon) stop(signals <-chan os.Signal) (cut int) {
	cfg := d.cfg.Load()
	evlog.At(d.log, evlog.DrainStarted).Int("sessions", d.server.SessionCount()).Send()
	d.spread.SetLeaving()
	ctx, cancel := context.WithTimeout(context.Background(), cfg.Drain.NoticePeriod()+cfg.Drain.MaxDuration())
	defer cancel()
	go func() {
		for s := range signals {
			if s != syscall.SIGHUP {
				cancel()
				return
			}
		}
	}()
	select {
	case <-time.After(cfg.Drain.NoticePeriod()):
	case <-ctx.Done():
	}
	cut = d.server.Drain(ctx)
	d.releaseSlices()
	if cut > 0 {
		evlog.At(d.log, evlog.DrainCut).Int("cut", cut).Send()
		return cut
	}
	evlog.At(d.log, evlog.DrainDone).Send()
	return 0
}

// releaseSlices releases the rate slices, so that other VMs don't have to wait for
// the lease to expire.
func (d *Daemon) releaseSlices() {
	ctx, cancel := context.WithTimeout(context.Background(), releaseTimeout)
	defer cancel()
	_ = d.limiter.Drain(ctx) // if the store does not answer, the slices expire with the lease
}

// reload reloads the certificates and the settings that may change at run time.
// If either fails, the settings stay unchanged, and so does the certificate that
// failed.
func (d *Daemon) reload() {
	next, err := conf.Load(d.settingsFile)
	if err == nil {
		err = d.certs.reload()
	}
	if err != nil {
		evlog.At(d.log, evlog.ReloadFailed).Err(err).Send()
		return
	}
	cfg := *d.cfg.Load()
	cfg.Drain, cfg.Log = next.Drain, next.Log
	d.cfg.Store(&cfg)
	d.setLevel(&cfg)
	evlog.At(d.log, evlog.ReloadDone).Send()
}

func (c certificates) reload() error {
	for _, p := range []*certs.Certificates{c.callers, c.store, c.targets} {
		if p == nil {
			continue
		}
		if err := p.Reload(); err != nil {
			return err
		}
	}
	if c.peers == nil {
		return nil
	}
	return c.peers.Reload()
}
