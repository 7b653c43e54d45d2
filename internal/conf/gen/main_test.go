package main

import (
	"os"
	"testing"

	"github.com/matryer/is"
)

// TestPage guards against a schema file that does not match the settings.
func TestPage(t *testing.T) {
	is := is.New(t)
	want, err := page()
	is.NoErr(err)
	text, err := os.ReadFile("../../../" + Page)
	is.NoErr(err)
	is.Equal(string(text), string(want)) // run make generate
}
