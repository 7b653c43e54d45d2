package dbpool

import (
	"errors"

	"chervilspan.example/pkg/dbop"
	"chervilspan.example/pkg/ident"
	"chervilspan.example/pkg/roster"
)

// notSentCode returns the code that answers statements of which nothing was sent because
// they can't be encoded, OK for other errors.
func notSentCode(err error) dbop.Code {
	switch {
	case errors.Is(err, ErrNotEncodable):
		return dbop.Malformed
	case errors.Is(err, ErrTooLarge):
		return dbop.TooLarge
	}
	return dbop.OK
}

// recordNotSent tells Pools.NotSent about an error of Link.Exchange.
func (c *Conn) recordNotSent(err error) {
	if c.pool != nil {
		c.pool.parent.recordNotSent(&c.pool.member, c.Workspace, err)
	}
}

func (s *Pools) recordNotSent(m *roster.Member, ws ident.Workspace, err error) {
	if s.NotSent != nil {
		s.NotSent(m, ws, err)
	}
}
