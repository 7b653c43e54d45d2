package main

import (
	"os"
	"testing"

	"github.com/matryer/is"
)

// TestSchema guards against a schema file that was not regenerated after a change
// of the types.
func TestSchema(t *testing.T) {
	is := is.New(t)
	want, err := schemaText()
	is.NoErr(err)
	text, err := os.ReadFile("../../../" + SchemaPath)
	is.NoErr(err)
	is.Equal(string(text), string(want)) // run go run ./pkg/catal/gen
}
