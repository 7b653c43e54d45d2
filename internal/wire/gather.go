package wire

import (
	"github.com/jackc/pgx/v5/pgproto3"

	"chervilspan.example/pkg/stmt"
)

// unitFlushBytes is the size from which gathered messages run without waiting for
// Sync. No answer is read while they are written to the target, so they must fit
// into the buffers of the connection.
const unitFlushBytes = 32 << 10

// maxPreparedStatements bounds the prepared statements of a session.
const maxPreparedStatements = 10_000

// maxPortals bounds the portals of a transaction.
const maxPortals = 10_000

// textOID is the object id of the type text.
const textOID = 25

// gather adds an extended message to the pending unit.
func (s *session) gather(m pgproto3.FrontendMessage) error {
	c, size, err := cloneMessage(m)
	if err != nil {
		return fatalError("receive", codeProtocol, "malformed message", err)
	}
	i, e := s.resolve(c)
	if e != nil {
		s.answerError(e)
		return s.out.flush()
	}
	s.pending.items = append(s.pending.items, i)
	s.pending.byteSize += size
	if s.pending.byteSize >= unitFlushBytes {
		return s.runPending(endFlush)
	}
	return nil
}

// resolve replaces the caller's names in a message by those on target connections
// and adds the message's effects to the session and the pending unit.
func (s *session) resolve(m pgproto3.FrontendMessage) (item, *Error) {
	switch m := m.(type) {
	case *pgproto3.Parse:
		return s.parse(m)
	case *pgproto3.Bind:
		return s.bind(m)
	case *pgproto3.Describe:
		return s.describe(m)
	case *pgproto3.Execute:
		return s.executePortal(m)
	case *pgproto3.Close:
		return s.closeObject(m), nil
	}
	return item{}, refusedError("receive", codeProtocol, "unexpected message", nil)
}

func (s *session) parse(m *pgproto3.Parse) (item, *Error) {
	q := s.srv.classifier.Classify(m.Query)
	if len(q.Statements) > 1 {
		return item{}, refusedError("parse", codeSyntax, "cannot insert multiple commands into a prepared statement", nil)
	}
	if reason := q.RefusalReason(); reason != "" {
		return item{}, refusedError("parse", codeUnsupported, reason, nil)
	}
	if m.Name != "" && s.stmts[m.Name] != nil {
		return item{}, refusedError("parse", codeDuplicateStatement, "the prepared statement "+m.Name+" already exists", nil)
	}
	if len(s.stmts) >= maxPreparedStatements {
		return item{}, refusedError("parse", codeTooMany, "the session has too many prepared statements", nil)
	}
	s.dropStmt(m.Name)
	if s.stmtBytes+len(m.Query) > s.srv.cfg.MaxMessageBytes {
		return item{}, refusedError("parse", codeTooMany, "the prepared statements of the session are too long", nil)
	}
	p := newPrepared(m, q)
	s.stmts[m.Name] = p
	s.stmtBytes += len(p.sql)
	s.pending.addQuery(q, false)
	i := item{msg: m, stmt: p, stmtName: m.Name}
	if p.info().AnsweredByProxy() {
		i.localAnswer = fixedAnswer(&pgproto3.ParseComplete{})
	}
	return i, nil
}

// dropStmt removes a prepared statement if there is one of the name.
func (s *session) dropStmt(name string) {
	if p := s.stmts[name]; p != nil {
		s.stmtBytes -= len(p.sql)
		delete(s.stmts, name)
	}
}

// dropStmts removes all prepared statements.
func (s *session) dropStmts() {
	clear(s.stmts)
	s.stmtBytes = 0
}

func (s *session) bind(m *pgproto3.Bind) (item, *Error) {
	p := s.stmts[m.PreparedStatement]
	if p == nil {
		return item{}, refusedError("bind", codeNoStatement, "the prepared statement "+m.PreparedStatement+" does not exist", nil)
	}
	if _, ok := s.portals[m.DestinationPortal]; !ok && len(s.portals) >= maxPortals {
		return item{}, refusedError("bind", codeTooMany, "the transaction has too many portals", nil)
	}
	s.portals[m.DestinationPortal] = p
	m.PreparedStatement = p.targetName
	s.pending.addQuery(p.classified, false)
	i := item{msg: m, stmt: p}
	if p.info().AnsweredByProxy() {
		i.localAnswer = fixedAnswer(&pgproto3.BindComplete{})
	}
	return i, nil
}

func (s *session) describe(m *pgproto3.Describe) (item, *Error) {
	p := s.portals[m.Name]
	if m.ObjectType == 'S' {
		p = s.stmts[m.Name]
	}
	if p == nil && m.ObjectType == 'S' {
		return item{}, refusedError("describe", codeNoStatement, "the prepared statement "+m.Name+" does not exist", nil)
	}
	if p == nil {
		return item{}, refusedError("describe", codeNoPortal, "the portal "+m.Name+" does not exist", nil)
	}
	s.pending.addQuery(p.classified, false)
	i := item{msg: m, stmt: p}
	if m.ObjectType == 'S' {
		m.Name = p.targetName
	}
	if p.info().AnsweredByProxy() {
		i.localAnswer = localDescription(p.info(), m.ObjectType)
	}
	return i, nil
}

// localDescription returns the proxy's answer to Describe for a statement that the
// proxy itself answers.
func localDescription(info stmt.Info, object byte) func() []pgproto3.BackendMessage {
	var list []pgproto3.BackendMessage
	if object == 'S' {
		list = append(list, &pgproto3.ParameterDescription{})
	}
	if info.Kind == stmt.KindShow {
		return fixedAnswer(append(list, rowDescription(info.Name))...)
	}
	return fixedAnswer(append(list, &pgproto3.NoData{})...)
}

func (s *session) executePortal(m *pgproto3.Execute) (item, *Error) {
	p := s.portals[m.Portal]
	if p == nil {
		return item{}, refusedError("execute", codeNoPortal, "the portal "+m.Portal+" does not exist", nil)
	}
	s.pending.addQuery(p.classified, true)
	i := item{msg: m, stmt: p}
	if info := p.info(); info.AnsweredByProxy() {
		s.applyLocal(info)
		i.localAnswer = func() []pgproto3.BackendMessage { return s.localResult(info) }
	}
	return i, nil
}

func (s *session) closeObject(m *pgproto3.Close) item {
	if m.ObjectType == 'S' {
		// Other sessions may use the statement, so it stays prepared on target
		// connections.
		s.dropStmt(m.Name)
		return item{msg: m, localAnswer: fixedAnswer(&pgproto3.CloseComplete{})}
	}
	p := s.portals[m.Name]
	delete(s.portals, m.Name)
	if p == nil || p.info().AnsweredByProxy() {
		return item{msg: m, localAnswer: fixedAnswer(&pgproto3.CloseComplete{})}
	}
	return item{msg: m}
}

func fixedAnswer(list ...pgproto3.BackendMessage) func() []pgproto3.BackendMessage {
	return func() []pgproto3.BackendMessage { return list }
}

// applyLocal executes a statement on the session's own state.
func (s *session) applyLocal(i stmt.Info) {
	switch i.Kind {
	case stmt.KindSet:
		s.setVariable(i)
	case stmt.KindDeallocate:
		if i.Name != "" {
			s.dropStmt(i.Name)
			return
		}
		s.dropStmts()
	case stmt.KindDiscardAll:
		s.dropStmts()
		clear(s.portals)
		s.setVariable(stmt.Info{})
	}
}

// setVariable sets a session variable; without a name it resets all of them.
func (s *session) setVariable(i stmt.Info) {
	switch i.Name {
	case stmt.VarIdempotencyKey:
		s.idempotencyKey = i.Value
	case stmt.VarApplicationName:
		s.applicationName = i.Value
	case "":
		s.idempotencyKey, s.applicationName = "", ""
	}
}

// localResult returns the answer to a statement on the session's own state.
func (s *session) localResult(i stmt.Info) []pgproto3.BackendMessage {
	done := &pgproto3.CommandComplete{CommandTag: []byte(i.Tag)}
	if i.Kind != stmt.KindShow {
		return []pgproto3.BackendMessage{done}
	}
	return []pgproto3.BackendMessage{&pgproto3.DataRow{Values: [][]byte{[]byte(s.variable(i.Name))}}, done}
}

func (s *session) variable(name string) string {
	switch name {
	case stmt.VarPosition:
		return s.floor.Floor().String()
	case stmt.VarIdempotencyKey:
		return s.idempotencyKey
	case stmt.VarApplicationName:
		return s.applicationName
	}
	return ""
}

func rowDescription(name string) *pgproto3.RowDescription {
	return &pgproto3.RowDescription{Fields: []pgproto3.FieldDescription{{
		Name: []byte(name), DataTypeOID: textOID, DataTypeSize: -1, TypeModifier: -1,
	}}}
}

// answerLocal answers a unit that needs no target.
func (s *session) answerLocal(u *unit) {
	if u.simpleQuery == nil {
		for _, i := range u.items {
			s.queueAll(i.localAnswer())
		}
		return
	}
	if len(u.classified.Statements) == 0 {
		s.out.add(&pgproto3.EmptyQueryResponse{})
		return
	}
	i := u.classified.Statements[0]
	s.applyLocal(i)
	if i.Kind == stmt.KindShow {
		s.out.add(rowDescription(i.Name))
	}
	s.queueAll(s.localResult(i))
}

func (s *session) queueAll(list []pgproto3.BackendMessage) {
	for _, m := range list {
		s.out.add(m)
	}
}
