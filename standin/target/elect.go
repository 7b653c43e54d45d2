package target

import (
	"context"
	"fmt"

	"chervilspan.example/pkg/ident"
	"chervilspan.example/standin/repl"
)

// Elect makes the first server the primary of term and lets the others follow,
// as a watcher would do. Tests use it to set up a group. It returns an *Error
// of kind KindElect when a target refuses.
func Elect(ctx context.Context, term ident.Term, servers ...*Server) error {
	members := make([]repl.Member, len(servers))
	for i, s := range servers {
		members[i] = repl.Member{ID: s.ID(), Address: s.Addr()}
	}
	for i, s := range servers {
		if err := s.raise(term); err != nil {
			return electError(s, err)
		}
		if i == 0 {
			if _, err := s.promote(term, members); err != nil {
				return electError(s, err)
			}
			continue
		}
		if err := s.follow(term, servers[0].ID(), servers[0].Addr()); err != nil {
			return electError(s, err)
		}
	}
	return ctx.Err()
}

func electError(s *Server, err error) error {
	return &Error{Op: "elect", Kind: KindElection, Text: fmt.Sprintf("%s: %v", s.ID(), err)}
}
