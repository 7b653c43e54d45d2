package fleet

import (
	"context"
	"errors"
	"fmt"
	"path/filepath"
	"strings"
	"time"

	"chervilspan.example/internal/peer"
	"chervilspan.example/internal/proto/adminpb"
	"chervilspan.example/pkg/catal"
	"chervilspan.example/pkg/ident"
)

// applyTimeout limits the wait for an applied catalogue, also in a fleet that
// has just started.
const applyTimeout = 20 * time.Second

// newAdminClients returns clients of the daemons' admin service, with an
// operator's certificate.
func (f *Fleet) newAdminClients() (*peer.Cache, error) {
	cert, key, err := f.ca.issue(f.Dir, "operator")
	if err != nil {
		return nil, err
	}
	certificates, err := peer.LoadCertificates(peer.Files{Cert: cert, Key: key, CA: f.ca.file})
	if err != nil {
		return nil, err
	}
	return peer.NewCache(peer.CacheConfig{Certificates: certificates}), nil
}

// OperatorFiles returns the file names of the operator's certificate, its key
// and the certificate authority.
func (f *Fleet) OperatorFiles() (cert, key, ca string) {
	return filepath.Join(f.Dir, "operator.pem"), filepath.Join(f.Dir, "operator.key"), f.ca.file
}

// Apply stores f.Catalogue as the next version through daemon d and returns that
// version.
func (f *Fleet) Apply(ctx context.Context, d *Daemon) (ident.Version, error) {
	doc, err := catal.Encode(&f.Catalogue)
	if err != nil {
		return 0, err
	}
	ctx, cancel := context.WithTimeout(ctx, applyTimeout)
	defer cancel()
	err = waitFor(ctx, "the edit of the catalogue", func() error {
		c, err := f.adminClients.Admin(d.PeerAddress)
		if err != nil {
			return err
		}
		r, err := c.ApplyCatalogue(ctx, &adminpb.ApplyCatalogueRequest{
			BaseVersion: uint64(f.Catalogue.Version), Document: doc, Operator: "fleet",
		})
		switch {
		case err != nil:
			return err
		case !r.Accepted:
			return fmt.Errorf("refused at version %d: %s", r.Version, strings.Join(r.Errors, "; "))
		}
		f.Catalogue.Version = ident.Version(r.Version)
		return nil
	})
	return f.Catalogue.Version, err
}

// VersionInForce returns the catalogue version in force on a daemon.
func (f *Fleet) VersionInForce(ctx context.Context, d *Daemon) (ident.Version, error) {
	s, err := f.Status(ctx, d)
	if err != nil {
		return 0, err
	}
	return ident.Version(s.Version), nil
}

// Status returns a daemon's status of itself.
func (f *Fleet) Status(ctx context.Context, d *Daemon) (*adminpb.VMStatus, error) {
	c, err := f.adminClients.Admin(d.PeerAddress)
	if err != nil {
		return nil, err
	}
	r, err := c.Status(ctx, &adminpb.StatusRequest{Local: true})
	if err != nil {
		return nil, err
	}
	if len(r.Vms) != 1 {
		return nil, errors.New("local status does not name exactly one VM")
	}
	return r.Vms[0], nil
}

// WaitInForce waits until catalogue version v is in force on all running daemons
// and returns how long that took.
func (f *Fleet) WaitInForce(ctx context.Context, v ident.Version) (time.Duration, error) {
	start := time.Now()
	ctx, cancel := context.WithTimeout(ctx, applyTimeout)
	defer cancel()
	for _, d := range f.Daemons {
		if d.proc == nil || d.proc.Exited() {
			continue
		}
		err := waitFor(ctx, "version "+fmt.Sprint(v)+" on "+string(d.Settings.VM), func() error {
			have, err := f.VersionInForce(ctx, d)
			if err == nil && have < v {
				return fmt.Errorf("version %d is in force", have)
			}
			return err
		})
		if err != nil {
			return 0, err
		}
	}
	return time.Since(start), nil
}

// WithdrawKeys marks all keys of a workspace as withdrawn in f.Catalogue.
func (f *Fleet) WithdrawKeys(ws ident.Workspace) {
	for id, k := range f.Catalogue.Workspaces[ws].Keys {
		k.Withdrawn = true
		f.Catalogue.Workspaces[ws].Keys[id] = k
	}
}

// OtherWorkspace returns the first workspace that is not ws, or "".
func (f *Fleet) OtherWorkspace(ws ident.Workspace) ident.Workspace {
	for _, w := range f.cfg.Layout.Workspaces {
		if w != ws {
			return w
		}
	}
	return ""
}

// Publish stores f.Catalogue as the next version through the first running
// daemon, and waits until that version is in force and the readiness check
// passes on all running daemons.
func (f *Fleet) Publish(ctx context.Context) error {
	for _, d := range f.Daemons {
		if d.proc == nil || d.proc.Exited() {
			continue
		}
		v, err := f.Apply(ctx, d)
		if err != nil {
			return err
		}
		if _, err = f.WaitInForce(ctx, v); err != nil {
			return err
		}
		return f.WaitReady(ctx)
	}
	return errors.New("no daemon is running")
}

// WaitReady waits until the readiness check of each running daemon passes.
func (f *Fleet) WaitReady(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, applyTimeout)
	defer cancel()
	for _, d := range f.Daemons {
		if d.proc == nil || d.proc.Exited() {
			continue
		}
		if err := waitFor(ctx, "readiness of "+string(d.Settings.VM), func() error { return f.GetAdminPage(ctx, d, "/readyz", nil) }); err != nil {
			return err
		}
	}
	return nil
}
