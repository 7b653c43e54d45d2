// Package docs tests that the pages agree with the code and with each other.
package docs

import (
	"fmt"
	"io/fs"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"

	"github.com/matryer/is"
)

// tree returns the contents of the repository's files with a suffix.
func tree(t *testing.T, suffix string) map[string]string {
	t.Helper()
	is := is.New(t)
	out := map[string]string{}
	err := filepath.WalkDir("..", func(path string, d fs.DirEntry, err error) error {
		if err != nil || d.IsDir() || !strings.HasSuffix(path, suffix) {
			return err
		}
		raw, err := os.ReadFile(path)
		out[path] = string(raw)
		return err
	})
	is.NoErr(err)
	return out
}

// TestGuarantees guards against a row of guarantees.md that names a test, a
// package or a model that does not exist.
func TestGuarantees(t *testing.T) {
	is := is.New(t)
	raw, err := os.ReadFile("guarantees.md")
	is.NoErr(err)
	page := string(raw)
	var tests strings.Builder
	for _, text := range tree(t, "_test.go") {
		tests.WriteString(text)
	}
	for _, name := range regexp.MustCompile("`(Test\\w+)`").FindAllStringSubmatch(page, -1) {
		if !strings.Contains(tests.String(), "func "+name[1]+"(") {
			t.Errorf("there is no test %s", name[1])
		}
	}
	for _, name := range regexp.MustCompile("`((?:pkg|internal|standin)/\\w+)`").FindAllStringSubmatch(page, -1) {
		if _, err := os.Stat("../" + name[1]); err != nil {
			t.Errorf("there is no package %s", name[1])
		}
	}
	for _, name := range regexp.MustCompile("`(\\w+\\.pml)`").FindAllStringSubmatch(page, -1) {
		if _, err := os.Stat("../model/" + name[1]); err != nil {
			t.Errorf("there is no model %s", name[1])
		}
	}
	for i := 1; i <= 13; i++ {
		is.True(strings.Contains(page, fmt.Sprintf("\n| H%d | ", i)))
	}
}

// TestLinks guards against links between the pages that lead nowhere.
func TestLinks(t *testing.T) {
	link := regexp.MustCompile(`\]\(([^)#:]+)(?:#[^)]*)?\)`)
	for path, text := range tree(t, ".md") {
		for _, m := range link.FindAllStringSubmatch(text, -1) {
			if _, err := os.Stat(filepath.Join(filepath.Dir(path), m[1])); err != nil {
				t.Errorf("%s: the link to %s leads nowhere", path, m[1])
			}
		}
	}
}
