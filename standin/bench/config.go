package bench

import (
	"context"
	"encoding/json"
	"fmt"
	"sync"
	"time"

	"github.com/jackc/pgx/v5"
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
// key that it adds.
func (m *meter) configuration(ctx context.Context) error {
	n := 30
	if m.cfg.Quick {
		n = 2
	}
	var times []float64
	how := ""
	for i := range n {
		d, by, err := m.edit(ctx, i)
		if err != nil {
			return caseError("configuration", err)
		}
		how = by
		times = append(times, d.Seconds())
	}
	return m.out.print(atMost("configuration", fmt.Sprintf("%s_p99_of_%d", how, n), nearestRank(times, 0.99), "s", inForce))
}

// edit adds a key and waits until it works on every daemon. by says whether a
// daemon took the edit, or it went to the store because none did.
func (m *meter) edit(ctx context.Context, i int) (took time.Duration, by string, err error) {
	f := m.stage.f
	ws := f.Workspaces()[0]
	id := fmt.Sprintf("edit-%d", i)
	text, key, err := catal.NewKey(id)
	if err != nil {
		return 0, "", err
	}
	w := f.Catalogue.Workspaces[ws]
	w.Keys[id] = key
	start := time.Now()
	if by, err = apply(ctx, f); err != nil {
		return 0, "", err
	}
	errs := make([]error, len(f.Daemons))
	var wg sync.WaitGroup
	for n, d := range f.Daemons {
		wg.Go(func() {
			errs[n] = until(ctx, settleTimeout, func(ctx context.Context) error { return login(ctx, f, d, ws, text) })
		})
	}
	wg.Wait()
	for _, err := range errs {
		if err != nil {
			return 0, "", err
		}
	}
	return time.Since(start), by, nil
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
	conn, err := grpc.NewClient(d.Peers, grpc.WithTransportCredentials(credentials.NewTLS(pair.Client())))
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
