package strsrv

import (
	"encoding/json"
	"net/http"

	"chervilspan.example/internal/proto/storepb"
)

// ControlHandler returns the HTTP handler by which experiments switch faults: PUT
// /faults with a Faults document, PUT /vms with the list of VMs, GET /calls.
func (s *Server) ControlHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("PUT /faults", func(w http.ResponseWriter, r *http.Request) {
		var f Faults
		if decode(w, r, &f) {
			s.SetFaults(f)
		}
	})
	mux.HandleFunc("PUT /vms", func(w http.ResponseWriter, r *http.Request) {
		var vms []*storepb.VM
		if decode(w, r, &vms) {
			s.SetVMs(vms)
		}
	})
	mux.HandleFunc("GET /calls", func(w http.ResponseWriter, _ *http.Request) {
		_ = json.NewEncoder(w).Encode(s.CallCounts())
	})
	return mux
}

func decode(w http.ResponseWriter, r *http.Request, v any) bool {
	d := json.NewDecoder(r.Body)
	d.DisallowUnknownFields()
	if err := d.Decode(v); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return false
	}
	return true
}
