package spread

import (
	"time"

	"chervilspan.example/pkg/access"
	"chervilspan.example/pkg/ident"
)

// Authenticate checks a caller against the catalogue in force and the cut-off
// rule. It returns an *access.Error, which has the SQLSTATE.
func (s *Distributor) Authenticate(ws ident.Workspace, route ident.Route, key string) (access.Authorization, error) {
	now := time.Now()
	g, err := access.Authenticate(s.inForce.Load(), ws, route, key, now)
	if err != nil {
		return access.Authorization{}, err
	}
	if err := s.current("authenticate", g, now); err != nil {
		return access.Authorization{}, err
	}
	return g, nil
}

// Check tells whether a session may start another statement, by the catalogue
// in force and the cut-off rule. It returns an *access.Error.
func (s *Distributor) Check(g access.Authorization) error {
	_, err := s.Refresh(g)
	return err
}

// Refresh checks g and returns it with the limits, mode and group in force.
func (s *Distributor) Refresh(g access.Authorization) (access.Authorization, error) {
	now := time.Now()
	next, err := access.Refresh(s.inForce.Load(), g, now)
	if err != nil {
		return access.Authorization{}, err
	}
	return next, s.current("check", next, now)
}

// current applies the cut-off rule to keyed routes.
func (s *Distributor) current(op string, g access.Authorization, now time.Time) error {
	if g.Open {
		return nil
	}
	s.state.Lock()
	d := s.fresh.Decide(now)
	s.state.Unlock()
	if d.Serve {
		return nil
	}
	return &access.Error{Op: op, Kind: access.KindCutOff, Text: "this proxy is cut off and can't tell whether the key is still valid"}
}
