// Package schema makes the JSON Schema pages of the settings and the
// catalogue, for editors. The programs' own reader is pkg/strict.
//
// # Usage
//
//	s := schema.Of(&conf.Settings{}, "settings", "chervild settings")
//	text, err := schema.Page(s)
package schema

import (
	"encoding/json"

	"github.com/invopop/jsonschema"
)

// Reflect reflects the type of v, a pointer to a struct. The name is the last part
// of the schema's id.
func Reflect(v any, name, title string) *jsonschema.Schema {
	s := jsonschema.Reflect(v)
	s.ID = jsonschema.ID("https://chervilspan.example/schema/" + name + ".json")
	s.Title = title
	return s
}

// Marshal returns the text of a schema's page.
func Marshal(s *jsonschema.Schema) ([]byte, error) {
	text, err := json.MarshalIndent(s, "", "  ")
	return append(text, '\n'), err
}
