package target

import (
	"context"
	"encoding/json"
	"net"
	"strconv"
	"time"

	"github.com/jackc/pgx/v5/pgconn"

	"chervilspan.example/internal/evlog"
	"chervilspan.example/standin/repl"
)

const (
	// heartbeat is how long the primary holds a pull when it has no entries.
	heartbeat = 50 * time.Millisecond
	// pullTimeout is after how long a follower gives up on a pull.
	pullTimeout = 400 * time.Millisecond
	// pullPause is the wait after a failed pull.
	pullPause = 50 * time.Millisecond
	// pullLimit is the greatest number of entries in an answer.
	pullLimit = 256
)

// answerPull serves a follower's pull. It waits up to the heartbeat for new
// entries, and as long as the follower is cut off.
func (s *Server) answerPull(ctx context.Context, p repl.Pull) (repl.PullAnswer, error) {
	held := time.NewTimer(heartbeat)
	defer held.Stop()
	expired := false
	for {
		s.mu.Lock()
		changed := s.changed
		cut := s.faults.isCut(p.Follower)
		if !cut {
			a, err := s.confirm(p)
			if err != nil || expired || !a.Match || len(a.Entries) > 0 {
				s.mu.Unlock()
				return a, err
			}
		}
		s.mu.Unlock()
		select {
		case <-changed:
		case <-held.C:
			if cut {
				return repl.PullAnswer{}, refuse(codeInternal, "the follower is cut off")
			}
			expired = true
		case <-ctx.Done():
			return repl.PullAnswer{}, ctx.Err()
		}
	}
}

// confirm takes a pull as the confirmation of the follower's log. The caller
// holds mu.
func (s *Server) confirm(p repl.Pull) (repl.PullAnswer, error) {
	before := s.state.Quorum()
	a, err := s.state.HandlePull(p, pullLimit)
	if err != nil {
		return a, err
	}
	s.heard[p.Follower] = time.Now()
	if before.Less(s.state.Quorum()) {
		s.wake()
	}
	return a, nil
}

// pullLoop keeps the log up to date while the target follows a primary.
func (s *Server) pullLoop() {
	var l link
	defer l.close()
	for s.ctx.Err() == nil {
		if s.faults.gate(s.ctx) != nil {
			return
		}
		s.mu.Lock()
		changed := s.changed
		p, ok := s.state.NextPull()
		peer, address := s.state.Primary, s.state.PrimaryAddress
		s.mu.Unlock()
		if !ok || s.faults.isCut(peer) {
			l.close()
			select {
			case <-changed:
			case <-s.ctx.Done():
			}
			continue
		}
		sent := time.Now()
		a, err := l.pull(s, address, p)
		if err != nil {
			l.close()
			_ = sleep(s.ctx, pullPause)
			continue
		}
		if s.faults.gate(s.ctx) == nil && !s.faults.isCut(peer) {
			s.accept(p, a, sent)
		}
	}
}

// accept takes the primary's answer into the log.
func (s *Server) accept(p repl.Pull, a repl.PullAnswer, sent time.Time) {
	lag := s.faults.snapshot().lag
	s.mu.Lock()
	defer s.mu.Unlock()
	change, err := s.state.HandleAnswer(p, a)
	if err != nil {
		return
	}
	now := time.Now()
	s.contact = now
	if !a.Match {
		s.hide()
		return
	}
	if change.Truncated {
		evlog.At(s.cfg.Log, evlog.StandinRebuild).Str("target", string(s.cfg.ID)).Uint64("keep", change.KeptIndex).Send()
		s.diskResult(s.disk.rewrite(s.state.Log))
		if err := s.rebuildData(); err != nil {
			s.diskResult(err)
			return
		}
	} else {
		s.diskResult(s.disk.add(change.Added))
		for _, e := range change.Added {
			s.pending = append(s.pending, arrived{e, now.Add(lag)})
		}
	}
	s.marks = append(s.marks, mark{a.End.Index, sent})
	s.dataMu.Lock()
	index := s.applied.Index
	s.dataMu.Unlock()
	s.state.RecordApplied(index)
	s.freshen(index)
	s.showIfReady()
	if len(change.Added) > 0 || change.Truncated {
		s.wake()
	}
}

// applyLoop applies entries when they are due.
func (s *Server) applyLoop() {
	for s.ctx.Err() == nil {
		if s.faults.gate(s.ctx) != nil {
			return
		}
		s.mu.Lock()
		wait := time.Hour
		for len(s.pending) > 0 {
			if wait = time.Until(s.pending[0].due); wait > 0 {
				break
			}
			s.applyNext()
			wait = time.Hour
		}
		changed := s.changed
		s.mu.Unlock()
		t := time.NewTimer(wait)
		select {
		case <-t.C:
		case <-changed:
		case <-s.ctx.Done():
		}
		t.Stop()
	}
}

// link is a follower's connection to its primary.
type link struct {
	address string
	conn    *pgconn.PgConn
}

func (l *link) close() {
	if l.conn == nil {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), pullPause)
	defer cancel()
	_ = l.conn.Close(ctx)
	l.conn = nil
}

func (l *link) pull(s *Server, address string, p repl.Pull) (repl.PullAnswer, error) {
	ctx, cancel := context.WithTimeout(s.ctx, pullTimeout)
	defer cancel()
	var a repl.PullAnswer
	if l.conn != nil && l.address != address {
		l.close()
	}
	if l.conn == nil {
		conn, err := s.connect(ctx, address, ReplicationUser)
		if err != nil {
			return a, err
		}
		l.conn, l.address = conn, address
	}
	raw, err := json.Marshal(p)
	if err != nil {
		return a, err
	}
	res := l.conn.ExecParams(ctx, "SELECT standin_pull($1)", [][]byte{raw}, nil, nil, nil).Read()
	if res.Err != nil {
		return a, res.Err
	}
	if len(res.Rows) != 1 {
		return a, &Error{Op: "pull", Kind: KindStorage, Text: "the primary sent no answer"}
	}
	return a, json.Unmarshal(res.Rows[0][0], &a)
}

// connect opens a connection to another target.
func (s *Server) connect(ctx context.Context, address, user string) (*pgconn.PgConn, error) {
	host, port, err := net.SplitHostPort(address)
	if err != nil {
		return nil, err
	}
	n, err := strconv.ParseUint(port, 10, 16)
	if err != nil {
		return nil, err
	}
	cfg, err := pgconn.ParseConfig("sslmode=disable")
	if err != nil {
		return nil, err
	}
	cfg.Host, cfg.Port = host, uint16(n)
	cfg.User, cfg.Password, cfg.Database = user, s.cfg.Password, "standin"
	cfg.Fallbacks = nil
	cfg.DialFunc = s.cfg.Dial
	cfg.LookupFunc = func(_ context.Context, host string) ([]string, error) { return []string{host}, nil }
	return pgconn.ConnectConfig(ctx, cfg)
}
