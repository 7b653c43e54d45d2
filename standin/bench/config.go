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

// Objective of an edit, in seconds until it is in force everywhere.
const inForce = 1.0

// configuration measures the time from an edit until every daemon accepts the
// key that it adds, or refuses the key that it withdraws.
func (m *meter) configuration(ctx context.Context) error {
	n := 30
	if m.cfg.Quick {
		n = 2
	}
	var added, withdrawn []float64
	how := ""
	for i := range n {
		id := fmt.Sprintf("edit-%d", i)
		text, d, by, err := m.edit(ctx, id)
		if err != nil {
			return caseError("configuration", err)
		}
		how = by
		added = append(added, d.Seconds())
		if d, err = m.withdraw(ctx, id, text); err != nil {
			return caseError("configuration", err)
		}
		withdrawn = append(withdrawn, d.Seconds())
	}
	name := fmt.Sprintf("%s_p99_of_%d", how, n)
	if err := m.out.print(atMost("configuration", "key_added_"+name, nearestRank(added, 0.99), "s", inForce)); err != nil {
		return err
	}
	return m.out.print(atMost("configuration", "key_withdrawn_from_open_connections_"+name, nearestRank(withdrawn, 0.99), "s", inForce))
}

// withdraw withdraws a key and waits until a connection to each daemon that was
// opened with it gets no more answers.
func (m *meter) withdraw(ctx context.Context, id, text string) (time.Duration, error) {
	f := m.stage.f
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
	if _, err := apply(ctx, f); err != nil {
		return 0, err
	}
	err := each(f.Daemons, func(i int, _ *fleet.Daemon) error {
		return until(ctx, settleTimeout, func(ctx context.Context) error { return refused(ctx, conns[i]) })
	})
	return time.Since(start), err
}

// refused returns nil when a statement on conn is refused because of its key.
func refused(ctx context.Context, conn *pgx.Conn) error {
	_, err := conn.Exec(ctx, "SELECT count(*) FROM orders")
	var p *pgconn.PgError
	switch {
	case err == nil:
		return errors.New("the withdrawn key still works")
	case errors.As(err, &p) && p.Code == "28P01":
		return nil
	}
	return err
}

// each runs f for all daemons at once and returns the first error.
func each(daemons []*fleet.Daemon, f func(int, *fleet.Daemon) error) error {
	errs := make([]error, len(daemons))
	var wg sync.WaitGroup
	for i, d := range daemons {
		wg.Go(func() { errs[i] = f(i, d) })
	}
	wg.Wait()
	return errors.Join(errs...)
}

// edit adds a key and waits until it works on every daemon. by says whether a
// daemon took the edit, or it went to the store because none did.
func (m *meter) edit(ctx context.Context, id string) (text string, took time.Duration, by string, err error) {
	f := m.stage.f
	ws := f.Workspaces()[0]
	text, key, err := catal.NewKey(id)
	if err != nil {
		return "", 0, "", err
	}
	f.Catalogue.Workspaces[ws].Keys[id] = key
	start := time.Now()
	if by, err = apply(ctx, f); err != nil {
		return "", 0, "", err
	}
	err = each(f.Daemons, func(_ int, d *fleet.Daemon) error {
		return until(ctx, settleTimeout, func(ctx context.Context) error { return login(ctx, f, d, ws, text) })
	})
	return text, time.Since(start), by, err
}

func login(ctx context.Context, f *fleet.Fleet, d *fleet.Daemon, ws ident.Workspace, key string) error {
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

// apply sends the fleet's catalogue to a daemon as an operator does. A daemon
// without the operators' service leaves the store as the only way.
func apply(ctx context.Context, f *fleet.Fleet) (by string, err error) {
	d := f.Daemons[0]
	files := d.Settings.Peers.TLS
	pair, err := certs.Load(certs.Files{Cert: files.CertFile, Key: files.KeyFile, CA: files.CAFile})
	if err != nil {
		return "", err
	}
	conn, err := grpc.NewClient(d.Peers, grpc.WithTransportCredentials(credentials.NewTLS(pair.ClientConfig())))
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
