package spread

import (
	"time"

	"chervilspan.example/pkg/access"
	"chervilspan.example/pkg/ident"
)

// Authenticate checks a caller's key against the catalogue in force and applies
// the cut-off rule. Its errors are of type *access.Error, which has the SQLSTATE.
func (s *Distributor) Authenticate(ws ident.Workspace, route ident.Route, key string) (access.Authorization, error) {
	now := time.Now()
	a, err := access.Authenticate(s.inForce.Load(), ws, route, key, now)
	if err != nil {
		return access.Authorization{}, err
	}
	if err := s.checkCutOff("authenticate", a, now); err != nil {
		return access.Authorization{}, err
	}
	return a, nil
}

// Check returns nil if a session may start another statement under the catalogue
// in force and the cut-off rule, otherwise an *access.Error.
func (s *Distributor) Check(a access.Authorization) error {
	_, err := s.Refresh(a)
	return err
}

// Refresh does the same check as Check and returns a with the limits, mode and
// group in force.
func (s *Distributor) Refresh(a access.Authorization) (access.Authorization, error) {
	now := time.Now()
	next, err := access.Refresh(s.inForce.Load(), a, now)
	if err != nil {
		return access.Authorization{}, err
	}
	return next, s.checkCutOff("check", next, now)
}

// checkCutOff applies the cut-off rule to keyed routes. Open routes are exempt.
func (s *Distributor) checkCutOff(op string, a access.Authorization, now time.Time) error {
	if a.Open {
		return nil
	}
	s.stateMu.Lock()
	d := s.fresh.Decide(now)
	s.stateMu.Unlock()
	if d.Serve {
		return nil
	}
	return &access.Error{Op: op, Kind: access.KindCutOff, Text: "this proxy is cut off and can't tell whether the key is still valid"}
}
