package relay

import (
	"errors"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"google.golang.org/grpc"

	"chervilspan.example/internal/dbpool"
	"chervilspan.example/internal/proto/peerpb"
	"chervilspan.example/pkg/dbop"
	"chervilspan.example/pkg/ident"
	"chervilspan.example/pkg/roster"
)

// Server lends the connections of this VM. Its fields are set before its use.
type Server struct {
	Pools *dbpool.Pools

	mu    sync.Mutex
	gates map[ident.Target]*gate

	stopping atomic.Bool
	loans    sync.WaitGroup
	lent     atomic.Int64
}

// stream is a borrower's stream.
type stream = grpc.BidiStreamingServer[peerpb.RelayRequest, peerpb.RelayReply]

// Relay implements peer.Relay. A stream serves one loan after the other.
func (s *Server) Relay(st stream) error {
	for {
		r, err := st.Recv()
		if err != nil {
			return nil // the borrower has closed the stream
		}
		o := r.GetOpen()
		if o == nil {
			continue // a loan's rest, after the loan was refused
		}
		if err := s.lend(st, o); err != nil {
			return err
		}
	}
}

// LentCount returns the number of connections that are lent now.
func (s *Server) LentCount() int { return int(s.lent.Load()) }

// Stop refuses further loans.
func (s *Server) Stop() { s.stopping.Store(true) }

// Wait returns when no connection is lent, or at the deadline. It returns the
// number of those that are.
func (s *Server) Wait(deadline time.Time) int {
	done := make(chan struct{})
	go func() {
		s.loans.Wait()
		close(done)
	}()
	t := time.NewTimer(time.Until(deadline))
	defer t.Stop()
	select {
	case <-done:
	case <-t.C:
	}
	return s.LentCount()
}

// lend serves one loan.
func (s *Server) lend(st stream, o *peerpb.RelayOpen) error {
	if s.stopping.Load() {
		return st.Send(opened(&peerpb.RelayOpened{Failure: uint32(dbpool.KindClosed)}))
	}
	s.loans.Add(1)
	s.lent.Add(1)
	defer s.loans.Done()
	defer s.lent.Add(-1)
	if err := st.Send(&peerpb.RelayReply{Step: &peerpb.RelayReply_Taken{Taken: &peerpb.RelayTaken{}}}); err != nil {
		return err
	}
	m := fromOpen(o)
	deadline := time.Now().Add(time.Duration(o.WaitMs) * time.Millisecond)
	conn, err := s.Pools.GetLocal(deadline, m, ident.Workspace(o.Workspace), dbpool.Owner(o.Owner))
	reply := s.describe(m, conn, err)
	if conn == nil {
		return st.Send(opened(reply))
	}
	if err := st.Send(opened(reply)); err != nil {
		conn.Release(true)
		return err
	}
	return s.run(st, m, conn)
}

func opened(o *peerpb.RelayOpened) *peerpb.RelayReply {
	return &peerpb.RelayReply{Step: &peerpb.RelayReply_Opened{Opened: o}}
}

// describe returns what the borrower has to know of a connection, or why there
// is none.
func (s *Server) describe(m *roster.Member, conn *dbpool.Conn, err error) *peerpb.RelayOpened {
	load, g := s.Pools.LocalLoad(m, ""), s.gate(m.ID)
	out := &peerpb.RelayOpened{Busy: uint32(g.active()), Waiting: uint32(load.Waiting + g.waiting()), Faults: float32(load.FailureRate)}
	if err != nil {
		var e *dbpool.Error
		out.Failure = uint32(dbpool.KindUnreachable)
		if errors.As(err, &e) {
			out.Failure, out.Code = uint32(e.Kind), uint32(e.Code)
		}
		return out
	}
	for name, value := range conn.Vars {
		out.Variables = append(out.Variables, &peerpb.RelayVariable{Name: []byte(name), Value: []byte(value)})
	}
	for name := range conn.Prepared {
		out.Names = append(out.Names, []byte(name))
	}
	out.QuietMs = uint32(conn.AnswerAge().Milliseconds())
	return out
}

// run carries out the borrower's statements until the connection is returned.
// When the stream ends first, a connection that was used is closed.
func (s *Server) run(st stream, m *roster.Member, conn *dbpool.Conn) error {
	used := false
	for {
		r, err := st.Recv()
		if err != nil {
			conn.Release(!used)
			return nil
		}
		switch step := r.Step.(type) {
		case *peerpb.RelayRequest_Return:
			conn.Release(step.Return.Keep)
			return nil
		case *peerpb.RelayRequest_Run:
			used = true
			if err := st.Send(s.exchange(m, conn, step.Run)); err != nil {
				conn.Release(false)
				return err
			}
		default:
			conn.Release(false)
			return errProtocol
		}
	}
}

func (s *Server) exchange(m *roster.Member, conn *dbpool.Conn, r *peerpb.RelayRun) *peerpb.RelayReply {
	ran := &peerpb.RelayRan{Broken: true}
	deadline := time.Now().Add(time.Duration(r.LimitMs) * time.Millisecond)
	if sts, ok := fromStatements(r.Statements); ok {
		answers, err := s.turn(m, conn, deadline, sts)
		ran.Answers, ran.Broken = toAnswers(answers), err != nil
	}
	if ran.Broken {
		s.Pools.CloseIdleIfSilent(m, conn.SentAt())
	}
	return &peerpb.RelayReply{Step: &peerpb.RelayReply_Ran{Ran: ran}}
}

// turn runs statements when the turn of the read among them has come.
func (s *Server) turn(m *roster.Member, conn *dbpool.Conn, deadline time.Time, sts []dbop.Statement) ([]dbop.Answer, error) {
	i := slices.IndexFunc(sts, func(st dbop.Statement) bool { return st.Scheduling.MaxWait > 0 })
	if i < 0 {
		return conn.Do(deadline, sts...)
	}
	t := sts[i].Scheduling
	g := s.gate(m.ID)
	if !g.enter(m.SlotCount(), t, conn.Workspace) {
		out := make([]dbop.Answer, len(sts))
		for i := range out {
			out[i] = dbop.Answer{Code: dbop.Crowded, State: conn.State(), Text: "too many statements wait for the database"}
		}
		return out, nil
	}
	start, ws := time.Now(), conn.Workspace
	leave := sync.OnceFunc(func() { g.leave(t, ws, time.Since(start)) })
	late := time.AfterFunc(placeTime, leave)
	defer late.Stop()
	defer leave()
	return conn.Do(deadline, sts...)
}

func (s *Server) gate(id ident.Target) *gate {
	s.mu.Lock()
	defer s.mu.Unlock()
	g := s.gates[id]
	if g == nil {
		if s.gates == nil {
			s.gates = map[ident.Target]*gate{}
		}
		g = &gate{}
		s.gates[id] = g
	}
	return g
}

// errProtocol ends a stream with a message that has no place there.
var errProtocol = &Error{Op: "lend", Kind: KindProtocol}
