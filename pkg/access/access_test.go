package access

import (
	"errors"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"chervilspan.example/pkg/catal"
	"chervilspan.example/pkg/ident"
)

var startTime = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func newCatalogue(t *testing.T) (*catal.Catalogue, string) {
	text, key, err := catal.NewKey("k1")
	is.New(t).NoErr(err)
	return &catal.Catalogue{
		Classes: map[ident.Class]catal.Class{
			"gold":  {Weight: 4, DeadlineMS: 9000},
			"batch": {DeadlineMS: 60_000, Weight: 9},
		},
		Workspaces: map[ident.Workspace]catal.Workspace{
			"w": {Class: "gold", Keys: map[string]catal.Key{"k1": key}},
			"x": {},
		},
		Routes: map[ident.Route]catal.Route{
			"r":      {Group: "g", Workspaces: []ident.Workspace{"w"}, Class: "batch"},
			"public": {Group: "g", Open: true, Mode: catal.ModeReadOnly, MaxAgeMS: 250, Database: "db"},
		},
	}, text
}

func sqlState(err error) string {
	var e *Error
	if errors.As(err, &e) {
		return e.SQLState()
	}
	return ""
}

// TestAuthenticate guards against a caller that is accepted without the key of
// the workspace that it names, and against a wrong SQLSTATE in the refusal.
func TestAuthenticate(t *testing.T) {
	c, key := newCatalogue(t)
	for _, test := range []struct {
		name  string
		ws    ident.Workspace
		route ident.Route
		key   string
		want  string
	}{
		{"right key", "w", "r", key, ""},
		{"no key", "w", "r", "", "28P01"},
		{"another secret", "w", "r", key[:len(key)-1] + "g", "28P01"},
		{"unknown id", "w", "r", strings.Replace(key, "k1", "k2", 1), "28P01"},
		{"key of another workspace", "x", "r", key, "28P01"},
		{"unknown workspace", "y", "r", key, "28P01"},
		{"unknown route", "w", "nope", key, "3D000"},
		{"open without key", "x", "public", "", ""},
		{"open with an unknown workspace", "y", "public", "", "28P01"},
	} {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			auth, err := Authenticate(c, test.ws, test.route, test.key, startTime)
			is.Equal(sqlState(err), test.want)
			is.Equal(auth != Authorization{}, test.want == "")
		})
	}
	_, err := Authenticate(nil, "w", "r", key, startTime)
	is.New(t).Equal(sqlState(err), "57P03")
}

// TestForbidden guards against a workspace that is accepted on a route that does
// not list it, both at login and for an open session.
func TestForbidden(t *testing.T) {
	is := is.New(t)
	c, key := newCatalogue(t)
	auth, err := Authenticate(c, "w", "r", key, startTime)
	is.NoErr(err)
	r := c.Routes["r"]
	r.Workspaces = []ident.Workspace{"x"}
	c.Routes["r"] = r
	_, err = Authenticate(c, "w", "r", key, startTime)
	is.Equal(sqlState(err), "28000")
	is.Equal(sqlState(Check(c, auth, startTime)), "28000")
}

// TestAuthorizationLimits guards against limits that are taken from the wrong
// class: the weight belongs to the workspace's class, a deadline of the route's
// class has precedence.
func TestAuthorizationLimits(t *testing.T) {
	is := is.New(t)
	c, key := newCatalogue(t)
	auth, err := Authenticate(c, "w", "r", key, startTime)
	is.NoErr(err)
	is.Equal(auth, Authorization{Workspace: "w", Route: "r", KeyID: "k1", KeyHash: c.Workspaces["w"].Keys["k1"].SHA256, Group: "g", RequestTimeout: time.Minute, Weight: 4, Class: "gold"})
	auth, err = Authenticate(c, "x", "public", "", startTime)
	is.NoErr(err)
	is.Equal(auth, Authorization{Workspace: "x", Route: "public", Open: true, Group: "g", ReadOnly: true, MaxAge: 250 * time.Millisecond, RequestTimeout: 5 * time.Second, Weight: 1, Database: "db"})
}

// TestCheck guards against sessions that continue after their key, workspace or
// route became invalid, or after the route stopped being open.
func TestCheck(t *testing.T) {
	for _, test := range []struct {
		name string
		edit func(c *catal.Catalogue)
		now  time.Time
		want string
	}{
		{"unchanged", func(*catal.Catalogue) {}, startTime, ""},
		{"withdrawn", func(c *catal.Catalogue) { editKey(c, func(k *catal.Key) { k.Withdrawn = true }) }, startTime, "28P01"},
		{"removed", func(c *catal.Catalogue) { delete(c.Workspaces["w"].Keys, "k1") }, startTime, "28P01"},
		{"given again", func(c *catal.Catalogue) { _, c.Workspaces["w"].Keys["k1"], _ = catal.NewKey("k1") }, startTime, "28P01"},
		{"expired", func(c *catal.Catalogue) { editKey(c, func(k *catal.Key) { k.Expires = startTime.Add(time.Hour) }) }, startTime.Add(time.Hour), "28P01"},
		{"not yet valid", func(c *catal.Catalogue) { editKey(c, func(k *catal.Key) { k.NotBefore = startTime.Add(time.Hour) }) }, startTime, "28P01"},
		{"workspace gone", func(c *catal.Catalogue) { delete(c.Workspaces, "w") }, startTime, "28P01"},
		{"route gone", func(c *catal.Catalogue) { delete(c.Routes, "r") }, startTime, "3D000"},
	} {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			c, key := newCatalogue(t)
			auth, err := Authenticate(c, "w", "r", key, startTime)
			is.NoErr(err)
			test.edit(c)
			is.Equal(sqlState(Check(c, auth, test.now)), test.want)
		})
	}
	is := is.New(t)
	c, _ := newCatalogue(t)
	auth, err := Authenticate(c, "w", "public", "", startTime)
	is.NoErr(err)
	r := c.Routes["public"]
	r.Open = false
	c.Routes["public"] = r
	is.Equal(sqlState(Check(c, auth, startTime)), "28P01")
}

func editKey(c *catal.Catalogue, f func(*catal.Key)) {
	k := c.Workspaces["w"].Keys["k1"]
	f(&k)
	c.Workspaces["w"].Keys["k1"] = k
}

// TestRefresh guards against sessions that keep the limits of a former version,
// and against sessions that continue after their key was replaced by another with
// the same id.
func TestRefresh(t *testing.T) {
	is := is.New(t)
	c, key := newCatalogue(t)
	auth, err := Authenticate(c, "w", "r", key, startTime)
	is.NoErr(err)
	r := c.Routes["r"]
	r.Mode = catal.ModeReadOnly
	c.Routes["r"] = r
	auth, err = Refresh(c, auth, startTime)
	is.NoErr(err)
	is.True(auth.ReadOnly)
	is.Equal(auth.KeyID, "k1")
	_, again, err := catal.NewKey("k1")
	is.NoErr(err)
	c.Workspaces["w"].Keys["k1"] = again
	_, err = Refresh(c, auth, startTime)
	is.Equal(sqlState(err), "28P01") // another secret under the same id
	c.Routes["r"] = catal.Route{Group: "g", Open: true}
	auth, err = Refresh(c, auth, startTime)
	is.NoErr(err)
	c.Routes["r"] = r
	_, err = Refresh(c, auth, startTime)
	is.Equal(sqlState(err), "28P01") // also after the route was open in between
}

// TestNoKeyInErrors guards against keys in logs: a caller may send its key in
// place of another parameter, and errors that repeat the parameter are logged.
func TestNoKeyInErrors(t *testing.T) {
	is := is.New(t)
	c, key := newCatalogue(t)
	for _, f := range []func() error{
		func() error { _, err := Authenticate(c, ident.Workspace(key), "r", key, startTime); return err },
		func() error { _, err := Authenticate(c, "w", ident.Route(key), key, startTime); return err },
		func() error { _, err := Authenticate(c, "w", "r", key+"0", startTime); return err },
	} {
		err := f()
		is.True(err != nil)
		is.True(!strings.Contains(err.Error(), key[len(key)-16:]))
	}
}
