package node

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"chervilspan.example/pkg/ident"
)

const good = `{"vm":"a","zone":"z1","region":"r1","zones":{"z1":"r1","z2":"r1","z3":"r2"},"callers":"10.0.0.1:1","ready":"10.0.0.1:2",
"peers":"10.0.0.1:3","store":"10.0.0.9:4","platform":"10.0.0.9:5","grace_s":6,"rate_excess":{"window_s":5,"part":0.1,"tokens":20},"later":1}`

// TestSettings guards against invalid settings that pass the check and fail later
// in use, and against errors that don't name the invalid field.
func TestSettings(t *testing.T) {
	is := is.New(t)
	s, err := Parse([]byte(good))
	is.NoErr(err)
	is.Equal(s.homeRegion(), ident.Region("r1"))
	path := filepath.Join(t.TempDir(), "settings.json")
	is.NoErr(os.WriteFile(path, []byte(good), 0o600))
	_, err = Load(path)
	is.NoErr(err)
	_, err = Load(path + "x")
	is.True(err != nil)
	for bad, want := range map[string]string{
		strings.Replace(good, `"vm":"a",`, "", 1):                                       "/vm: is missing",
		strings.Replace(good, `"vm":"a"`, `"vm":"a\r\nheader: 9"`, 1):                   "/vm: has a control character",
		strings.Replace(good, `"10.0.0.1:2"`, `"here"`, 1):                              "/ready: is no address",
		strings.Replace(good, `"zone":"z1"`, `"zone":"z3"`, 1):                          "/zones: gives the VM's zone another region",
		strings.Replace(good, `"part":0.1`, `"part":-1`, 1):                             "/rate_excess: has a negative number",
		strings.Replace(good, `"later":1`, `"cold_excess":{"part":1.5,"tokens":-1}`, 1): "/cold_excess: has a negative number",
		strings.Replace(good, `"later":1`, `"memory_mb":-1`, 1):                         "/memory_mb: is negative",
		strings.Replace(good, `"later":1`, `"metrics":"x"`, 1):                          "/metrics: is no address",
		strings.Replace(good, `"later":1`, `"evacuate_ms":-1`, 1):                       "/evacuate_ms: is out of range",
		strings.Replace(good, `"later":1`, `"config_ms":-1`, 1):                         "/config_ms: is out of range",
		strings.Replace(good, `"later":1`, `"evacuate_ms":"NaN"`, 1):                    "/evacuate_ms: is out of range",
		strings.Replace(good, `"later":1`, `"evacuate_ms":"x"`, 1):                      "read settings",
		"{": "read settings",
	} {
		_, err := Parse([]byte(bad))
		if err == nil || !strings.Contains(err.Error(), want) {
			t.Fatalf("%v instead of %q", err, want)
		}
	}
}

// TestMilliseconds guards against a deployment without a value that can't start, and
// against a value that is not read from the text that the template writes.
func TestMilliseconds(t *testing.T) {
	is := is.New(t)
	for value, want := range map[string]time.Duration{
		`5000`: 5 * time.Second, `"5000"`: 5 * time.Second, `""`: 0, `null`: 0, `"null"`: 0, `"{{Bounds.EvacuateMs}}"`: 0,
	} {
		s, err := Parse([]byte(strings.Replace(good, `"later":1`, `"evacuate_ms":`+value+`,"config_ms":`+value, 1)))
		is.NoErr(err)
		is.Equal(s.EvacuateWithin(), want)
		is.Equal(s.ConfigWithin(), want)
	}
}
