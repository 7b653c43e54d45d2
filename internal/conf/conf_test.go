package conf

import (
	"encoding/json"
	"errors"
	"testing"

	"github.com/matryer/is"
)

const good = `{
  "vm": "bogota-norte-1", "number": 1, "zone": "bogota-norte", "region": "andina",
  "callers": {"listen": "127.0.0.1:6432", "plain_text": true},
  "peers": {"listen": "127.0.0.1:7001", "plain_text": true},
  "store": {"address": "127.0.0.1:7100"},
  "targets": {"user": "proxy", "password_file": "password"}
}`

// TestRead guards against invalid settings that are accepted, and against messages
// that do not say where the problem is.
func TestRead(t *testing.T) {
	for _, test := range []struct{ name, text, want string }{
		{"good", good, ""},
		{"truncated", good[:40], "f: line 2: not JSON: the text ends too early; allowed: one JSON object"},
		{"unknown field", `{"vm": "a", "nmber": 1}`, `f: line 1: /nmber: unknown field; allowed: `},
		{"public plain text", `{
  "callers": {"listen": "10.1.1.1:6432",
    "plain_text": true}}`, "f: line 3: /callers/plain_text: keys would cross the network in clear text; allowed: true only when listen is a loopback address"},
		{"cut-off beyond lease", `{
 "limits": {"share_lease_ms": 60000},
 "freshness": {"cut_off_serve_ms": 60001}}`, "f: line 3: /freshness/cut_off_serve_ms: a VM that is cut off cannot honour rates beyond its lease; allowed: at most share_lease_ms, 60000"},
		{"wrong type", `{"number": "one"}`, `f: line 1: /number: has "one"; allowed: an integer from 0 to 4294967295`},
		{"level", `{"log": {"level": "loud"}}`, `f: line 1: /log/level: "loud" is unknown; allowed: debug, info, warn, error`},
	} {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			_, err := Read("f", []byte(test.text))
			if test.want == "" {
				is.NoErr(err)
				return
			}
			var e *Error
			is.True(errors.As(err, &e))
			is.Equal(e.Kind, KindInvalid)
			is.True(hasProblem(e, test.want))
		})
	}
}

func hasProblem(e *Error, want string) bool {
	for _, p := range e.Problems {
		line := "f: " + p.String()
		if len(line) >= len(want) && line[:len(want)] == want {
			return true
		}
	}
	return false
}

// TestWithDefaults guards against defaults that the check refuses, and against
// warnings about default settings.
func TestWithDefaults(t *testing.T) {
	is := is.New(t)
	s, err := Read("f", []byte(good))
	is.NoErr(err)
	raw, err := json.Marshal(s.WithDefaults())
	is.NoErr(err)
	_, err = Read("f", raw)
	is.NoErr(err)
	is.Equal(len(Warnings(s)), 0)
}

// FuzzRead guards against input that crashes Read, and against settings that are
// accepted but are refused after they have been written out again.
func FuzzRead(f *testing.F) {
	f.Add([]byte(good))
	f.Add([]byte(`{"vm": {"a": [1, {}]}}`))
	f.Add([]byte("{\"number\": 1e999, \"\u0000\": null}"))
	f.Fuzz(func(t *testing.T, data []byte) {
		s, err := Read("f", data)
		if err != nil {
			return
		}
		raw, err := json.Marshal(s)
		if err != nil {
			t.Fatal(err)
		}
		if _, err := Read("f", raw); err != nil {
			t.Fatalf("settings that passed do not read back: %v", err)
		}
	})
}
