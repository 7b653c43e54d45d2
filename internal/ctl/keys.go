package ctl

import (
	"context"
	"crypto/rand"
	"errors"
	"fmt"
	"maps"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	"chervilspan.example/pkg/catal"
	"chervilspan.example/pkg/ident"
	"chervilspan.example/pkg/wait"
)

func (c *command) keys(ctx context.Context, a *keysArgs) error {
	switch {
	case a.Give != nil:
		return c.giveKey(ctx, a.Give)
	case a.Withdraw != nil:
		return c.withdrawKey(ctx, a.Withdraw)
	case a.List != nil:
		return c.listKeys(ctx, a.List)
	}
	return badInput("keys", "give, withdraw or list is needed")
}

// maxUpdateAttempts limits the attempts to store an edit of one key. The edit may be
// repeated after a lost race because it doesn't depend on what others changed.
const maxUpdateAttempts = 5

// updateCatalogue applies f to the catalogue in force and stores the result. It
// repeats both after a lost race.
func (c *command) updateCatalogue(ctx context.Context, op string, opts editOptions, f func(*catal.Catalogue) error) (uint64, error) {
	for attempt := 1; ; attempt++ {
		current, err := c.fetchCatalogue(ctx, op, 0)
		if err != nil {
			return 0, err
		}
		if current.Version == 0 {
			return 0, failed(op, errors.New("there is no catalogue yet"))
		}
		cat, err := parseDocument(op, "the catalogue in force", current.Document)
		if err != nil {
			return 0, err
		}
		if err := f(cat); err != nil {
			return 0, err
		}
		doc, err := catal.Encode(cat)
		if err != nil {
			return 0, failed(op, err)
		}
		version, err := c.replaceCatalogue(ctx, op, current.Version, doc, opts)
		if exitCode(err) != ExitLostRace || err == nil || attempt == maxUpdateAttempts {
			return version, err
		}
		// The daemon may not have received the version that won yet.
		if !wait.For(ctx, time.Duration(attempt)*200*time.Millisecond) {
			return 0, err
		}
	}
}

// workspaceOf returns a workspace of the catalogue and makes its map of keys, so that
// callers can write to it.
func workspaceOf(op string, cat *catal.Catalogue, id string) (catal.Workspace, error) {
	w, ok := cat.Workspaces[ident.Workspace(id)]
	if !ok {
		return w, badInput(op, fmt.Sprintf("workspace %q is not in the catalogue", id))
	}
	if w.Keys == nil {
		w.Keys = map[string]catal.Key{}
	}
	return w, nil
}

func (c *command) giveKey(ctx context.Context, a *giveArgs) error {
	const op = "keys give"
	id := a.ID
	if id == "" {
		id = "k" + strings.ToLower(rand.Text()[:10])
	}
	text, key, err := catal.NewKey(id)
	if err != nil {
		return badInput(op, err.Error())
	}
	key.Label = a.Label
	now := time.Now().UTC().Truncate(time.Second)
	if a.NotBefore > 0 {
		key.NotBefore = now.Add(a.NotBefore)
	}
	if a.Expires > 0 {
		key.Expires = now.Add(a.Expires)
	}
	version, err := c.updateCatalogue(ctx, op, a.editOptions, func(cat *catal.Catalogue) error {
		w, err := workspaceOf(op, cat, a.Workspace)
		if err != nil {
			return err
		}
		if _, ok := w.Keys[id]; ok {
			return badInput(op, fmt.Sprintf("key %q exists; choose another id", id))
		}
		w.Keys[id] = key
		cat.Workspaces[ident.Workspace(a.Workspace)] = w
		return nil
	})
	if err != nil {
		return err
	}
	// The key is printed before the wait because it can't be shown again: the
	// catalogue has only its hash.
	out := editResult{Version: version, Key: text, KeyID: id}
	if !c.args.JSON {
		if err := c.print(nil, text+"\n"); err != nil {
			return err
		}
	}
	var waitErr error
	if a.Wait {
		waitErr = c.waitInForce(ctx, op, version, a.Timeout)
		out.InForce = waitErr == nil
	}
	if c.args.JSON {
		return errors.Join(c.print(out, ""), waitErr)
	}
	return waitErr
}

func (c *command) withdrawKey(ctx context.Context, a *withdrawArgs) error {
	const op = "keys withdraw"
	version, err := c.updateCatalogue(ctx, op, a.editOptions, func(cat *catal.Catalogue) error {
		w, err := workspaceOf(op, cat, a.Workspace)
		if err != nil {
			return err
		}
		k, ok := w.Keys[a.ID]
		if !ok {
			return badInput(op, fmt.Sprintf("workspace %q has no key %q", a.Workspace, a.ID))
		}
		k.Withdrawn = true
		w.Keys[a.ID] = k
		cat.Workspaces[ident.Workspace(a.Workspace)] = w
		return nil
	})
	if err != nil {
		return err
	}
	return c.printVersion(ctx, op, version, a.editOptions)
}

func (c *command) listKeys(ctx context.Context, a *listArgs) error {
	const op = "keys list"
	current, err := c.fetchCatalogue(ctx, op, 0)
	if err != nil {
		return err
	}
	cat := &catal.Catalogue{}
	if current.Version > 0 {
		if cat, err = parseDocument(op, "the catalogue in force", current.Document); err != nil {
			return err
		}
	}
	if a.Workspace != "" {
		if _, err := workspaceOf(op, cat, a.Workspace); err != nil {
			return err
		}
	}
	type row struct {
		Workspace ident.Workspace `json:"workspace"`
		ID        string          `json:"id"`
		Label     string          `json:"label"`
		State     string          `json:"state"`
		Expires   time.Time       `json:"expires,omitzero"`
	}
	rows := []row{}
	var b strings.Builder
	t := tabwriter.NewWriter(&b, 0, 4, 2, ' ', 0)
	_, _ = fmt.Fprintln(t, "WORKSPACE\tKEY\tSTATE\tEXPIRES\tLABEL")
	for _, ws := range slices.Sorted(maps.Keys(cat.Workspaces)) {
		if a.Workspace != "" && ws != ident.Workspace(a.Workspace) {
			continue
		}
		keys := cat.Workspaces[ws].Keys
		for _, id := range slices.Sorted(maps.Keys(keys)) {
			k := keys[id]
			r := row{ws, id, k.Label, keyState(k, time.Now()), k.Expires}
			rows = append(rows, r)
			expires := "never"
			if !k.Expires.IsZero() {
				expires = k.Expires.Format(time.RFC3339)
			}
			_, _ = fmt.Fprintf(t, "%s\t%s\t%s\t%s\t%s\n", ws, id, r.State, expires, k.Label)
		}
	}
	if err := t.Flush(); err != nil {
		return err
	}
	return c.print(rows, b.String())
}

func keyState(k catal.Key, now time.Time) string {
	switch {
	case k.Withdrawn:
		return "withdrawn"
	case k.Usable(now):
		return "valid"
	case now.Before(k.NotBefore):
		return "not yet"
	}
	return "expired"
}
