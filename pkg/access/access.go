package access

import (
	"cmp"
	"fmt"
	"strings"
	"time"

	"chervilspan.example/pkg/catal"
	"chervilspan.example/pkg/ident"
)

// Authenticate checks a caller that attaches. A nil c means that there is no
// catalogue yet. It returns an *Error.
func Authenticate(c *catal.Catalogue, ws ident.Workspace, route ident.Route, key string, now time.Time) (Authorization, error) {
	const op = "authenticate"
	r, w, err := find(c, op, ws, route)
	if err != nil {
		return Authorization{}, err
	}
	if r.Open {
		return grant(c, ws, w, route, r, "", "")
	}
	id, ok := catal.KeyID(key)
	k, known := w.Keys[id]
	// The hash is computed for unknown ids too, so that the time taken doesn't
	// tell which ids there are.
	matches := k.Matches(key)
	if !ok || !known || !matches || !k.Usable(now) {
		return Authorization{}, &Error{Op: op, Kind: KindKeyRefused, Text: fmt.Sprintf("the key for workspace %q was not accepted", printable(string(ws)))}
	}
	return grant(c, ws, w, route, r, id, k.SHA256)
}

// Check tells whether a session with grant g may start another statement. It
// returns an *Error when the key was withdrawn, removed, replaced by another of
// the same id or has expired, when the route or the workspace is gone, or when
// the route is no longer open to a session without a key.
func Check(c *catal.Catalogue, g Authorization, now time.Time) error {
	const op = "check"
	r, w, err := find(c, op, g.Workspace, g.Route)
	if err != nil {
		return err
	}
	if r.Open {
		return allowed(op, r, g.Workspace, g.Route)
	}
	if k, ok := w.Keys[g.KeyID]; !ok || k.SHA256 != g.KeyHash || !k.Usable(now) {
		return &Error{Op: op, Kind: KindKeyRefused, Text: fmt.Sprintf("the key %q of workspace %q is no longer accepted", g.KeyID, g.Workspace)}
	}
	return allowed(op, r, g.Workspace, g.Route)
}

// Refresh checks g and returns it with the limits, mode and group of c.
func Refresh(c *catal.Catalogue, g Authorization, now time.Time) (Authorization, error) {
	if err := Check(c, g, now); err != nil {
		return Authorization{}, err
	}
	return grant(c, g.Workspace, c.Workspaces[g.Workspace], g.Route, c.Routes[g.Route], g.KeyID, g.KeyHash)
}

func find(c *catal.Catalogue, op string, ws ident.Workspace, route ident.Route) (r catal.Route, w catal.Workspace, err error) {
	if c == nil {
		return r, w, &Error{Op: op, Kind: KindNotReady, Text: "the catalogue has not been read yet"}
	}
	r, ok := c.Routes[route]
	if !ok {
		return r, w, &Error{Op: op, Kind: KindUnknownRoute, Text: fmt.Sprintf("route %q does not exist", printable(string(route)))}
	}
	w, ok = c.Workspaces[ws]
	if !ok {
		// The same answer as for a wrong key, which doesn't tell strangers
		// which workspaces there are.
		return r, w, &Error{Op: op, Kind: KindKeyRefused, Text: fmt.Sprintf("the key for workspace %q was not accepted", printable(string(ws)))}
	}
	return r, w, nil
}

// allowed is checked after the key, so that only the workspace itself learns
// which routes it may use.
func allowed(op string, r catal.Route, ws ident.Workspace, route ident.Route) error {
	if !r.Allows(ws) {
		return &Error{Op: op, Kind: KindForbidden, Text: fmt.Sprintf("workspace %q may not use route %q", ws, route)}
	}
	return nil
}

// keyPrefix starts every key text.
const keyPrefix = "chv_"

// printable hides names that a caller may have mixed up with the key, and
// bounds the length of others.
func printable(s string) string {
	if strings.Contains(s, keyPrefix) {
		return "(hidden)"
	}
	return s[:min(len(s), ident.MaxLen)]
}

func grant(c *catal.Catalogue, ws ident.Workspace, w catal.Workspace, route ident.Route, r catal.Route, keyID, keyHash string) (Authorization, error) {
	if err := allowed("grant", r, ws, route); err != nil {
		return Authorization{}, err
	}
	class := cmp.Or(w.Class, r.Class)
	limits := c.Classes[class]
	deadline := limits.RequestTimeout()
	// A route's class that states a deadline knows its statements better than
	// the workspace's class does.
	if rc := c.Classes[r.Class]; rc.DeadlineMS != 0 {
		deadline = rc.RequestTimeout()
	}
	return Authorization{
		Workspace:        ws,
		Route:            route,
		KeyID:            keyID,
		KeyHash:          keyHash,
		Open:             r.Open,
		Group:            r.Group,
		ReadOnly:         r.ReadOnly(),
		MaxAge:           r.MaxAge(),
		ReadConsistency:  r.Reads,
		RequestTimeout:   deadline,
		LatencyObjective: time.Duration(limits.ObjectiveMS) * time.Millisecond,
		Weight:           limits.FairWeight(),
		Class:            class,
		Database:         r.Database,
	}, nil
}
