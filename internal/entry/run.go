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
	errNoShares    = errors.New("the rate slices are not claimed yet")
)

const (
	// giveBackTimeout bounds the return of the rate slices.
	giveBackTimeout = 2 * time.Second
	// stopTimeout bounds the end of the services for peers and operators. The
	// other VMs' streams to the gates here never end by themselves.
	stopTimeout = 200 * time.Millisecond
)

// Run serves until a planned stop has drained, and returns the number of
// sessions that were cut. SIGTERM, an interrupt and the end of ctx begin a
// planned stop, a second signal cuts what is left, SIGHUP reads the settings
// again.
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
	err = d.await(ctx, signals, failed)
	if err == nil {
		cut = d.stop(signals)
	}
	end()
	last, cancel := context.WithTimeout(context.Background(), stopTimeout)
	defer cancel()
	d.stopAll(last)
	running.Wait()
	return cut, err
}

// serve starts the listeners; the channel takes the first failure.
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

// await returns nil when a planned stop is to begin.
func (d *Daemon) await(ctx context.Context, signals <-chan os.Signal, failed <-chan error) error {
	for {
		select {
		case s := <-signals:
			if s != syscall.SIGHUP {
				return nil
			}
			d.reload()
		case <-d.drain:
			return nil
		case <-ctx.Done():
			return nil
		case err := <-failed:
			return err
		}
	}
}

// askDrain begins a planned stop on behalf of an operator and returns the
// number of sessions.
func (d *Daemon) askDrain() uint32 {
	select {
	case d.drain <- struct{}{}:
	default:
	}
	return uint32(d.server.SessionCount())
}

// stop drains: others learn that the VM leaves, connections are taken for the
// notice time, then sessions end between two transactions. A second signal cuts
// what is left.
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
	d.giveBack()
	if cut > 0 {
		evlog.At(d.log, evlog.DrainCut).Int("cut", cut).Send()
		return cut
	}
	evlog.At(d.log, evlog.DrainDone).Send()
	return 0
}

// giveBack returns the rate slices, so that others need not wait for the lease.
func (d *Daemon) giveBack() {
	ctx, cancel := context.WithTimeout(context.Background(), giveBackTimeout)
	defer cancel()
	_ = d.limiter.Drain(ctx) // without the store the slices end with the lease
}

// reload reads certificates and the settings that may change again. When
// anything is wrong, everything stays as it was.
func (d *Daemon) reload() {
	next, err := conf.Load(d.file)
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
