package relay

import (
	"context"
	"time"

	"chervilspan.example/internal/dbpool"
	"chervilspan.example/internal/proto/peerpb"
	"chervilspan.example/pkg/dbop"
	"chervilspan.example/pkg/ident"
	"chervilspan.example/pkg/roster"
)

// spentUnit is the unit of RelayOpen.spent.
const spentUnit = 16 * time.Millisecond

// rankedClass returns the class of a request that waits for its turn, "" for others.
func rankedClass(s dbop.Scheduling) ident.Class {
	if !s.Ranked {
		return ""
	}
	return s.Class
}

// openScheduling returns the scheduling of the request of a borrower.
func openScheduling(o *peerpb.RelayOpen) dbop.Scheduling {
	return dbop.Scheduling{Class: ident.Class(o.Class), Ranked: o.Class != "", Spent: time.Duration(o.Spent) * spentUnit}
}

// classWeight sets the weight of a ranked request.
func (s *Server) classWeight(sched dbop.Scheduling) dbop.Scheduling {
	if sched.Ranked && s.ClassOf != nil {
		c := s.ClassOf(sched.Class)
		sched.Weight = c.FairWeight()
	}
	return sched
}

// withoutClass removes the class and weight of statements of the class that RelayOpen
// has, since the lender knows them; setClass sets them again.
func withoutClass(sts []*peerpb.RelayStatement, class ident.Class) []*peerpb.RelayStatement {
	for _, st := range sts {
		if class != "" && st.Class == string(class) {
			st.Class, st.Weight = "", 0
		}
	}
	return sts
}

// setClass sets the class and weight that withoutClass removed.
func setClass(sts []dbop.Statement, sched dbop.Scheduling) {
	for i := range sts {
		if s := &sts[i].Scheduling; sched.Ranked && s.MaxWait > 0 && s.Class == "" {
			s.Class, s.Weight = sched.Class, sched.Weight
		}
	}
}

// Await implements dbpool.Turns.
func (s *Server) Await(ctx context.Context, deadline time.Time, m *roster.Member, ws ident.Workspace, sched dbop.Scheduling) (dbpool.Turn, error) {
	if !sched.Ranked || s.ClassOf == nil || s.Lends == nil || !s.Lends(m.Group) {
		return nil, nil //nolint:nilnil // documented by dbpool.Turns
	}
	class := s.ClassOf(sched.Class)
	sched.Weight = class.FairWeight()
	objective := time.Duration(class.ObjectiveMS) * time.Millisecond
	it := item(sched, ws, objective, class.RequestTimeout(), deadline, time.Now())
	t := s.turnsOf(m.ID).await(ctx, m.SlotCount(), it, sched.Gone)
	if t == nil {
		return nil, &dbpool.Error{Op: "wait for a turn", Kind: dbpool.KindRefused, Target: m.ID, Code: dbop.Crowded, Err: errCrowded}
	}
	return t, nil
}

// turnsOf returns the queue of turns at a database.
func (s *Server) turnsOf(id ident.Target) *turnQueue {
	s.mu.Lock()
	defer s.mu.Unlock()
	q := s.turns[id]
	if q == nil {
		if s.turns == nil {
			s.turns = map[ident.Target]*turnQueue{}
		}
		q = &turnQueue{target: id, log: s.Log}
		s.turns[id] = q
	}
	return q
}
