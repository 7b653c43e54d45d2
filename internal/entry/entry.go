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

// Daemon is the entry daemon of one VM.
type Daemon struct {
	settingsFile   string
	cfg            atomic.Pointer[conf.Settings]
	log            zerolog.Logger
	metrics        *metr.Metrics
	certs          certificates
	targetPassword string

	store   *strpc.Client
	topo    topo.Table
	clients *peer.Cache
	spread  *spread.Distributor
	limiter *limit.Limiter
	watch   *watch.Watcher
	pools   *conns.Pools
	server  *wire.Server
	peers   *peer.Server
	admin   *admin.Service

	listeners listeners
	// drainRequests receives a value when an operator requests a planned stop.
	drainRequests chan struct{}
}

// certificates holds the certificates that SIGHUP reloads; unused ones are nil.
type certificates struct {
	callers, store, targets *certs.Certificates
	peers                   *peer.Certificates
}

type listeners struct{ callers, peers, admin net.Listener }

// New creates a daemon and opens its listeners. On SIGHUP, Run reloads the settings
// from file.
func New(file string, cfg *conf.Settings) (*Daemon, error) {
	d := &Daemon{settingsFile: file, metrics: metr.New(), drainRequests: make(chan struct{}, 1)}
	d.cfg.Store(cfg)
	d.log = zerolog.New(os.Stderr).With().Timestamp().Str("vm", string(cfg.VM)).Logger()
	d.setLevel(cfg)
	if err := d.loadFiles(cfg); err != nil {
		return nil, err
	}
	store, err := strpc.Dial(cfg.Store.Address, clientTLS(d.certs.store), d.metrics.Scope)
	if err != nil {
		return nil, &Error{Op: "open the store", Kind: KindConfig, Err: err}
	}
	d.store = store
	d.assemble(cfg)
	if err := d.openListeners(cfg); err != nil {
		return nil, err
	}
	return d, nil
}

func (d *Daemon) setLevel(cfg *conf.Settings) {
	if level, err := zerolog.ParseLevel(cfg.WithDefaults().Log.Level); err == nil {
		zerolog.SetGlobalLevel(level)
	}
}

// loadFiles reads the certificates and the password file that the settings name.
func (d *Daemon) loadFiles(cfg *conf.Settings) (err error) {
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
	d.targetPassword = strings.TrimRight(string(password), "\r\n")
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

func (d *Daemon) openListeners(cfg *conf.Settings) error {
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

// regionOf returns the region of a zone in the catalogue in force, or "" when
// there is no catalogue.
func (d *Daemon) regionOf(z ident.Zone) ident.Region {
	if c := d.spread.Catalogue(); c != nil {
		return c.Zones[z].Region
	}
	return ""
}

// Ready returns an error while the daemon should not receive callers.
func (d *Daemon) Ready() error {
	switch {
	case d.spread.Self().State == member.StateLeaving:
		return errLeaving
	case d.spread.Catalogue() == nil:
		return errNoCatalogue
	case !d.limiter.Ready():
		return errNoSlices
	case d.spread.Status().Decision.CutOff() && !d.hasOpenRoute():
		return errCutOff
	}
	return nil
}

// hasOpenRoute reports whether a route is open to all callers. A VM that is cut off
// still serves such routes.
func (d *Daemon) hasOpenRoute() bool {
	for _, r := range d.spread.Catalogue().Routes {
		if r.Open {
			return true
		}
	}
	return false
}

// applyCatalogue updates the topology from a new version of the catalogue.
func (d *Daemon) applyCatalogue(c *catal.Catalogue) { d.topo.Configure(c) }

// closeAll stops the components that don't stop with a context.
func (d *Daemon) closeAll(ctx context.Context) {
	d.peers.Stop(ctx)
	d.server.Close()
	d.pools.Close()
	d.clients.Close()
	_ = d.store.Close()
	_ = d.metrics.Close()
}
