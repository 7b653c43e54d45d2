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

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func catalogue(t *testing.T) (*catal.Catalogue, string) {
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

func state(err error) string {
	var e *Error
	if errors.As(err, &e) {
		return e.SQLState()
	}
	return ""
}

// TestAuthenticate guards against a caller that gets in without the key of the
// workspace that it names, and against a wrong code in the refusal.
func TestAuthenticate(t *testing.T) {
	c, key := catalogue(t)
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
			g, err := Authenticate(c, test.ws, test.route, test.key, start)
			is.Equal(state(err), test.want)
			is.Equal(g != Authorization{}, test.want == "")
		})
	}
	_, err := Authenticate(nil, "w", "r", key, start)
	is.New(t).Equal(state(err), "57P03")
}

// TestForbidden guards against a workspace on a route that does not list it.
func TestForbidden(t *testing.T) {
	is := is.New(t)
	c, key := catalogue(t)
	g, err := Authenticate(c, "w", "r", key, start)
	is.NoErr(err)
	r := c.Routes["r"]
	r.Workspaces = []ident.Workspace{"x"}
	c.Routes["r"] = r
	_, err = Authenticate(c, "w", "r", key, start)
	is.Equal(state(err), "28000")
	is.Equal(state(Check(c, g, start)), "28000")
}

// TestGrantLimits guards against limits of the wrong class.
func TestGrantLimits(t *testing.T) {
	is := is.New(t)
	c, key := catalogue(t)
	g, err := Authenticate(c, "w", "r", key, start)
	is.NoErr(err)
	is.Equal(g, Authorization{Workspace: "w", Route: "r", KeyID: "k1", KeyHash: c.Workspaces["w"].Keys["k1"].SHA256, Group: "g", RequestTimeout: time.Minute, Weight: 4, Class: "gold"})
	g, err = Authenticate(c, "x", "public", "", start)
	is.NoErr(err)
	is.Equal(g, Authorization{Workspace: "x", Route: "public", Open: true, Group: "g", ReadOnly: true, MaxAge: 250 * time.Millisecond, RequestTimeout: 5 * time.Second, Weight: 1, Database: "db"})
}

// TestCheck guards against open sessions that outlive their key, their route
// or the route's openness.
func TestCheck(t *testing.T) {
	for _, test := range []struct {
		name string
		edit func(c *catal.Catalogue)
		now  time.Time
		want string
	}{
		{"unchanged", func(*catal.Catalogue) {}, start, ""},
		{"withdrawn", func(c *catal.Catalogue) { editKey(c, func(k *catal.Key) { k.Withdrawn = true }) }, start, "28P01"},
		{"removed", func(c *catal.Catalogue) { delete(c.Workspaces["w"].Keys, "k1") }, start, "28P01"},
		{"given again", func(c *catal.Catalogue) { _, c.Workspaces["w"].Keys["k1"], _ = catal.NewKey("k1") }, start, "28P01"},
		{"expired", func(c *catal.Catalogue) { editKey(c, func(k *catal.Key) { k.Expires = start.Add(time.Hour) }) }, start.Add(time.Hour), "28P01"},
		{"not yet valid", func(c *catal.Catalogue) { editKey(c, func(k *catal.Key) { k.NotBefore = start.Add(time.Hour) }) }, start, "28P01"},
		{"workspace gone", func(c *catal.Catalogue) { delete(c.Workspaces, "w") }, start, "28P01"},
		{"route gone", func(c *catal.Catalogue) { delete(c.Routes, "r") }, start, "3D000"},
	} {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			c, key := catalogue(t)
			g, err := Authenticate(c, "w", "r", key, start)
			is.NoErr(err)
			test.edit(c)
			is.Equal(state(Check(c, g, test.now)), test.want)
		})
	}
	is := is.New(t)
	c, _ := catalogue(t)
	g, err := Authenticate(c, "w", "public", "", start)
	is.NoErr(err)
	r := c.Routes["public"]
	r.Open = false
	c.Routes["public"] = r
	is.Equal(state(Check(c, g, start)), "28P01")
}

func editKey(c *catal.Catalogue, f func(*catal.Key)) {
	k := c.Workspaces["w"].Keys["k1"]
	f(&k)
	c.Workspaces["w"].Keys["k1"] = k
}

// TestRefresh guards against sessions that keep limits of a former version.
func TestRefresh(t *testing.T) {
	is := is.New(t)
	c, key := catalogue(t)
	g, err := Authenticate(c, "w", "r", key, start)
	is.NoErr(err)
	r := c.Routes["r"]
	r.Mode = catal.ModeReadOnly
	c.Routes["r"] = r
	g, err = Refresh(c, g, start)
	is.NoErr(err)
	is.True(g.ReadOnly)
	is.Equal(g.KeyID, "k1")
	_, again, err := catal.NewKey("k1")
	is.NoErr(err)
	c.Workspaces["w"].Keys["k1"] = again
	_, err = Refresh(c, g, start)
	is.Equal(state(err), "28P01") // another secret under the same id
	c.Routes["r"] = catal.Route{Group: "g", Open: true}
	g, err = Refresh(c, g, start)
	is.NoErr(err)
	c.Routes["r"] = r
	_, err = Refresh(c, g, start)
	is.Equal(state(err), "28P01") // also after the route was open for a while
}

// TestNoKeyInErrors guards against errors, which reach logs, that repeat a key
// which the caller sent in the wrong place.
func TestNoKeyInErrors(t *testing.T) {
	is := is.New(t)
	c, key := catalogue(t)
	for _, f := range []func() error{
		func() error { _, err := Authenticate(c, ident.Workspace(key), "r", key, start); return err },
		func() error { _, err := Authenticate(c, "w", ident.Route(key), key, start); return err },
		func() error { _, err := Authenticate(c, "w", "r", key+"0", start); return err },
	} {
		err := f()
		is.True(err != nil)
		is.True(!strings.Contains(err.Error(), key[len(key)-16:]))
	}
}
