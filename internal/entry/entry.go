package entry

import (
	"context"
	"crypto/tls"
	"net"
	"os"
	"strings"
	"sync/atomic"

	"github.com/rs/zerolog"

	"chervilspan.example/internal/admin"
	"chervilspan.example/internal/certs"
	"chervilspan.example/internal/conf"
	"chervilspan.example/internal/conns"
	"chervilspan.example/internal/limit"
	"chervilspan.example/internal/metr"
	"chervilspan.example/internal/peer"
	"chervilspan.example/internal/spread"
	"chervilspan.example/internal/strpc"
	"chervilspan.example/internal/watch"
	"chervilspan.example/internal/wire"
	"chervilspan.example/pkg/catal"
	"chervilspan.example/pkg/ident"
	"chervilspan.example/pkg/member"
	"chervilspan.example/pkg/topo"
)

// Daemon is one VM's entry daemon.
type Daemon struct {
	file    string
	cfg     atomic.Pointer[conf.Settings]
	log     zerolog.Logger
	metrics *metr.Metrics
	certs   certificates
	secret  string

	store   *strpc.Client
	table   topo.Table
	clients *peer.Cache
	spread  *spread.Distributor
	limiter *limit.Limiter
	watch   *watch.Watcher
	pools   *conns.Pools
	server  *wire.Server
	peers   *peer.Server
	admin   *admin.Service

	listeners listeners
	// drain is closed when an operator asks for a planned stop.
	drain chan struct{}
}

// certificates has the files that SIGHUP reads again; unused ones are nil.
type certificates struct {
	callers, store, targets *certs.Certificates
	peers                   *peer.Certificates
}

type listeners struct{ callers, peers, admin net.Listener }

// New prepares a daemon and opens its listeners; file is where Run reads the
// settings again on SIGHUP.
func New(file string, cfg *conf.Settings) (*Daemon, error) {
	d := &Daemon{file: file, metrics: metr.New(), drain: make(chan struct{}, 1)}
	d.cfg.Store(cfg)
	d.log = zerolog.New(os.Stderr).With().Timestamp().Str("vm", string(cfg.VM)).Logger()
	d.setLevel(cfg)
	if err := d.load(cfg); err != nil {
		return nil, err
	}
	store, err := strpc.Dial(cfg.Store.Address, clientTLS(d.certs.store), d.metrics.Scope)
	if err != nil {
		return nil, &Error{Op: "open the store", Kind: KindConfig, Err: err}
	}
	d.store = store
	d.assemble(cfg)
	if err := d.open(cfg); err != nil {
		return nil, err
	}
	return d, nil
}

func (d *Daemon) setLevel(cfg *conf.Settings) {
	if level, err := zerolog.ParseLevel(cfg.WithDefaults().Log.Level); err == nil {
		zerolog.SetGlobalLevel(level)
	}
}

// load reads the files that the settings name.
func (d *Daemon) load(cfg *conf.Settings) (err error) {
	for _, f := range []struct {
		into **certs.Certificates
		tls  conf.TLS
	}{
		{&d.certs.callers, cfg.Callers.TLS},
		{&d.certs.store, cfg.Store.TLS},
		{&d.certs.targets, cfg.Targets.TLS},
	} {
		if f.tls.IsZero() {
			continue
		}
		if *f.into, err = certs.Load(certs.Files{Cert: f.tls.CertFile, Key: f.tls.KeyFile, CA: f.tls.CAFile}); err != nil {
			return &Error{Op: "load certificates", Kind: KindConfig, Err: err}
		}
	}
	if t := cfg.Peers.TLS; !t.IsZero() {
		if d.certs.peers, err = peer.LoadCertificates(peer.Files{Cert: t.CertFile, Key: t.KeyFile, CA: t.CAFile}); err != nil {
			return &Error{Op: "load certificates", Kind: KindConfig, Err: err}
		}
	}
	password, err := os.ReadFile(cfg.Targets.PasswordFile)
	if err != nil {
		return &Error{Op: "read the password for the targets", Kind: KindConfig, Err: err}
	}
	d.secret = strings.TrimRight(string(password), "\r\n")
	return nil
}

func clientTLS(p *certs.Certificates) *tls.Config {
	if p == nil {
		return nil
	}
	return p.ClientConfig()
}

func serverTLS(p *certs.Certificates) *tls.Config {
	if p == nil {
		return nil
	}
	return p.ServerConfig()
}

func (d *Daemon) open(cfg *conf.Settings) error {
	for _, l := range []struct {
		into    *net.Listener
		address string
	}{
		{&d.listeners.callers, cfg.Callers.Listen},
		{&d.listeners.peers, cfg.Peers.Listen},
		{&d.listeners.admin, cfg.Admin.Listen},
	} {
		if l.address == "" {
			continue
		}
		n, err := net.Listen("tcp", l.address)
		if err != nil {
			return &Error{Op: "listen", Kind: KindListen, Err: err}
		}
		*l.into = n
	}
	return nil
}

func (d *Daemon) self(cfg *conf.Settings) member.Info {
	return member.Info{
		VM: cfg.VM, Zone: cfg.Zone, Region: cfg.Region, Number: cfg.Number,
		Address: cfg.Peers.AdvertiseAddress(),
	}
}

// region returns the region of a zone of the catalogue in force.
func (d *Daemon) region(z ident.Zone) ident.Region {
	if c := d.spread.Catalogue(); c != nil {
		return c.Zones[z].Region
	}
	return ""
}

// Ready returns an error while the daemon is not to be given callers.
func (d *Daemon) Ready() error {
	switch {
	case d.spread.Self().State == member.StateLeaving:
		return errLeaving
	case d.spread.Catalogue() == nil:
		return errNoCatalogue
	case !d.limiter.Ready():
		return errNoShares
	case d.spread.Status().Decision.CutOff() && !d.anyOpen():
		return errCutOff
	}
	return nil
}

// anyOpen reports whether a route is open to all; such routes are served by a
// VM that is cut off too.
func (d *Daemon) anyOpen() bool {
	for _, r := range d.spread.Catalogue().Routes {
		if r.Open {
			return true
		}
	}
	return false
}

// follow takes each version of the catalogue that comes into force.
func (d *Daemon) follow(c *catal.Catalogue) { d.table.Configure(c) }

// stopAll ends the parts that have no context.
func (d *Daemon) stopAll(ctx context.Context) {
	d.peers.Stop(ctx)
	d.server.Close()
	d.pools.Close()
	d.clients.Close()
	_ = d.store.Close()
	_ = d.metrics.Close()
}
