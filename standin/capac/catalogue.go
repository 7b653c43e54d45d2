package capac

import (
	"context"
	"fmt"
	"strings"
	"time"

	"chervilspan.example/pkg/catal"
	"chervilspan.example/pkg/ident"
)

// versions is how many edits follow one another, more than a daemon keeps.
const versions = 10

// catalogue measures the memory of a daemon by the number of workspaces, after
// so many edits that it keeps all the versions that it ever keeps, and the time
// until an edit is in force on all daemons.
func (m *meter) catalogue(ctx context.Context) error {
	for _, n := range []int{8, 500, 4000} {
		err := m.with(ctx, "catalogue", 3, 1, func(ctx context.Context, p *point) error { return p.grow(ctx, n) })
		if err != nil {
			return err
		}
	}
	return nil
}

// grow fills the catalogue up to n workspaces and edits it.
func (p *point) grow(ctx context.Context, n int) error {
	all := p.f.Catalogue.Workspaces
	for i := len(all); i < n; i++ {
		key := catal.Key{SHA256: strings.Repeat(fmt.Sprintf("%02x", i%256), 32)}
		all[ident.Workspace(fmt.Sprintf("workspace-%04d", i))] = catal.Workspace{
			Owner: "operators", Rate: 50, Burst: 50, Keys: map[string]catal.Key{fmt.Sprintf("k%04d", i): key},
		}
	}
	raw, err := catal.Encode(&p.f.Catalogue)
	if err != nil {
		return fail("encode the catalogue", KindLoad, err)
	}
	var worst time.Duration
	for i := range versions {
		took, err := p.edit(ctx, i)
		if err != nil {
			return fail("edit", KindLoad, err)
		}
		worst = max(worst, took)
	}
	if err := wait(ctx, settle); err != nil {
		return err
	}
	if err := p.print("document_bytes", n, float64(len(raw))); err != nil {
		return err
	}
	if err := p.print("worst_ms_until_in_force_on_all", n, float64(worst.Milliseconds())); err != nil {
		return err
	}
	if err := p.printMemory(ctx, n); err != nil {
		return err
	}
	r, err := p.during(ctx, loadTime)
	if err != nil {
		return err
	}
	return p.print("cpu_ms_per_s_per_daemon", n, r.cpu*1000)
}

// edit changes one workspace's rate and returns the time from the sending of
// the edit until it is in force on all daemons.
func (p *point) edit(ctx context.Context, i int) (time.Duration, error) {
	ws := p.f.Catalogue.Workspaces[p.workspace()]
	ws.Rate = float64(1000 + i)
	p.f.Catalogue.Workspaces[p.workspace()] = ws
	start := time.Now()
	v, err := p.f.Apply(ctx, p.f.Daemons[0])
	if err != nil {
		return 0, err
	}
	_, err = p.f.WaitInForce(ctx, v)
	return time.Since(start), err
}
