package limit

import (
	"context"
	"strings"
	"time"

	"chervilspan.example/pkg/catal"
	"chervilspan.example/pkg/ident"
	"chervilspan.example/pkg/quota"
)

// targetPrefix begins the names of the accounts of databases among those of
// workspaces, which have no control characters.
const targetPrefix = "\x00target/"

// targetAccount returns the name of a database's account.
func targetAccount(id ident.Target) ident.Workspace {
	return ident.Workspace(targetPrefix + string(id))
}

// AdmitAt takes a token for one request to a database with a limit of Config.Targets
// and waits for it for up to Config.MaxRateWait. If it returns an error, the request
// must not be sent. Otherwise it must be sent at once: it was admitted at most
// Config.PermitLifetime ago.
func (l *Limiter) AdmitAt(ctx context.Context, id ident.Target) error {
	return l.Admit(ctx, targetAccount(id))
}

// targetLimits returns the limits of databases under a catalogue.
func (l *Limiter) targetLimits(cat *catal.Catalogue) map[ident.Target]quota.Limit {
	if l.cfg.Targets == nil {
		return nil
	}
	return l.cfg.Targets(cat)
}

// limitOf returns the limit of an account.
func (v *view) limitOf(ws ident.Workspace) quota.Limit {
	if id, ok := strings.CutPrefix(string(ws), targetPrefix); ok {
		return v.targetLimits[ident.Target(id)]
	}
	cfg := v.cat.Workspaces[ws]
	return quota.Limit{Rate: cfg.Rate, Burst: cfg.Burst}
}

// setTargetAccounts adds the accounts of databases to a view. An account that is new
// on this VM begins without tokens.
func (l *Limiter) setTargetAccounts(v, old *view, now time.Time) {
	for id := range v.targetLimits {
		ws := targetAccount(id)
		e := old.workspaces[ws]
		if e == nil {
			e = l.newWorkspaceEntry(ws, v, now)
			e.isTarget = true
			e.class.Store(&catal.Class{})
		}
		v.workspaces[ws] = e
	}
}
