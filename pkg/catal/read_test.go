package catal

import (
	"errors"
	"strings"
	"testing"

	"github.com/matryer/is"
)

const sample = `{
  "version": 3,
  "zones": {"z1": {"region": "r1"}, "z2": {"region": "r2"}},
  "classes": {"gold": {"weight": 4}},
  "groups": {
    "g": {"owner": "ops", "class": "gold", "targets": {
      "a": {"address": "127.0.0.1:1", "zone": "z1", "slots": 3, "connections": 30},
      "b": {"address": "127.0.0.1:2", "zone": "z1", "slots": 3, "connections": 30},
      "c": {"address": "127.0.0.1:3", "zone": "z2", "slots": 3, "connections": 30}}}
  },
  "workspaces": {
    "w": {"owner": "ana", "rate": 5, "burst": 10,
      "keys": {"k1": {"sha256": "aaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaa"}}}
  },
  "routes": {
    "orders": {"owner": "ana", "group": "g", "workspaces": ["w"]}
  }
}
`

func mustRead(t *testing.T, text string) *Catalogue {
	t.Helper()
	c, err := Read([]byte(text))
	is.New(t).NoErr(err)
	return c
}

func problemLines(err error) string {
	var e *Error
	if !errors.As(err, &e) {
		return ""
	}
	lines := make([]string, len(e.Problems))
	for i, p := range e.Problems {
		lines[i] = p.String()
	}
	return strings.Join(lines, "\n")
}

// TestReadProblems guards against accepting invalid documents, and against
// messages without the path, the line or the allowed values.
func TestReadProblems(t *testing.T) {
	for _, test := range []struct{ name, old, new, want string }{
		{"unknown field", `"burst": 10`, `"burst": 10, "speed": 1`, "line 12: /workspaces/w/speed: unknown field; allowed: owner, class, rate, burst, regions, keys"},
		{"wrong type", `"rate": 5`, `"rate": "5"`, `line 12: /workspaces/w/rate: has "5"; allowed: a number`},
		{"negative", `"burst": 10`, `"burst": -1`, "line 12: /workspaces/w/burst: has -1; allowed: an integer from 0 to 4294967295"},
		{"fraction", `"burst": 10`, `"burst": 1.5`, "line 12: /workspaces/w/burst: has 1.5; allowed: an integer from 0 to 4294967295"},
		{"null", `"rate": 5`, `"rate": null`, "line 12: /workspaces/w/rate: has null; allowed: a number"},
		{"no rate", `"rate": 5, `, ``, "line 12: /workspaces/w/rate: 0 is out of range; allowed: above 0 to 1000000 statements a second"},
		{"twice", `"rate": 5`, `"rate": 5, "rate": 6`, "line 12: /workspaces/w/rate: the field appears twice; allowed: one rate"},
		{"entry twice", `"w": {"owner"`, `"w": {"owner": "x", "rate": 1, "burst": 1}, "w": {"owner"`, "line 12: /workspaces/w: the entry appears twice; allowed: one w"},
		{"no group", `"group": "g"`, `"group": "h"`, `line 16: /routes/orders/group: group "h" is not in the catalogue; allowed: g`},
		{"no workspace", `["w"]`, `["v"]`, `line 16: /routes/orders/workspaces/0: workspace "v" is not in the catalogue; allowed: w`},
		{"no zone", `"zone": "z2"`, `"zone": "z3"`, `line 9: /groups/g/targets/c/zone: zone "z3" is not in the catalogue; allowed: z1, z2`},
		{"name for address", `127.0.0.1:3`, `db:3`, `line 9: /groups/g/targets/c/address: "db:3" is no address; allowed: IP:port`},
		{"same address", `127.0.0.1:3`, `127.0.0.1:2`, `line 9: /groups/g/targets/c/address: /groups/g/targets/b has the address too; allowed: an address of its own`},
		{"no majority", `"zone": "z1",`, `"leaving": true, "zone": "z1",`, "line 6: /groups/g/targets: 1 of 3 targets stay, no majority; allowed: at least 2 that are not leaving"},
		{"few connections", `"connections": 30}}}`, `"connections": 2}}}`, "line 9: /groups/g/targets/c/connections: 2 is out of range; allowed: 3 to 100000"},
		{"identifier", `"orders"`, `"Orders"`, `line 16: /routes/Orders: "Orders" is no identifier; allowed: 1 to 63 of a-z, 0-9, '-', '_', '.', the first a letter or digit`},
		{"regions", `"workspaces": ["w"]`, `"regions": ["r1"]`, "line 16: /routes/orders/regions: lists of regions are not enforced in this deployment; allowed: no list"},
		{"class", `"class": "gold"`, `"class": "tin"`, `line 6: /groups/g/class: class "tin" is not in the catalogue; allowed: gold`},
		{"section", `"classes": {"gold": {"weight": 4}}`, `"classes": 7`, "line 4: /classes: has 7; allowed: an object\nline 6: /groups/g/class: class \"gold\" is not in the catalogue; allowed: none, the section is empty"},
		{"cut short", "}\n  }\n}\n", "", "line 16: not JSON: the text ends too early; allowed: one JSON object"},
		{"trailing", "}\n  }\n}\n", "}\n  }\n}\n{}", "line 19: not JSON: text after the document's end; allowed: one JSON object"},
	} {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			text := strings.ReplaceAll(sample, test.old, test.new)
			is.True(text != sample)
			_, err := Read([]byte(text))
			is.Equal(problemLines(err), test.want)
		})
	}
	mustRead(t, sample)
}

// TestReadReportsAllProblems guards against a reader that stops at the first
// problem.
func TestReadReportsAllProblems(t *testing.T) {
	is := is.New(t)
	text := strings.NewReplacer(`"rate": 5`, `"rate": -5`, `"burst": 10`, `"burst": 0`, `"group": "g"`, `"group": "h"`, `"weight": 4`, `"heft": 4`).Replace(sample)
	_, err := Read([]byte(text))
	is.Equal(len(strings.Split(problemLines(err), "\n")), 4)
}

// TestKeyInClear guards against accepting a document into which an operator
// pasted a key, which would then be stored in clear text, and against an error
// message that contains the key.
func TestKeyInClear(t *testing.T) {
	key, _, err := NewKey("k1")
	is.New(t).NoErr(err)
	for _, old := range []string{strings.Repeat("a", 64), "ana", "orders", "owner", "127.0.0.1:1"} {
		t.Run(old, func(t *testing.T) {
			is := is.New(t)
			_, err := Read([]byte(strings.ReplaceAll(sample, old, key)))
			is.True(strings.Contains(problemLines(err), ": a key stands in clear text"))
			is.True(!strings.Contains(err.Error(), key[10:]))
		})
	}
}

// TestValidateChange guards against accepting changes between two valid versions
// that would break elections, the withdrawal of keys or rate limits.
func TestValidateChange(t *testing.T) {
	for _, test := range []struct{ name, old, new, want string }{
		{"limits", `"rate": 5`, `"rate": 6`, ""},
		{"one target more", `"targets": {`, `"targets": {"d": {"address": "127.0.0.1:4", "zone": "z1", "slots": 3, "connections": 30},`, ""},
		{"target replaced", `"a": {`, `"d": {`, "/groups/g/targets: 1 targets added and 1 removed at once; allowed: one target added or removed in an edit"},
		{"hash", strings.Repeat("a", 64), strings.Repeat("b", 64), "/workspaces/w/keys/k1/sha256: the hash of a key changes; allowed: a new key id for a new secret"},
		{"slices", `"zones"`, `"sharing": {"slices": 6}, "zones"`, "/sharing/slices: changes from 12 to 6; allowed: a change only while there is no workspace"},
		{"slices as the default", `"zones"`, `"sharing": {"slices": 12}, "zones"`, ""},
	} {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			old := mustRead(t, sample)
			next := mustRead(t, strings.Replace(sample, test.old, test.new, 1))
			is.Equal(problemLines(&Error{Problems: ValidateChange(old, next)}), test.want)
		})
	}
}

// FuzzRead guards against documents that make Read panic, and against accepted
// documents that Read refuses after they were encoded.
func FuzzRead(f *testing.F) {
	f.Add([]byte(sample))
	f.Add([]byte(`{"zones":{"a":[1,{}]}}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		c, err := Read(data)
		if err != nil {
			return
		}
		text, err := Encode(c)
		if err != nil {
			t.Fatal(err)
		}
		if _, err := Read(text); err != nil {
			t.Fatalf("%s: %v", text, err)
		}
	})
}
