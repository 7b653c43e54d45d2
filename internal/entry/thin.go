package entry

import (
	"context"
	"encoding/json"
	"sync/atomic"
	"time"

	"chervilspan.example/pkg/access"
	"chervilspan.example/pkg/catal"
	"chervilspan.example/pkg/ident"
	"chervilspan.example/pkg/store"
)

// polled reads the catalogue from the store every second.
type polled struct {
	store   store.Store
	current atomic.Pointer[catal.Catalogue]
	apply   func(*catal.Catalogue)
}

func (p *polled) run(ctx context.Context) {
	t := time.NewTicker(time.Second)
	defer t.Stop()
	for {
		p.read(ctx)
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
	}
}

func (p *polled) read(ctx context.Context) {
	e, err := store.Read(ctx, p.store, "catalogue")
	if err != nil || e.Revision == 0 {
		return
	}
	var c catal.Catalogue
	if json.Unmarshal(e.Value, &c) != nil {
		return
	}
	if old := p.current.Load(); old != nil && old.Version >= c.Version {
		return
	}
	p.current.Store(&c)
	p.apply(&c)
}

// Authenticate checks a caller against the catalogue in force.
func (p *polled) Authenticate(ws ident.Workspace, route ident.Route, key string) (access.Grant, error) {
	return access.Authenticate(p.current.Load(), ws, route, key, time.Now())
}

// Check tells whether a session may go on.
func (p *polled) Check(g access.Grant) error {
	return access.Check(p.current.Load(), g, time.Now())
}

// unlimited admits everything.
type unlimited struct{}

func (unlimited) Admit(context.Context, ident.Workspace) error { return nil }

func (unlimited) Acquire(context.Context, ident.Target, ident.Workspace, uint32) (func(), error) {
	return func() {}, nil
}
