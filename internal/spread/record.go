package spread

import (
	"context"
	"encoding/json"
	"strconv"

	"chervilspan.example/pkg/catal"
	"chervilspan.example/pkg/ident"
	"chervilspan.example/pkg/store"
)

// CatalogueKey is the store's key of the catalogue.
const CatalogueKey = "catalogue"

// HistoryKey returns the store's key of a former version.
func HistoryKey(v ident.Version) string {
	return CatalogueKey + "/history/" + strconv.FormatUint(uint64(v), 10)
}

// Record is a version as the store holds it.
type Record struct {
	Version ident.Version `json:"version"`
	// ID of the edit that made the version; an edit that is sent twice finds
	// itself by it.
	ID       string `json:"id"`
	Operator string `json:"operator"`
	Comment  string `json:"comment,omitempty"`
	// UnixMS is when the edit was made, by the daemon's clock; for display.
	UnixMS   int64           `json:"unix_ms"`
	Document json.RawMessage `json:"document"`

	catalogue *catal.Catalogue
	revision  store.Revision
}

// readRecord reads a key that holds a Record. A Record with version 0 means
// that the key does not exist.
func readRecord(ctx context.Context, s store.Store, key string) (Record, error) {
	e, err := store.Read(ctx, s, key)
	if err != nil {
		return Record{}, &Error{Op: "read " + key, Kind: KindStore, Text: "the store did not answer", Err: err}
	}
	if e.Revision == 0 {
		return Record{}, nil
	}
	return parseRecord(e)
}

func parseRecord(e store.Entry) (Record, error) {
	var r Record
	if err := json.Unmarshal(e.Value, &r); err != nil {
		return Record{}, &Error{Op: "read " + e.Key, Kind: KindInvalidRecord, Text: "it is no record", Err: err}
	}
	c, err := catal.Read(r.Document)
	if err != nil {
		return Record{Version: r.Version}, &Error{Op: "read " + e.Key, Kind: KindInvalidRecord, Text: "the catalogue breaks rules", Err: err}
	}
	if r.Version == 0 || c.Version != r.Version {
		return Record{}, &Error{Op: "read " + e.Key, Kind: KindInvalidRecord, Text: "the versions of record and document differ"}
	}
	r.catalogue, r.revision = c, e.Revision
	return r, nil
}
