package engine

import (
	"math/rand/v2"

	"chervilspan.example/pkg/ident"
	"chervilspan.example/pkg/roster"
)

// coldMembers returns the databases to leave out of a choice because they are cold and
// a warm one was not tried yet. A database that became warm a moment ago is left out of
// a part of the choices, which shrinks with time.
func (e *Engine) coldMembers(members []roster.Member, tried map[ident.Target]bool) map[ident.Target]bool {
	if e.cfg.Ramp == nil {
		return nil
	}
	var cold map[ident.Target]bool
	warm := false
	for i := range members {
		m := &members[i]
		if tried[m.ID] {
			continue
		}
		if r := e.cfg.Ramp(m); r < 1 && rand.Float64() >= r {
			if cold == nil {
				cold = map[ident.Target]bool{}
			}
			cold[m.ID] = true
			continue
		}
		warm = true
	}
	if !warm {
		return nil
	}
	return cold
}
