package bench

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"sync"
	"time"

	"github.com/jackc/pgx/v5"
	"github.com/jackc/pgx/v5/pgconn"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/credentials"
	"google.golang.org/grpc/status"

	"chervilspan.example/internal/certs"
	"chervilspan.example/internal/proto/adminpb"
	"chervilspan.example/pkg/catal"
	"chervilspan.example/pkg/ident"
	"chervilspan.example/standin/fleet"
)

// inForceObjective is the objective for the time, in seconds, until an edit is
// in force on all daemons.
const inForceObjective = 1.0

// measureConfiguration measures the time from an edit until every daemon accepts
// the key that it adds, or refuses the key that it withdraws.
func (m *measurement) measureConfiguration(ctx context.Context) error {
	n := 30
	if m.cfg.Quick {
		n = 2
	}
	var added, withdrawn []float64
	via := ""
	for i := range n {
		id := fmt.Sprintf("edit-%d", i)
		text, d, addedVia, err := m.addKey(ctx, id)
		if err != nil {
			return caseError("configuration", err)
		}
		via = addedVia
		added = append(added, d.Seconds())
		if d, err = m.withdrawKey(ctx, id, text); err != nil {
			return caseError("configuration", err)
		}
		withdrawn = append(withdrawn, d.Seconds())
	}
	name := fmt.Sprintf("%s_p99_of_%d", via, n)
	if err := m.out.print(atMost("configuration", "key_added_"+name, nearestRank(added, 0.99), "s", inForceObjective)); err != nil {
		return err
	}
	return m.out.print(atMost("configuration", "key_withdrawn_from_open_connections_"+name, nearestRank(withdrawn, 0.99), "s", inForceObjective))
}

// withdrawKey withdraws a key and waits until each daemon refuses statements on
// an open connection that logged in with it.
func (m *measurement) withdrawKey(ctx context.Context, id, text string) (time.Duration, error) {
	f := m.testbed.fleet
	ws := f.Workspaces()[0]
	conns := make([]*pgx.Conn, len(f.Daemons))
	for i, d := range f.Daemons {
		cfg, err := f.ConnConfig(d, ws, "taller-1", text)
		if err != nil {
			return 0, err
		}
		if conns[i], err = pgx.ConnectConfig(ctx, cfg); err != nil {
			return 0, err
		}
		defer func() { _ = conns[i].Close(ctx) }()
	}
	key := f.Catalogue.Workspaces[ws].Keys[id]
	key.Withdrawn = true
	f.Catalogue.Workspaces[ws].Keys[id] = key
	start := time.Now()
	if _, err := applyCatalogue(ctx, f); err != nil {
		return 0, err
	}
	err := forEachDaemon(f.Daemons, func(i int, _ *fleet.Daemon) error {
		return retryUntil(ctx, settleTimeout, func(ctx context.Context) error { return checkRefused(ctx, conns[i]) })
	})
	return time.Since(start), err
}

// checkRefused returns nil when a statement on conn is refused because of its
// key.
func checkRefused(ctx context.Context, conn *pgx.Conn) error {
	_, err := conn.Exec(ctx, "SELECT count(*) FROM orders")
	var p *pgconn.PgError
	switch {
	case err == nil:
		return errors.New("the withdrawn key is still accepted")
	case errors.As(err, &p) && p.Code == "28P01":
		return nil
	}
	return err
}

// forEachDaemon runs f for all daemons concurrently and joins the errors.
func forEachDaemon(daemons []*fleet.Daemon, f func(int, *fleet.Daemon) error) error {
	errs := make([]error, len(daemons))
	var wg sync.WaitGroup
	for i, d := range daemons {
		wg.Go(func() { errs[i] = f(i, d) })
	}
	wg.Wait()
	return errors.Join(errs...)
}

// addKey adds a key and waits until it works on every daemon. via tells whether
// the edit went through a daemon or was written directly to the store.
func (m *measurement) addKey(ctx context.Context, id string) (text string, took time.Duration, via string, err error) {
	f := m.testbed.fleet
	ws := f.Workspaces()[0]
	text, key, err := catal.NewKey(id)
	if err != nil {
		return "", 0, "", err
	}
	f.Catalogue.Workspaces[ws].Keys[id] = key
	start := time.Now()
	if via, err = applyCatalogue(ctx, f); err != nil {
		return "", 0, "", err
	}
	err = forEachDaemon(f.Daemons, func(_ int, d *fleet.Daemon) error {
		return retryUntil(ctx, settleTimeout, func(ctx context.Context) error { return checkLogin(ctx, f, d, ws, text) })
	})
	return text, time.Since(start), via, err
}

func checkLogin(ctx context.Context, f *fleet.Fleet, d *fleet.Daemon, ws ident.Workspace, key string) error {
	cfg, err := f.ConnConfig(d, ws, "taller-1", key)
	if err != nil {
		return err
	}
	conn, err := pgx.ConnectConfig(ctx, cfg)
	if err != nil {
		return err
	}
	return conn.Close(ctx)
}

// applyCatalogue sends the fleet's catalogue to a daemon as an operator does. If
// the daemon does not offer the admin service, it writes to the store.
func applyCatalogue(ctx context.Context, f *fleet.Fleet) (via string, err error) {
	d := f.Daemons[0]
	files := d.Settings.Peers.TLS
	pair, err := certs.Load(certs.Files{Cert: files.CertFile, Key: files.KeyFile, CA: files.CAFile})
	if err != nil {
		return "", err
	}
	conn, err := grpc.NewClient(d.PeerAddress, grpc.WithTransportCredentials(credentials.NewTLS(pair.ClientConfig())))
	if err != nil {
		return "", err
	}
	defer func() { _ = conn.Close() }()
	raw, err := json.Marshal(&f.Catalogue)
	if err != nil {
		return "", err
	}
	reply, err := adminpb.NewAdminClient(conn).ApplyCatalogue(ctx, &adminpb.ApplyCatalogueRequest{
		BaseVersion: uint64(f.Catalogue.Version), Document: raw, Operator: "bench", Comment: "measure",
	})
	switch code := status.Code(err); {
	case code == codes.Unimplemented || code == codes.Unavailable:
		return "by_store", f.Publish(ctx)
	case err != nil:
		return "", err
	case !reply.Accepted:
		return "", fmt.Errorf("the edit was refused: %v", reply.Errors)
	}
	f.Catalogue.Version = ident.Version(reply.Version)
	return "by_daemon", nil
}
