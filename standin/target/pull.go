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
	// maxPullHold is how long the primary holds a pull while it has no new
	// entries.
	maxPullHold = 50 * time.Millisecond
	// pullTimeout is how long a follower waits for the answer to a pull.
	pullTimeout = 400 * time.Millisecond
	// pullRetryDelay is the delay after a failed pull.
	pullRetryDelay = 50 * time.Millisecond
	// maxPullEntries is the maximum number of entries in an answer.
	maxPullEntries = 256
)

// answerPull answers a follower's pull. It waits for up to maxPullHold for new
// entries. While the follower is cut off it gets no answer, and an error once
// that time has passed.
func (s *Server) answerPull(ctx context.Context, p repl.Pull) (repl.PullAnswer, error) {
	held := time.NewTimer(maxPullHold)
	defer held.Stop()
	expired := false
	for {
		s.mu.Lock()
		changed := s.stateChanged
		cut := s.faults.isCut(p.Follower)
		if !cut {
			a, err := s.recordPull(p)
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
				return repl.PullAnswer{}, notRunError(codeInternal, "the follower is cut off")
			}
			expired = true
		case <-ctx.Done():
			return repl.PullAnswer{}, ctx.Err()
		}
	}
}

// recordPull records which entries a pull confirms on the follower, and returns
// the answer. The caller holds mu.
func (s *Server) recordPull(p repl.Pull) (repl.PullAnswer, error) {
	before := s.state.Quorum()
	a, err := s.state.HandlePull(p, maxPullEntries)
	if err != nil {
		return a, err
	}
	s.lastPull[p.Follower] = time.Now()
	if before.Less(s.state.Quorum()) {
		s.notifyChange()
	}
	return a, nil
}

// pullLoop pulls entries while the target follows a primary.
func (s *Server) pullLoop() {
	var pc primaryConn
	defer pc.close()
	for s.ctx.Err() == nil {
		if s.faults.waitUnfrozen(s.ctx) != nil {
			return
		}
		s.mu.Lock()
		changed := s.stateChanged
		p, ok := s.state.NextPull()
		peer, address := s.state.Primary, s.state.PrimaryAddress
		s.mu.Unlock()
		if !ok || s.faults.isCut(peer) {
			pc.close()
			select {
			case <-changed:
			case <-s.ctx.Done():
			}
			continue
		}
		sent := time.Now()
		a, err := pc.pull(s, address, p)
		if err != nil {
			pc.close()
			_ = sleep(s.ctx, pullRetryDelay)
			continue
		}
		if s.faults.waitUnfrozen(s.ctx) == nil && !s.faults.isCut(peer) {
			s.handleAnswer(p, a, sent)
		}
	}
}

// handleAnswer appends the entries of the primary's answer to the log and queues
// them to be applied. It does nothing if the answer is stale.
func (s *Server) handleAnswer(p repl.Pull, a repl.PullAnswer, sent time.Time) {
	lag := s.faults.values().lag
	s.mu.Lock()
	defer s.mu.Unlock()
	change, err := s.state.HandleAnswer(p, a)
	if err != nil {
		return
	}
	now := time.Now()
	s.lastContact = now
	if !a.Match {
		s.blockReads()
		return
	}
	if change.Truncated {
		evlog.At(s.cfg.Log, evlog.StandinRebuild).Str("target", string(s.cfg.ID)).Uint64("keep", change.KeptIndex).Send()
		s.stopOnStorageError(s.disk.rewriteLog(s.state.Log))
		if err := s.resetData(); err != nil {
			s.stopOnStorageError(err)
			return
		}
	} else {
		s.stopOnStorageError(s.disk.appendEntries(change.Added))
		for _, e := range change.Added {
			s.unapplied = append(s.unapplied, unappliedEntry{e, now.Add(lag)})
		}
	}
	s.endMarks = append(s.endMarks, endMark{a.End.Index, sent})
	s.dataMu.Lock()
	index := s.applied.Index
	s.dataMu.Unlock()
	s.state.RecordApplied(index)
	s.advanceDataAge(index)
	s.allowReadsIfRebuilt()
	if len(change.Added) > 0 || change.Truncated {
		s.notifyChange()
	}
}

// applyLoop applies unapplied entries when they are due.
func (s *Server) applyLoop() {
	for s.ctx.Err() == nil {
		if s.faults.waitUnfrozen(s.ctx) != nil {
			return
		}
		s.mu.Lock()
		wait := time.Hour
		for len(s.unapplied) > 0 {
			if wait = time.Until(s.unapplied[0].due); wait > 0 {
				break
			}
			s.applyNext()
			wait = time.Hour
		}
		changed := s.stateChanged
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

// primaryConn is a follower's connection to its primary.
type primaryConn struct {
	address string
	conn    *pgconn.PgConn
}

func (pc *primaryConn) close() {
	if pc.conn == nil {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), pullRetryDelay)
	defer cancel()
	_ = pc.conn.Close(ctx)
	pc.conn = nil
}

// pull sends a pull to the primary at address and returns the answer. It opens
// a connection if there is none to that address.
func (pc *primaryConn) pull(s *Server, address string, p repl.Pull) (repl.PullAnswer, error) {
	ctx, cancel := context.WithTimeout(s.ctx, pullTimeout)
	defer cancel()
	var a repl.PullAnswer
	if pc.conn != nil && pc.address != address {
		pc.close()
	}
	if pc.conn == nil {
		conn, err := s.connect(ctx, address, ReplicationUser)
		if err != nil {
			return a, err
		}
		pc.conn, pc.address = conn, address
	}
	raw, err := json.Marshal(p)
	if err != nil {
		return a, err
	}
	res := pc.conn.ExecParams(ctx, "SELECT standin_pull($1)", [][]byte{raw}, nil, nil, nil).Read()
	if res.Err != nil {
		return a, res.Err
	}
	if len(res.Rows) != 1 {
		return a, &Error{Op: "pull", Kind: KindStorage, Text: "the primary sent no answer"}
	}
	return a, json.Unmarshal(res.Rows[0][0], &a)
}

// connect opens a connection to another target as the given user.
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
