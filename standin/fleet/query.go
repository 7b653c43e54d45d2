package fleet

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/jackc/pgx/v5"

	"chervilspan.example/pkg/ident"
	"chervilspan.example/standin/strsrv"
)

// adminUser is the user by which a stand-in target takes administration.
const adminUser = "standin_admin"

// ConnectAdmin opens an administrator's connection to a target, past all daemons.
func (t *Target) ConnectAdmin(ctx context.Context) (*pgx.Conn, error) {
	return pgx.Connect(ctx, fmt.Sprintf("postgres://%s:%s@%s/%s?sslmode=disable&default_query_exec_mode=simple_protocol", adminUser, proxyPassword, t.Address, t.Group))
}

// Primary returns the target of a group that says that it is the primary, of
// the highest term.
func (f *Fleet) Primary(ctx context.Context, g ident.Group) (*Target, error) {
	var best *Target
	var bestTerm int64
	for _, t := range f.Targets {
		if t.Group != g {
			continue
		}
		term, role, err := t.role(ctx)
		if err == nil && role == "primary" && term >= bestTerm {
			best, bestTerm = t, term
		}
	}
	if best == nil {
		return nil, fmt.Errorf("group %s has no primary", g)
	}
	return best, nil
}

func (t *Target) role(ctx context.Context) (term int64, role string, err error) {
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	c, err := t.ConnectAdmin(ctx)
	if err != nil {
		return 0, "", err
	}
	defer func() { _ = c.Close(ctx) }()
	rows, err := c.Query(ctx, "SELECT * FROM chervil_status()")
	if err != nil {
		return 0, "", err
	}
	status, err := pgx.CollectExactlyOneRow(rows, pgx.RowToMap)
	if err != nil {
		return 0, "", err
	}
	term, _ = status["term"].(int64)
	role, _ = status["role"].(string)
	return term, role, nil
}

// SetStoreFaults replaces the faults of the store's stand-in; the zero Faults ends
// all.
func (f *Fleet) SetStoreFaults(ctx context.Context, faults strsrv.Faults) error {
	raw, err := json.Marshal(faults)
	if err != nil {
		return err
	}
	return f.request(ctx, http.MethodPut, "http://"+f.StoreControlAddress+"/faults", bytes.NewReader(raw), nil)
}

// GetAdminPage reads a page of a daemon's admin listener.
func (f *Fleet) GetAdminPage(ctx context.Context, d *Daemon, path string, read func(io.Reader) error) error {
	return f.request(ctx, http.MethodGet, "http://"+d.AdminAddress+path, nil, read)
}

// request sends an HTTP request and gives the body of a good answer to read,
// which may be nil.
func (*Fleet) request(ctx context.Context, method, url string, body io.Reader, read func(io.Reader) error) error {
	req, err := http.NewRequestWithContext(ctx, method, url, body)
	if err != nil {
		return err
	}
	r, err := http.DefaultClient.Do(req)
	if err != nil {
		return err
	}
	defer func() { _ = r.Body.Close() }()
	if r.StatusCode != http.StatusOK {
		return fmt.Errorf("%s %s: %s", method, req.URL.Path, r.Status)
	}
	if read == nil {
		return nil
	}
	return read(r.Body)
}
