// Command gen writes docs/schema/catalogue.json, the JSON Schema of the
// catalogue, for use in text editors. The daemon itself reads catalogues with
// package catal. Run the command in the root of the repository.
package main

import (
	"encoding/json"
	"fmt"
	"os"
	"strconv"

	"chervilspan.example/internal/schema"
	"chervilspan.example/pkg/catal"
)

// SchemaPath is the path of the schema below the root of the repository.
const SchemaPath = "docs/schema/catalogue.json"

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

// bounds holds the ranges that catal.Validate enforces, by definition and field.
var bounds = map[string]map[string][2]int{
	"Class": {"weight": {0, catal.MaxWeight}, "max_queue": {0, catal.MaxQueueLimit}, "deadline_ms": {0, catal.MaxDeadlineMS}},
	"Target": {
		"slots":       {1, catal.MaxSlots},
		"connections": {1, catal.MaxConnections},
	},
	"Workspace": {"rate": {0, catal.MaxRate}, "burst": {1, catal.MaxBurst}},
	"Route":     {"max_age_ms": {0, catal.MaxAgeLimitMS}},
	"Sharing":   {"shards": {0, catal.MaxShards}, "slices": {0, catal.MaxSlices}},
}

func schemaText() ([]byte, error) {
	s := schema.Reflect(&catal.Catalogue{}, "catalogue", "chervilspan catalogue")
	for def, fields := range bounds {
		for name, b := range fields {
			p, ok := s.Definitions[def].Properties.Get(name)
			if !ok {
				return nil, fmt.Errorf("%s has no field %s", def, name)
			}
			p.Minimum = json.Number(strconv.Itoa(b[0]))
			p.Maximum = json.Number(strconv.Itoa(b[1]))
		}
	}
	s.Definitions["Group"].Properties.GetPair("ack").Value.Enum = []any{catal.AckMajority, catal.AckPrimary}
	s.Definitions["Route"].Properties.GetPair("mode").Value.Enum = []any{catal.ModeReadWrite, catal.ModeReadOnly}
	s.Definitions["Key"].Properties.GetPair("sha256").Value.Pattern = "^[0-9a-f]{64}$"
	// The daemon sets the version, so that documents need not have one.
	s.Definitions["Catalogue"].Required = []string{"zones"}
	return schema.Marshal(s)
}
