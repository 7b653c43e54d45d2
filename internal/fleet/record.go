package fleet

import (
	"encoding/json"
	"errors"
	"net/netip"

	"chervilspan.example/pkg/ident"
	"chervilspan.example/pkg/store"
)

// record is the value of a VM's key.
type record struct {
	VM      ident.VM     `json:"vm"`
	Zone    ident.Zone   `json:"zone"`
	Region  ident.Region `json:"region"`
	Address string       `json:"address"`
}

// decodeRecord decodes the entry of a VM. One of another writer could make a VM that
// doesn't exist a reader that others ask.
func decodeRecord(e store.Entry) (record, error) {
	plain, err := store.DecodeEntry(e)
	if err != nil {
		return record{}, err
	}
	var r record
	if err := json.Unmarshal(plain.Value, &r); err != nil {
		return record{}, err
	}
	if r.VM == "" || keyPrefix+string(r.VM) != e.Key || r.Zone == "" || r.Region == "" {
		return record{}, errRecord
	}
	a, err := netip.ParseAddrPort(r.Address)
	if err != nil {
		return record{}, err
	}
	if a.Port() == 0 || a.Addr().IsUnspecified() || a.Addr().IsMulticast() {
		return record{}, errRecord
	}
	return r, nil
}

// errRecord is the error for a record whose fields don't name a VM.
var errRecord = errors.New("the record does not name a VM that can be reached")
