package conf

import (
	"os"
	"path/filepath"
	"reflect"
	"strings"
	"testing"

	"github.com/matryer/is"

	"chervilspan.example/pkg/catal"
)

// TestExamples guards against example files that are invalid or do not match each
// other.
func TestExamples(t *testing.T) {
	is := is.New(t)
	files, err := filepath.Glob("../../examples/*/chervild.json")
	is.NoErr(err)
	is.Equal(len(files), 2)
	for _, f := range files {
		s, err := Load(f)
		is.NoErr(err)
		raw, err := os.ReadFile(filepath.Join(filepath.Dir(f), "catalogue.json"))
		is.NoErr(err)
		c, err := catal.Read(raw)
		is.NoErr(err)
		is.Equal(c.Zones[s.Zone].Region, s.Region)
		is.Equal(len(c.Workspaces), 8)
	}
}

// TestPage guards against a setting that docs/settings.md does not describe.
func TestPage(t *testing.T) {
	is := is.New(t)
	page, err := os.ReadFile("../../docs/settings.md")
	is.NoErr(err)
	for _, name := range settingPaths(reflect.TypeFor[Settings](), "") {
		if !strings.Contains(string(page), "| `"+name+"` |") {
			t.Errorf("docs/settings.md has no row for %s", name)
		}
	}
}

func settingPaths(typ reflect.Type, prefix string) []string {
	var out []string
	for f := range typ.Fields() {
		name, _, _ := strings.Cut(f.Tag.Get("json"), ",")
		if f.Type.Kind() == reflect.Struct && f.Type != reflect.TypeFor[TLS]() {
			out = append(out, settingPaths(f.Type, prefix+name+".")...)
			continue
		}
		out = append(out, prefix+name)
	}
	return out
}
