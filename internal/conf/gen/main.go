// Command gen writes docs/schema/settings.json, the JSON Schema of the
// daemon's settings, for editors. It runs in the root of the repository.
package main

import (
	"encoding/json"
	"fmt"
	"os"

	"github.com/invopop/jsonschema"

	"chervilspan.example/internal/conf"
)

// Page is where the schema lies, from the root of the repository.
const Page = "docs/schema/settings.json"

func main() {
	text, err := schema()
	if err == nil {
		err = os.WriteFile(Page, text, 0o644)
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

func schema() ([]byte, error) {
	s := jsonschema.Reflect(&conf.Settings{})
	s.ID = "https://chervilspan.example/schema/settings.json"
	s.Title = "chervild settings"
	policies := []any{conf.PolicyAdaptive, conf.PolicyBaseline}
	s.Definitions["Limits"].Properties.GetPair("policy").Value.Enum = policies
	s.Definitions["Failover"].Properties.GetPair("policy").Value.Enum = policies
	s.Definitions["Log"].Properties.GetPair("level").Value.Enum = []any{"debug", "info", "warn", "error"}
	for _, name := range []string{"Admin", "Limits", "Freshness", "Failover", "Drain", "Log", "TLS"} {
		s.Definitions[name].Required = nil
	}
	s.Definitions["Settings"].Required = []string{"vm", "number", "zone", "region", "callers", "peers", "store", "targets"}
	text, err := json.MarshalIndent(s, "", "  ")
	return append(text, '\n'), err
}
