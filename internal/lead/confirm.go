package lead

import (
	"sync"
	"time"

	"chervilspan.example/pkg/dbop"
	"chervilspan.example/pkg/ident"
	"chervilspan.example/pkg/rindex"
	"chervilspan.example/pkg/roster"
)

// roundTimeout bounds the wait of a round for answers. It is longer than a round trip
// between regions. questionTimeout is how long the connection of a question is kept.
const (
	roundTimeout    = 200 * time.Millisecond
	questionTimeout = time.Second
)

// skipFailedPeriod is how long a database that could not be reached is left out of
// rounds.
const skipFailedPeriod = 5 * time.Second

// roundRetryDelay is the delay before another round after one that showed neither
// that the primary is current nor that it is replaced.
const roundRetryDelay = 30 * time.Millisecond

// proof says that a database had not been replaced as the primary at a time, by
// Config.Clock.
type proof struct {
	id ident.Target
	at time.Time
}

// report is a position that a database reported as a primary in answer to a request.
// It is the position of the group's primary if a round that starts later confirms the
// database.
type report struct {
	id   ident.Target
	pos  ident.Position
	sent time.Time
}

// round asks all databases of a group whether a presumed primary is still the only
// one. All reads that began before its start share the result.
type round struct {
	id        ident.Target
	startedAt time.Time
	// reported is a report of the database just before the start; zero if there is none.
	reported report
	// done is closed when verdict is set.
	done    chan struct{}
	verdict rindex.Verdict
}

// RequestConfirmation implements engine.Primaries.
func (mon *Monitor) RequestConfirmation(g ident.Group, id ident.Target, since time.Time) {
	if mon.cfg.Unfenced {
		mon.currentRound(mon.groupState(g), id, since)
	}
}

// AwaitConfirmation implements engine.Primaries.
func (mon *Monitor) AwaitConfirmation(deadline time.Time, g ident.Group, id ident.Target, since time.Time) bool {
	if !mon.cfg.Unfenced {
		return true
	}
	st := mon.groupState(g)
	t := time.NewTimer(time.Until(deadline))
	defer t.Stop()
	for {
		r := mon.currentRound(st, id, since)
		if r == nil {
			return true
		}
		select {
		case <-r.done:
		case <-t.C:
			return false
		}
		if r.id != id || r.startedAt.Before(since) {
			continue
		}
		if r.verdict == rindex.Superseded || time.Until(deadline) < roundRetryDelay {
			return r.verdict == rindex.Confirmed
		}
		if r.verdict == rindex.Unknown {
			time.Sleep(roundRetryDelay)
		}
	}
}

// currentRound returns the running round, after starting one if there is none. It
// returns nil if a database is known to have been the primary at since or later.
func (mon *Monitor) currentRound(st *groupState, id ident.Target, since time.Time) *round {
	st.mu.Lock()
	defer st.mu.Unlock()
	if st.proof.id == id && !st.proof.at.Before(since) {
		return nil
	}
	if st.round == nil {
		mon.startRound(st, id, time.Time{})
	}
	return st.round
}

// startRound starts a round that uses a report sent at minSent or later, or asks the
// presumed primary too. The caller holds st.mu, and no round is running.
func (mon *Monitor) startRound(st *groupState, id ident.Target, minSent time.Time) {
	r := &round{id: id, startedAt: mon.cfg.Clock(), done: make(chan struct{})}
	// The last report spares the question to the primary, whose connections are the
	// most sought after: the round needs only the term of its log.
	if p := st.reported; p.id == id && !p.sent.Before(minSent) {
		r.reported = p
	}
	st.round = r
	go mon.runRound(st, r)
}

// requestPosition starts a round, unless one is running, whose position was reported
// since a time.
func (mon *Monitor) requestPosition(st *groupState, id ident.Target, since time.Time) {
	st.mu.Lock()
	defer st.mu.Unlock()
	if st.round == nil {
		mon.startRound(st, id, since)
	}
}

// runRound runs a round and records its result.
func (mon *Monitor) runRound(st *groupState, r *round) {
	own, answers := mon.askAll(st, r)
	verdict := rindex.Unknown
	if own.Code == dbop.OK {
		verdict = rindex.Decide(own.Position, answers, mon.cfg.SyncReplicas(st.id))
	}
	switch {
	case own.Code == dbop.ReadOnly:
		mon.Depose(st.id, r.id)
		verdict = rindex.Superseded
	case verdict == rindex.Superseded, verdict == rindex.Contested:
		verdict = mon.resolve(st, r.id)
	}
	if verdict == rindex.Confirmed {
		st.recordPosition(r, own.Position)
		if r.reported.id != r.id {
			st.recordPrimary(r.id, mon.cfg.Clock()) // it has answered
		}
	}
	st.mu.Lock()
	r.verdict, st.round = verdict, nil
	if verdict == rindex.Confirmed {
		st.proof = proof{r.id, r.startedAt}
		st.wakeWaiters()
	}
	st.mu.Unlock()
	close(r.done)
}

// recordPosition records the position of a primary that a round confirmed: the one that
// it reported in the round, or else the last one before.
func (st *groupState) recordPosition(r *round, pos ident.Position) {
	sent := r.startedAt
	if r.reported.id == r.id {
		sent = r.reported.sent
	}
	if !pos.IsZero() {
		st.positions.Confirm(pos, sent)
	}
}

// refreshFraction is the part of the accepted age after which a position is replaced
// by a newer one in the background, so that reads find one that replicas have had time
// to apply.
const refreshFraction = 2.0 / 3

// refreshConfirmation starts a round if the last position is old compared with the age
// that a read accepts, which begins at since.
func (mon *Monitor) refreshConfirmation(st *groupState, since time.Time) {
	if !mon.cfg.Unfenced {
		return
	}
	now := mon.cfg.Clock()
	_, last := st.positions.Latest()
	if now.Sub(last) < time.Duration(refreshFraction*float64(now.Sub(since))) {
		return
	}
	if id, ok := mon.cfg.Roster.Primary(st.id); ok {
		mon.requestPosition(st, id, last.Add(1))
	}
}

// askAll asks all databases of a group to begin a read-write transaction, and those
// that refuse for their status when others are silent. It returns the answer of the
// presumed primary and those of the others. A database that has left as planned is
// not asked: its log is gone.
func (mon *Monitor) askAll(st *groupState, r *round) (own dbop.Answer, others []rindex.Answer) {
	var members []roster.Member
	for _, m := range mon.cfg.Roster.AllMembers(st.id) {
		if m.ID != r.id && (m.MissingSince.IsZero() || !m.Leaving) {
			members = append(members, m)
		}
	}
	own = dbop.Answer{Code: dbop.Unknown}
	if r.reported.id == r.id {
		own = dbop.Answer{Position: r.reported.pos}
	} else if m, ok := mon.cfg.Roster.Member(st.id, r.id); ok {
		members = append(members, m)
	}
	answers := mon.askBegins(st, members, r.id)
	others = make([]rindex.Answer, 0, len(members))
	for i, a := range answers {
		if members[i].ID == r.id {
			own, members = a, members[:i]
			break
		}
		others = append(others, refusalOf(a))
	}
	if rindex.NeedsStatus(others, mon.cfg.SyncReplicas(st.id)) {
		mon.askStatuses(members, others)
	}
	return own, others
}

// refusalOf converts the answer to the start of a transaction.
func refusalOf(a dbop.Answer) rindex.Answer {
	if a.Code != dbop.OK && a.Code != dbop.ReadOnly {
		return rindex.Answer{}
	}
	return rindex.Answer{Answered: true, Primary: a.Code == dbop.OK, Position: a.Position}
}

// askStatuses replaces the answers of the replicas that refused by their statuses.
func (mon *Monitor) askStatuses(members []roster.Member, answers []rindex.Answer) {
	var wg sync.WaitGroup
	for i := range members {
		if answers[i].Answered && !answers[i].Primary {
			wg.Go(func() { answers[i] = toAnswer(mon.control(dbop.Statement{Kind: dbop.Status}, &members[i])) })
		}
	}
	wg.Wait()
}

// askBegins asks databases to begin a read-write transaction and returns what they
// answered within roundTimeout, in their order; primary is the presumed primary. A
// question that takes longer goes on: giving up its connection would cost the database
// a new one, and a database that answers late for its load would get slower still.
func (mon *Monitor) askBegins(st *groupState, ms []roster.Member, primary ident.Target) []dbop.Answer {
	type indexed struct {
		i int
		a dbop.Answer
	}
	out := make([]dbop.Answer, len(ms))
	results := make(chan indexed, len(ms))
	waiting := 0
	for i := range ms {
		out[i].Code = dbop.Unknown
		if ms[i].ID != primary && recentlyFailed(&ms[i]) || !st.beginQuestion(ms[i].ID) {
			continue
		}
		waiting++
		go func() {
			a, _, _ := mon.askBegin(&ms[i], questionTimeout) // the code tells of an error
			st.endQuestion(ms[i].ID)
			results <- indexed{i, a}
		}()
	}
	t := time.NewTimer(roundTimeout)
	defer t.Stop()
	for ; waiting > 0; waiting-- {
		select {
		case r := <-results:
			out[r.i] = r.a
		case <-t.C:
			return out
		}
	}
	return out
}

// recentlyFailed reports whether a database could not be reached a short time ago and
// has accepted no connection since. Reads would wait for it again and again.
func recentlyFailed(m *roster.Member) bool {
	return !m.FailedAt.IsZero() && time.Since(m.FailedAt) < skipFailedPeriod
}

// beginQuestion reports whether a database may be asked: no earlier question of a round
// is unanswered.
func (st *groupState) beginQuestion(id ident.Target) bool {
	st.mu.Lock()
	defer st.mu.Unlock()
	if st.questions[id] {
		return false
	}
	if st.questions == nil {
		st.questions = map[ident.Target]bool{}
	}
	st.questions[id] = true
	return true
}

func (st *groupState) endQuestion(id ident.Target) {
	st.mu.Lock()
	defer st.mu.Unlock()
	delete(st.questions, id)
}

// toAnswer converts a status.
func toAnswer(r reply) rindex.Answer {
	return rindex.Answer{Answered: r.answered, Primary: r.status.Primary, Position: r.status.Received, Received: true}
}
