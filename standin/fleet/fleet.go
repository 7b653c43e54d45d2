package fleet

import (
	"context"
	"errors"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"time"

	"chervilspan.example/internal/peer"
	"chervilspan.example/pkg/catal"
	"chervilspan.example/pkg/ident"
)

// ProxyUser is the user name by which daemons log in to targets.
const ProxyUser = "proxy"

const (
	proxyPassword = "proxy-secret"
	startTimeout  = 10 * time.Second
	stopTimeout   = 5 * time.Second
)

// Config configures a Fleet.
type Config struct {
	// Bin is the directory of the programs.
	Bin    string
	Layout Layout
	// Adjust, if not nil, changes the settings of each daemon before they are
	// written.
	Adjust func(*Daemon)
}

// Target is a stand-in target and its process.
type Target struct {
	ID      ident.Target
	Group   ident.Group
	Zone    ident.Zone
	Address string
	DataDir string
	proc    *Proc
}

// Fleet is a deployment on loopback.
type Fleet struct {
	// Dir is the temporary directory, which Stop removes.
	Dir          string
	StoreAddress string
	// StoreControlAddress is where the store serves strsrv.ControlHandler.
	StoreControlAddress string
	Targets             []*Target
	Daemons             []*Daemon
	Catalogue           catal.Catalogue
	// Keys holds the key of each workspace in clear text.
	Keys map[ident.Workspace]string

	cfg          Config
	loopbackIP   string
	ca           *authority
	adminClients *peer.Cache
	store        *Proc
	// usedAddresses holds the addresses that freeAddress has returned.
	usedAddresses map[string]bool
}

// New prepares a deployment in a temporary directory: addresses, certificates,
// settings, keys and the catalogue. It starts no process.
func New(cfg Config) (*Fleet, error) {
	dir, err := os.MkdirTemp("", "chervilspan-")
	if err != nil {
		return nil, err
	}
	f := &Fleet{Dir: dir, cfg: cfg, loopbackIP: randomLoopbackIP(), Keys: map[ident.Workspace]string{}}
	if err := f.prepare(); err != nil {
		_ = os.RemoveAll(dir)
		return nil, err
	}
	return f, nil
}

func (f *Fleet) prepare() (err error) {
	if f.ca, err = newAuthority(f.Dir, f.loopbackIP); err != nil {
		return err
	}
	if f.adminClients, err = f.newAdminClients(); err != nil {
		return err
	}
	if f.StoreAddress, err = f.freeAddress(); err != nil {
		return err
	}
	if f.StoreControlAddress, err = f.freeAddress(); err != nil {
		return err
	}
	if err := os.WriteFile(f.passwordFile(), []byte(proxyPassword+"\n"), 0o600); err != nil {
		return err
	}
	if err := f.prepareTargets(); err != nil {
		return err
	}
	if err := f.prepareDaemons(); err != nil {
		return err
	}
	return f.prepareCatalogue()
}

func (f *Fleet) passwordFile() string { return filepath.Join(f.Dir, "target-password") }

func (f *Fleet) prepareTargets() error {
	for _, g := range f.cfg.Layout.Groups {
		for i, z := range f.cfg.Layout.Zones {
			addr, err := f.freeAddress()
			if err != nil {
				return err
			}
			id := ident.Target(fmt.Sprintf("%s-%c", g, 'a'+i))
			f.Targets = append(f.Targets, &Target{
				ID: id, Group: g, Zone: z.Zone, Address: addr, DataDir: filepath.Join(f.Dir, string(id)),
			})
		}
	}
	return nil
}

// Start starts all processes and waits until their listeners accept
// connections.
func (f *Fleet) Start(ctx context.Context) error {
	var err error
	f.store, err = startProc(f.Dir, "store", f.program("standin-store"), "--listen", f.StoreAddress, "--control", f.StoreControlAddress)
	if err != nil {
		return err
	}
	for _, t := range f.Targets {
		if err := f.StartTarget(t); err != nil {
			return err
		}
	}
	for _, d := range f.Daemons {
		if err := f.StartDaemon(d); err != nil {
			return err
		}
	}
	return f.waitListening(ctx)
}

func (f *Fleet) program(name string) string { return filepath.Join(f.cfg.Bin, name) }

// StartTarget starts the process of a target. A restarted target keeps its log.
func (f *Fleet) StartTarget(t *Target) (err error) {
	var members []string
	for _, m := range f.Targets {
		if m.Group == t.Group {
			members = append(members, string(m.ID)+"="+m.Address)
		}
	}
	l := f.cfg.Layout
	t.proc, err = startProc(f.Dir, string(t.ID), f.program("standin-target"),
		"--id", string(t.ID), "--listen", t.Address, "--members", strings.Join(members, ","), "--zone", string(t.Zone),
		"--slots", fmt.Sprint(l.Slots), "--connections", fmt.Sprint(l.ConnLimit),
		"--connect", l.ConnectDelay.String(), "--service", l.ServiceTime.String(), "--lag", l.Lag.String(),
		"--user", ProxyUser, "--password", proxyPassword, "--data-dir", t.DataDir)
	return err
}

// Proc returns the process of a target.
func (t *Target) Proc() *Proc { return t.proc }

func (f *Fleet) waitListening(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	addresses := []string{f.StoreAddress}
	for _, t := range f.Targets {
		addresses = append(addresses, t.Address)
	}
	for _, d := range f.Daemons {
		addresses = append(addresses, d.CallerAddress)
	}
	for _, a := range addresses {
		if err := waitFor(ctx, "listener at "+a, func() error {
			c, err := net.Dial("tcp", a)
			if err == nil {
				_ = c.Close()
			}
			return err
		}); err != nil {
			return err
		}
	}
	return nil
}

// waitFor repeats check until it succeeds or ctx ends.
func waitFor(ctx context.Context, what string, check func() error) error {
	for {
		err := check()
		if err == nil {
			return nil
		}
		select {
		case <-ctx.Done():
			return fmt.Errorf("wait for %s: %w", what, err)
		case <-time.After(20 * time.Millisecond):
		}
	}
}

// Stop ends all processes that the fleet started and removes its directory. It
// reports daemons that had to be killed.
func (f *Fleet) Stop() error {
	var errs []error
	f.adminClients.Close()
	for _, d := range f.Daemons {
		if d.proc != nil && !d.proc.Exited() {
			_ = d.proc.Signal(syscall.SIGCONT)
			_ = d.proc.Signal(syscall.SIGTERM)
		}
	}
	for _, d := range f.Daemons {
		if d.proc != nil && !d.proc.WaitExit(stopTimeout) {
			d.proc.Kill()
			errs = append(errs, fmt.Errorf("%s did not stop within %s", d.proc.Name, stopTimeout))
		}
	}
	for _, t := range f.Targets {
		if t.proc != nil {
			_ = t.proc.Signal(syscall.SIGCONT)
			t.proc.Kill()
		}
	}
	if f.store != nil {
		f.store.Kill()
	}
	return errors.Join(append(errs, os.RemoveAll(f.Dir))...)
}
