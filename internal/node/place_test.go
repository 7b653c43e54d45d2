package node

import (
	"bytes"
	"errors"
	"testing"

	"github.com/matryer/is"
	"github.com/rs/zerolog"

	"chervilspan.example/pkg/catal"
)

// TestSkippedEntriesLogged guards against an entry of the configuration that is skipped
// without a line, and against a version whose entries fill the log.
func TestSkippedEntriesLogged(t *testing.T) {
	is := is.New(t)
	var out bytes.Buffer
	n := &Node{log: zerolog.New(&out)}
	c := &catal.Catalogue{Version: 3, Skipped: []catal.SkippedEntry{{List: "Tenants", Index: 2, Err: errors.New("no name")}, {List: "Routes", Err: errors.New("no type")}}}
	for range 3 {
		n.logOddities(c)
	}
	is.Equal(bytes.Count(out.Bytes(), []byte("config_entry_skipped")), 2)
	is.True(bytes.Contains(out.Bytes(), []byte(`"list":"Tenants","index":2,"skipped":2,"error":"no name"`)))
	out.Reset()
	n.logOddities(&catal.Catalogue{Version: 4, Skipped: make([]catal.SkippedEntry, 5000)})
	is.Equal(bytes.Count(out.Bytes(), []byte("config_entry_skipped")), maxSkippedLogged)
}
