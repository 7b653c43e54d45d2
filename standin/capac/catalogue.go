package capac

import (
	"context"
	"fmt"
	"strings"
	"time"

	"chervilspan.example/pkg/catal"
	"chervilspan.example/pkg/ident"
)

// editsPerSize is the number of edits, above the number of versions that a daemon
// keeps.
const editsPerSize = 10

// measureCatalogue measures, for several numbers of workspaces, the memory of a
// daemon and the time until an edit is in force on all daemons. The memory is
// measured after enough edits that the daemon keeps its maximum of versions.
func (m *measurement) measureCatalogue(ctx context.Context) error {
	for _, n := range []int{8, 500, 4000} {
		err := m.withFleet(ctx, "catalogue", 3, 1, func(ctx context.Context, e *experiment) error { return e.measureCatalogueSize(ctx, n) })
		if err != nil {
			return err
		}
	}
	return nil
}

// measureCatalogueSize fills the catalogue up to n workspaces, edits it and
// prints the results.
func (e *experiment) measureCatalogueSize(ctx context.Context, n int) error {
	all := e.fleet.Catalogue.Workspaces
	for i := len(all); i < n; i++ {
		key := catal.Key{SHA256: strings.Repeat(fmt.Sprintf("%02x", i%256), 32)}
		all[ident.Workspace(fmt.Sprintf("workspace-%04d", i))] = catal.Workspace{
			Owner: "operators", Rate: 50, Burst: 50, Keys: map[string]catal.Key{fmt.Sprintf("k%04d", i): key},
		}
	}
	raw, err := catal.Encode(&e.fleet.Catalogue)
	if err != nil {
		return wrapError("encode the catalogue", KindLoad, err)
	}
	var worst time.Duration
	for i := range editsPerSize {
		took, err := e.edit(ctx, i)
		if err != nil {
			return wrapError("edit", KindLoad, err)
		}
		worst = max(worst, took)
	}
	if err := sleep(ctx, settleTime); err != nil {
		return err
	}
	if err := e.print("document_bytes", n, float64(len(raw))); err != nil {
		return err
	}
	if err := e.print("worst_ms_until_in_force_on_all", n, float64(worst.Milliseconds())); err != nil {
		return err
	}
	if err := e.printMemory(ctx, n); err != nil {
		return err
	}
	r, err := e.measureRates(ctx, loadDuration)
	if err != nil {
		return err
	}
	return e.print("cpu_ms_per_s_per_daemon", n, r.cpu*1000)
}

// edit changes a workspace's rate and returns the time from sending the edit
// until it is in force on all daemons.
func (e *experiment) edit(ctx context.Context, i int) (time.Duration, error) {
	ws := e.fleet.Catalogue.Workspaces[e.firstWorkspace()]
	ws.Rate = float64(1000 + i)
	e.fleet.Catalogue.Workspaces[e.firstWorkspace()] = ws
	start := time.Now()
	v, err := e.fleet.Apply(ctx, e.fleet.Daemons[0])
	if err != nil {
		return 0, err
	}
	_, err = e.fleet.WaitInForce(ctx, v)
	return time.Since(start), err
}
