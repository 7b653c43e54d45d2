package linktest

import (
	"maps"
	"strings"
	"time"

	"chervilspan.example/internal/dbpool"
	"chervilspan.example/pkg/dbop"
	"chervilspan.example/pkg/ident"
)

type link struct {
	c         *Cluster
	d         *DB
	ws        ident.Workspace
	vars      map[string]string
	prepared  map[string]string
	state     dbop.State
	readWrite bool
	wrote     bool
	closed    bool
	epoch     int
	// unacknowledged is set when a commit was not acknowledged.
	unacknowledged bool
}

// Exchange implements dbpool.Link.
func (l *link) Exchange(deadline time.Time, sts ...dbop.Statement) ([]dbop.Answer, error) {
	var out []dbop.Answer
	for i := range sts {
		if err := checkEncodable(&sts[i]); err != nil {
			return nil, err
		}
	}
	for i := range sts {
		a, ok := l.exchangeOne(&sts[i])
		if !ok {
			time.Sleep(time.Until(deadline))
			return out, ErrNoAnswer
		}
		out = append(out, a)
	}
	return out, nil
}

// MaxMessage is the maximum length of a statement, in bytes.
const MaxMessage = 1 << 20

// checkEncodable returns the error of a codec whose messages end with LF.
func checkEncodable(st *dbop.Statement) error {
	all := st.ID + st.Text + st.Name + st.Arg
	switch {
	case strings.Contains(all, "\n"):
		return dbpool.ErrNotEncodable
	case len(all) > MaxMessage:
		return dbpool.ErrTooLarge
	}
	return nil
}

// exchangeOne runs one statement. It returns false if there is no answer.
func (l *link) exchangeOne(st *dbop.Statement) (dbop.Answer, bool) {
	l.c.mu.Lock()
	took := l.d.Latency
	l.c.mu.Unlock()
	if took > 0 && (st.Kind == dbop.Read || st.Kind == dbop.Write) {
		time.Sleep(took)
	}
	l.c.mu.Lock()
	defer l.c.mu.Unlock()
	d := l.d
	if d.Silent || d.Unreachable || d.Removed || l.closed || l.epoch != d.epoch {
		return dbop.Answer{}, false
	}
	var a dbop.Answer
	if codes := d.AnswerCodes[st.Kind]; len(codes) > 0 {
		a.Code = codes[0]
		d.AnswerCodes[st.Kind] = codes[1:]
		if a.Code == dbop.Failed {
			l.recordExecution(st)
		}
		if st.Kind == dbop.Set && (a.Code == dbop.Failed || a.Code == dbop.Timeout) {
			l.vars[st.Name] = st.Arg // these codes mean that there was a run
		}
	} else {
		a = l.run(st)
	}
	if l.unacknowledged {
		return dbop.Answer{}, false
	}
	if a.Code != dbop.OK && l.state == dbop.Open {
		l.state = dbop.InError
	}
	if d.EndsTxns {
		l.state = dbop.Idle
	}
	a.State, a.Position = l.state, d.appliedPosition()
	if d.DroppedAnswers[st.Kind] > 0 {
		d.DroppedAnswers[st.Kind]--
		return a, false
	}
	return a, true
}

func (l *link) recordExecution(st *dbop.Statement) {
	l.d.Executions = append(l.d.Executions, Execution{*st, l.ws, maps.Clone(l.vars), l.state == dbop.Open, l.prepared[st.Name]})
}

func (l *link) run(st *dbop.Statement) dbop.Answer {
	d := l.d
	switch st.Kind {
	case dbop.Begin, dbop.BeginRead:
		l.readWrite = st.Kind == dbop.Begin
		if l.readWrite && !d.Primary {
			return dbop.Answer{Code: dbop.ReadOnly}
		}
		if d.position().Less(st.Floor) {
			return dbop.Answer{Code: dbop.Lagging}
		}
		l.state, l.wrote = dbop.Open, false
	case dbop.Rollback:
		l.state = dbop.Idle
	case dbop.Set:
		l.vars[st.Name] = st.Arg
	case dbop.Prepare:
		l.prepared[st.Name] = st.Arg
	case dbop.Reset:
		clear(l.vars)
		clear(l.prepared)
	case dbop.Commit, dbop.Read, dbop.Write, dbop.Execute:
		return l.runData(st)
	}
	l.recordExecution(st)
	return dbop.Answer{}
}

// runData runs a statement whose answer has the database's signature.
func (l *link) runData(st *dbop.Statement) dbop.Answer {
	d := l.d
	if l.state == dbop.Open && l.readWrite && !d.Primary || st.Kind == dbop.Write && !d.Primary {
		return dbop.Answer{Code: dbop.ReadOnly}
	}
	if st.Kind == dbop.Execute {
		if _, ok := l.prepared[st.Name]; !ok {
			return dbop.Answer{Code: dbop.NoStatement}
		}
	}
	if d.position().Less(st.Floor) {
		return dbop.Answer{Code: dbop.Lagging}
	}
	l.recordExecution(st)
	a := dbop.Answer{Signature: "sig-" + string(d.ID)}
	writes := st.IsWrite()
	switch {
	case st.Kind == dbop.Commit:
		l.state = dbop.Idle
		if l.wrote {
			l.commit()
		}
	case writes && l.state == dbop.Open:
		l.wrote = true
	case writes:
		l.commit()
	default:
		a.Rows = []string{"row"}
	}
	return a
}

// commit adds an entry to the logs of the primary and of the replicas that accept
// it.
func (l *link) commit() {
	l.d.Index++
	if l.c.replicate != nil {
		l.unacknowledged = !l.c.replicate(l.d)
		return
	}
	if l.d.Term < l.c.term {
		return // the replicas follow a newer primary
	}
	for _, r := range l.c.dbs {
		if !r.Primary && !r.Removed && !r.Unreachable && r.FenceTerm <= l.c.term && !r.Silent {
			r.Index = l.d.Index
		}
	}
}

// Control implements dbpool.Link.
func (l *link) Control(deadline time.Time, st dbop.Statement) (dbpool.Status, dbop.Answer, error) {
	l.c.mu.Lock()
	silent := l.d.Silent || l.d.Unreachable || l.d.Removed
	l.c.mu.Unlock()
	if silent {
		time.Sleep(time.Until(deadline))
		return dbpool.Status{}, dbop.Answer{}, ErrNoAnswer
	}
	l.c.mu.Lock()
	defer l.c.mu.Unlock()
	d := l.d
	if l.c.onControl != nil {
		l.c.onControl(st.Kind, d.ID)
	}
	switch st.Kind {
	case dbop.Fence:
		d.FenceTerm = st.Term
		l.c.controlLog = append(l.c.controlLog, "fence "+string(d.ID))
	case dbop.Demote:
		if d.Primary && st.Term > d.Term {
			d.Primary, d.Term = false, l.c.term
		}
		l.c.controlLog = append(l.c.controlLog, "demote "+string(d.ID))
	case dbop.Unfence:
		d.FenceTerm = 0
		l.c.controlLog = append(l.c.controlLog, "unfence "+string(d.ID))
	}
	if d.DroppedAnswers[st.Kind] > 0 {
		d.DroppedAnswers[st.Kind]--
		return dbpool.Status{}, dbop.Answer{}, ErrNoAnswer
	}
	return dbpool.Status{Primary: d.Primary, Term: d.Term, Received: d.position(), FenceTerm: d.FenceTerm}, dbop.Answer{Position: d.position()}, nil
}

// Close implements dbpool.Link.
func (l *link) Close() error {
	l.c.mu.Lock()
	defer l.c.mu.Unlock()
	if !l.closed {
		l.closed = true
		l.d.openConns--
	}
	return nil
}
