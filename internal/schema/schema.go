// Package schema generates the JSON Schemas of the settings and the catalogue,
// for use in text editors. The programs themselves read both with pkg/strict.
//
// # Usage
//
//	s := schema.Reflect(&conf.Settings{}, "settings", "chervild settings")
//	text, err := schema.Marshal(s)
package schema

import (
	"encoding/json"

	"github.com/invopop/jsonschema"
)

// Reflect returns the schema of the type of v, a pointer to a struct. The name
// becomes the last part of the schema's id.
func Reflect(v any, name, title string) *jsonschema.Schema {
	s := jsonschema.Reflect(v)
	s.ID = jsonschema.ID("https://chervilspan.example/schema/" + name + ".json")
	s.Title = title
	return s
}

// Marshal returns the indented JSON text of a schema, ending in a newline.
func Marshal(s *jsonschema.Schema) ([]byte, error) {
	text, err := json.MarshalIndent(s, "", "  ")
	return append(text, '\n'), err
}
