package access

import (
	"cmp"
	"fmt"
	"strings"
	"time"

	"chervilspan.example/pkg/catal"
	"chervilspan.example/pkg/ident"
	"chervilspan.example/pkg/place"
)

// Authenticate checks the workspace, the route and the key that a caller gives
// when it connects. A nil c means that there is no catalogue yet. The error is
// an *Error.
func Authenticate(c *catal.Catalogue, ws ident.Workspace, route ident.Route, key string, now time.Time) (Authorization, error) {
	const op = "authenticate"
	r, w, err := lookUp(c, op, ws, route)
	if err != nil {
		return Authorization{}, err
	}
	if r.Open {
		return authorize(c, ws, w, route, r, "", "")
	}
	id, ok := catal.KeyID(key)
	k, known := w.Keys[id]
	// The hash is also computed for unknown ids, so that the response time does
	// not reveal which ids exist.
	matches := k.Matches(key)
	if !ok || !known || !matches || !k.Usable(now) {
		return Authorization{}, &Error{Op: op, Kind: KindKeyRefused, Text: fmt.Sprintf("the key for workspace %q was not accepted", redactName(string(ws)))}
	}
	return authorize(c, ws, w, route, r, id, k.SHA256)
}

// Check returns nil if a session with authorization a may start another
// statement. It returns an *Error when the key was withdrawn, removed, replaced
// by another with the same id or has expired, when the route or the workspace
// was removed or the route no longer lists the workspace, or when the route is
// no longer open to a session without a key.
func Check(c *catal.Catalogue, a Authorization, now time.Time) error {
	const op = "check"
	r, w, err := lookUp(c, op, a.Workspace, a.Route)
	if err != nil {
		return err
	}
	if r.Open {
		return checkRouteAllowed(op, r, a.Workspace, a.Route)
	}
	if k, ok := w.Keys[a.KeyID]; !ok || k.SHA256 != a.KeyHash || !k.Usable(now) {
		return &Error{Op: op, Kind: KindKeyRefused, Text: fmt.Sprintf("the key %q of workspace %q is no longer accepted", a.KeyID, a.Workspace)}
	}
	return checkRouteAllowed(op, r, a.Workspace, a.Route)
}

// Refresh checks a and returns it with the limits, mode and group of c.
func Refresh(c *catal.Catalogue, a Authorization, now time.Time) (Authorization, error) {
	if err := Check(c, a, now); err != nil {
		return Authorization{}, err
	}
	return authorize(c, a.Workspace, c.Workspaces[a.Workspace], a.Route, c.Routes[a.Route], a.KeyID, a.KeyHash)
}

func lookUp(c *catal.Catalogue, op string, ws ident.Workspace, route ident.Route) (r catal.Route, w catal.Workspace, err error) {
	if c == nil {
		return r, w, &Error{Op: op, Kind: KindNotReady, Text: "the catalogue has not been read yet"}
	}
	r, ok := c.Routes[route]
	if !ok {
		return r, w, &Error{Op: op, Kind: KindUnknownRoute, Text: fmt.Sprintf("route %q does not exist", redactName(string(route)))}
	}
	w, ok = c.Workspaces[ws]
	if !ok {
		// The answer is the same as for a wrong key, so that it does not reveal
		// which workspaces exist.
		return r, w, &Error{Op: op, Kind: KindKeyRefused, Text: fmt.Sprintf("the key for workspace %q was not accepted", redactName(string(ws)))}
	}
	return r, w, nil
}

// checkRouteAllowed returns an error unless the route admits the workspace.
// Callers check the key first, so that only the workspace itself learns which
// routes it may use.
func checkRouteAllowed(op string, r catal.Route, ws ident.Workspace, route ident.Route) error {
	if !r.Allows(ws) {
		return &Error{Op: op, Kind: KindForbidden, Text: fmt.Sprintf("workspace %q may not use route %q", ws, route)}
	}
	return nil
}

// keyPrefix is the prefix of keys made by catal.NewKey.
const keyPrefix = "chv_"

// redactName hides a name that contains a key, as when a caller sends the key
// in place of a name, and bounds the length of others.
func redactName(s string) string {
	if strings.Contains(s, keyPrefix) {
		return "(hidden)"
	}
	return s[:min(len(s), ident.MaxLen)]
}

// authorize returns the authorization for a route; c must have the route. It
// fails when the route does not admit the workspace.
func authorize(c *catal.Catalogue, ws ident.Workspace, w catal.Workspace, route ident.Route, r catal.Route, keyID, keyHash string) (Authorization, error) {
	if err := checkRouteAllowed("authorize", r, ws, route); err != nil {
		return Authorization{}, err
	}
	class := cmp.Or(w.Class, r.Class)
	limits := c.Classes[class]
	timeout := limits.RequestTimeout()
	// A timeout in the class of the route has precedence over the one of the
	// workspace, because it fits the statements of that route.
	if rc := c.Classes[r.Class]; rc.DeadlineMS != 0 {
		timeout = rc.RequestTimeout()
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
		RequestTimeout:   timeout,
		LatencyObjective: time.Duration(limits.ObjectiveMS) * time.Millisecond,
		Weight:           limits.FairWeight(),
		Class:            class,
		Regions:          place.RegionsOf(r.Regions).Intersect(place.RegionsOf(w.Regions)),
		Database:         r.Database,
	}, nil
}
