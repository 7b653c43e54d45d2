// Command gen writes docs/schema/settings.json, the JSON Schema of the daemon's
// settings, which text editors can use. Run it in the root of the repository.
package main

import (
	"fmt"
	"os"

	"chervilspan.example/internal/conf"
	"chervilspan.example/internal/schema"
)

// SchemaPath is the path of the schema below the root of the repository.
const SchemaPath = "docs/schema/settings.json"

func main() {
	text, err := schemaText()
	if err == nil {
		err = os.WriteFile(SchemaPath, text, 0o644)
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

func schemaText() ([]byte, error) {
	s := schema.Reflect(&conf.Settings{}, "settings", "chervild settings")
	policies := []any{conf.PolicyAdaptive, conf.PolicyBaseline}
	s.Definitions["Limits"].Properties.GetPair("policy").Value.Enum = policies
	s.Definitions["Failover"].Properties.GetPair("policy").Value.Enum = policies
	s.Definitions["Log"].Properties.GetPair("level").Value.Enum = []any{"debug", "info", "warn", "error"}
	for _, name := range []string{"Admin", "Limits", "Freshness", "Failover", "Drain", "Log", "TLS"} {
		s.Definitions[name].Required = nil
	}
	s.Definitions["Settings"].Required = []string{"vm", "number", "zone", "region", "callers", "peers", "store", "targets"}
	return schema.Marshal(s)
}
