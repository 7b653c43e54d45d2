package dbpool

import (
	"context"
	"time"

	"chervilspan.example/pkg/dbop"
	"chervilspan.example/pkg/ident"
	"chervilspan.example/pkg/roster"
)

// Turn is the right of a request to get a connection and to run its first statement.
// A Conn calls Start when it sends that statement, with writes set for one that may wait
// for a replica, and End when the answer has arrived or the connection is given back
// before.
type Turn interface {
	Start(writes bool)
	End()
}

// Turns orders the requests for connections to databases.
type Turns interface {
	// Await waits for the turn of a request. A nil Turn and a nil error mean that
	// requests to this database have no order. The error is an *Error.
	Await(ctx context.Context, deadline time.Time, m *roster.Member, ws ident.Workspace, sched dbop.Scheduling) (Turn, error)
}

// getInTurn is GetLocal for a request that waits for its turn if it is ranked.
func (s *Pools) getInTurn(deadline time.Time, m *roster.Member, r *Request) (*Conn, error) {
	if s.Turns == nil || !r.Scheduling.Ranked {
		return s.GetLocal(deadline, m, r.Workspace, r.Owner)
	}
	turn, err := s.Turns.Await(context.Background(), deadline, m, r.Workspace, r.Scheduling)
	if err != nil {
		return nil, err
	}
	return s.GetWithTurn(deadline, m, r.Workspace, r.Owner, turn)
}

// GetWithTurn is like GetLocal for a request that has a turn, which ends if there is no
// connection. The turn may be nil.
func (s *Pools) GetWithTurn(deadline time.Time, m *roster.Member, ws ident.Workspace, owner Owner, turn Turn) (*Conn, error) {
	c, err := s.GetLocal(deadline, m, ws, owner)
	switch {
	case turn == nil:
	case err != nil:
		turn.End()
	default:
		c.turn = turn
	}
	return c, err
}

// startTurn starts the connection's turn if one of the statements takes a slot.
func (c *Conn) startTurn(sts []dbop.Statement) (started bool) {
	if c.turn == nil {
		return false
	}
	for i := range sts {
		if sts[i].Kind.TakesSlot() {
			c.turn.Start(sts[i].Kind == dbop.Write || sts[i].Kind == dbop.Commit || sts[i].Writes)
			return true
		}
	}
	return false
}

// endTurn ends the connection's turn, if it has one.
func (c *Conn) endTurn() {
	if c.turn != nil {
		c.turn.End()
		c.turn = nil
	}
}
