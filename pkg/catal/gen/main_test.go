package main

import (
	"os"
	"testing"

	"github.com/matryer/is"
)

// TestPage guards against a schema page that differs from the types.
func TestPage(t *testing.T) {
	is := is.New(t)
	want, err := page()
	is.NoErr(err)
	text, err := os.ReadFile("../../../" + SchemaPath)
	is.NoErr(err)
	is.Equal(string(text), string(want)) // run go run ./pkg/catal/gen
}
