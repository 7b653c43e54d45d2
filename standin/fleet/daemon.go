package fleet

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"encoding/json"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"strconv"

	"github.com/jackc/pgx/v5"

	"chervilspan.example/internal/conf"
	"chervilspan.example/pkg/catal"
	"chervilspan.example/pkg/ident"
)

// Daemon is a chervild process with its settings.
type Daemon struct {
	Settings conf.Settings
	// Callers, Peers and Admin are the addresses of its listeners.
	CallerAddress, PeerAddress, AdminAddress string
	file                                     string
	proc                                     *Proc
}

// Proc returns the daemon's process.
func (d *Daemon) Proc() *Proc { return d.proc }

// SettingsFile returns the name of the settings file.
func (d *Daemon) SettingsFile() string { return d.file }

func (f *Fleet) prepareDaemons() error {
	for _, p := range f.cfg.Layout.Zones {
		for i := range p.Daemons {
			if err := f.prepareDaemon(p, ident.VM(fmt.Sprintf("%s-%d", p.Zone, i+1))); err != nil {
				return err
			}
		}
	}
	for _, d := range f.Daemons {
		for _, other := range f.Daemons {
			if other != d {
				d.Settings.Peers.Seeds = append(d.Settings.Peers.Seeds, other.PeerAddress)
			}
		}
		if f.cfg.Adjust != nil {
			f.cfg.Adjust(d)
		}
		if err := f.WriteSettings(d); err != nil {
			return err
		}
	}
	return nil
}

func (f *Fleet) prepareDaemon(p ZoneLayout, vm ident.VM) (err error) {
	d := &Daemon{file: filepath.Join(f.Dir, string(vm)+".json")}
	for _, a := range []*string{&d.CallerAddress, &d.PeerAddress, &d.AdminAddress} {
		if *a, err = f.freeAddress(); err != nil {
			return err
		}
	}
	cert, key, err := f.ca.issue(f.Dir, string(vm))
	if err != nil {
		return err
	}
	files := conf.TLS{CertFile: cert, KeyFile: key, CAFile: f.ca.file}
	d.Settings = conf.Settings{
		VM: vm, Number: uint32(len(f.Daemons) + 1), Zone: p.Zone, Region: p.Region,
		Callers: conf.Callers{Listen: d.CallerAddress, TLS: conf.TLS{CertFile: cert, KeyFile: key}},
		Peers:   conf.Peers{Listen: d.PeerAddress, TLS: files},
		Store:   conf.Store{Address: f.StoreAddress},
		Targets: conf.Targets{User: ProxyUser, PasswordFile: f.passwordFile()},
		Admin:   conf.Admin{Listen: d.AdminAddress},
		Drain:   conf.Drain{NoticeMS: 100, MaxMS: 3000},
	}
	f.Daemons = append(f.Daemons, d)
	return nil
}

// WriteSettings writes the settings file of a daemon.
func (f *Fleet) WriteSettings(d *Daemon) error {
	raw, err := json.MarshalIndent(&d.Settings, "", "  ")
	if err != nil {
		return err
	}
	return os.WriteFile(d.file, append(raw, '\n'), 0o600)
}

// StartDaemon starts the process of a daemon.
func (f *Fleet) StartDaemon(d *Daemon) (err error) {
	d.proc, err = start(f.Dir, string(d.Settings.VM), f.program("chervild"), "--config", d.file)
	return err
}

func (f *Fleet) prepareCatalogue() error {
	l := f.cfg.Layout
	c := catal.Catalogue{
		Zones: map[ident.Zone]catal.Zone{}, Groups: map[ident.Group]catal.Group{},
		Workspaces: map[ident.Workspace]catal.Workspace{}, Routes: map[ident.Route]catal.Route{},
	}
	for _, p := range l.Zones {
		c.Zones[p.Zone] = catal.Zone{Region: p.Region}
	}
	for _, g := range l.Groups {
		group := catal.Group{Owner: "operators", Targets: map[ident.Target]catal.Target{}}
		for _, t := range f.Targets {
			if t.Group == g {
				group.Targets[t.ID] = catal.Target{Address: t.Address, Zone: t.Zone, Slots: l.Slots, Connections: l.ConnLimit}
			}
		}
		c.Groups[g] = group
		c.Routes[ident.Route(g)] = catal.Route{Owner: "operators", Group: g}
	}
	for _, ws := range l.Workspaces {
		text, key, err := catal.NewKey("k-" + string(ws))
		if err != nil {
			return err
		}
		f.Keys[ws] = text
		c.Workspaces[ws] = catal.Workspace{
			Owner: "operators", Rate: l.Rate, Burst: l.Burst, Keys: map[string]catal.Key{"k-" + string(ws): key},
		}
	}
	f.Catalogue = c
	return nil
}

// ConnConfig returns the configuration of an unchanged pgx client that connects
// to d over TLS.
func (f *Fleet) ConnConfig(d *Daemon, ws ident.Workspace, route ident.Route, key string) (*pgx.ConnConfig, error) {
	cfg, err := pgx.ParseConfig("sslmode=disable")
	if err != nil {
		return nil, err
	}
	host, port, err := net.SplitHostPort(d.CallerAddress)
	if err != nil {
		return nil, err
	}
	n, err := strconv.ParseUint(port, 10, 16)
	if err != nil {
		return nil, err
	}
	raw, err := os.ReadFile(f.ca.file)
	if err != nil {
		return nil, err
	}
	roots := x509.NewCertPool()
	roots.AppendCertsFromPEM(raw)
	cfg.Host, cfg.Port, cfg.User, cfg.Database, cfg.Password = host, uint16(n), string(ws), string(route), key
	cfg.TLSConfig = &tls.Config{RootCAs: roots, ServerName: host, MinVersion: tls.VersionTLS12}
	return cfg, nil
}

// Connect opens a connection of a caller.
func (f *Fleet) Connect(ctx context.Context, d *Daemon, ws ident.Workspace, route ident.Route) (*pgx.Conn, error) {
	cfg, err := f.ConnConfig(d, ws, route, f.Keys[ws])
	if err != nil {
		return nil, err
	}
	return pgx.ConnectConfig(ctx, cfg)
}

// ReissueCertificate writes a new certificate into the files that a daemon's settings name.
func (f *Fleet) ReissueCertificate(d *Daemon) error {
	_, _, err := f.ca.issue(f.Dir, string(d.Settings.VM))
	return err
}
