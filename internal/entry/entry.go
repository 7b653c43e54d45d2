package entry

import (
	"context"
	"crypto/tls"
	"errors"
	"net"
	"os"
	"os/signal"
	"strings"
	"syscall"

	"github.com/rs/zerolog"

	"chervilspan.example/internal/certs"
	"chervilspan.example/internal/conf"
	"chervilspan.example/internal/conns"
	"chervilspan.example/internal/dbctl"
	"chervilspan.example/internal/evlog"
	"chervilspan.example/internal/metr"
	"chervilspan.example/internal/strpc"
	"chervilspan.example/internal/watch"
	"chervilspan.example/internal/wire"
	"chervilspan.example/pkg/catal"
	"chervilspan.example/pkg/ident"
	"chervilspan.example/pkg/sessn"
	"chervilspan.example/pkg/topo"
)

// Daemon is one VM's entry daemon.
type Daemon struct {
	cfg     *conf.Settings
	log     zerolog.Logger
	metrics *metr.Metrics
	store   *strpc.Client
	table   topo.Table
	pools   *conns.Pools
	watch   *watch.Watcher
	cat     *polled
	server  *wire.Server
	listen  net.Listener
}

// New prepares a daemon and opens its listeners.
func New(file string, cfg *conf.Settings) (*Daemon, error) {
	d := &Daemon{cfg: cfg, metrics: metr.New()}
	level, _ := zerolog.ParseLevel(cfg.WithDefaults().Log.Level)
	d.log = zerolog.New(os.Stderr).Level(level).With().Timestamp().Str("vm", string(cfg.VM)).Logger()
	st, err := strpc.Dial(cfg.Store.Address, nil, d.metrics.Scope)
	if err != nil {
		return nil, &Error{Op: "open the store", Kind: KindConfig, Err: err}
	}
	d.store = st
	password, err := os.ReadFile(cfg.Targets.PasswordFile)
	if err != nil {
		return nil, &Error{Op: "read the targets' password", Kind: KindConfig, Err: err}
	}
	secret := strings.TrimRight(string(password), "\r\n")
	callersTLS, err := serverTLS(cfg.Callers.TLS)
	if err != nil {
		return nil, err
	}
	d.watch = watch.New(watch.Config{
		Self: cfg.VM, Table: &d.table, Store: d.store, Log: d.log, Metrics: d.metrics.Scope,
		Watchers: cfg.Failover.WatcherCount(), Region: d.region,
		Dial: func(_ ident.Group, id ident.Target, address string) watch.Conn {
			return dbctl.New(dbctl.Config{Target: id, Address: address, User: cfg.Targets.User, Password: secret})
		},
	})
	d.pools = conns.New(conns.Config{
		User: cfg.Targets.User, Password: secret, Groups: &d.table, Suspect: d.watch.Suspect,
		ConnectTimeout: cfg.Targets.ConnectTimeout(), IdleClose: cfg.Targets.IdleClose(), Log: d.log, Scope: d.metrics.Scope,
	})
	d.cat = &polled{store: d.store, apply: func(c *catal.Catalogue) { d.table.Configure(c) }}
	d.server = wire.New(wire.Config{
		Access: d.cat, Limiter: unlimited{}, Groups: &d.table, Control: d.watch, Pools: d.pools,
		Number: cfg.Number, Place: sessn.Place{Zone: cfg.Zone, Region: cfg.Region}, Region: d.region,
		TLS: callersTLS, AllowPlain: cfg.Callers.PlainText,
		MaxUnauthenticated: cfg.Callers.Unauthenticated(), HandshakeTimeout: cfg.Callers.HandshakeTimeout(),
		MaxMessage: cfg.Callers.MessageBytes(), Log: d.log, Scope: d.metrics.Scope,
	})
	d.listen, err = net.Listen("tcp", cfg.Callers.Listen)
	if err != nil {
		return nil, &Error{Op: "listen for callers", Kind: KindListen, Err: err}
	}
	_ = file
	return d, nil
}

func serverTLS(t conf.TLS) (*tls.Config, error) {
	if t.IsZero() {
		return nil, nil
	}
	pair, err := certs.Load(certs.Files{Cert: t.CertFile, Key: t.KeyFile, CA: t.CAFile})
	if err != nil {
		return nil, &Error{Op: "load certificates", Kind: KindConfig, Err: err}
	}
	return pair.Server(), nil
}

func (d *Daemon) region(z ident.Zone) ident.Region {
	if c := d.cat.current.Load(); c != nil {
		return c.Zones[z].Region
	}
	return ""
}

// Run serves until SIGTERM or an interrupt and returns the number of sessions
// that were cut.
func (d *Daemon) Run(ctx context.Context) (cut int, err error) {
	ctx, stop := signal.NotifyContext(ctx, syscall.SIGTERM, os.Interrupt)
	defer stop()
	work, end := context.WithCancel(context.Background())
	defer end()
	go d.cat.run(work)
	go d.watch.Run(work)
	failed := make(chan error, 1)
	go func() { failed <- d.server.Serve(d.listen) }()
	evlog.At(d.log, evlog.DaemonStarted).Str("callers", d.listen.Addr().String()).Send()
	select {
	case err := <-failed:
		if err != nil && !errors.Is(err, net.ErrClosed) {
			return 0, &Error{Op: "serve callers", Kind: KindListen, Err: err}
		}
	case <-ctx.Done():
	}
	drain, cancel := context.WithTimeout(context.Background(), d.cfg.Drain.Max())
	defer cancel()
	cut = d.server.Drain(drain)
	d.server.Close()
	d.pools.Close()
	return cut, nil
}
