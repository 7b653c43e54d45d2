package wire

import (
	"github.com/jackc/pgx/v5/pgproto3"

	"chervilspan.example/pkg/stmt"
)

// pieceSize is the size of gathered messages from which they run without
// waiting for Sync. A target reads them without an answer being read meanwhile,
// so they must fit into the buffers of the connection, in bytes.
const pieceSize = 32 << 10

// maxStatements bounds a session's prepared statements.
const maxStatements = 10_000

// textOID is the type of text columns.
const textOID = 25

// gather adds an extended message to the present unit.
func (s *session) gather(m pgproto3.FrontendMessage) error {
	c, size, err := clone(m)
	if err != nil {
		return fatal("receive", codeProtocol, "malformed message", err)
	}
	i, e := s.item(c)
	if e != nil {
		s.fail(e)
		return s.out.flush()
	}
	s.batch.items = append(s.batch.items, i)
	s.batch.size += size
	if s.batch.size >= pieceSize {
		return s.runBatch(endFlush)
	}
	return nil
}

// item resolves the names in a message and notes what it does.
func (s *session) item(m pgproto3.FrontendMessage) (item, *Error) {
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
	return item{}, refuse("receive", codeProtocol, "unexpected message", nil)
}

func (s *session) parse(m *pgproto3.Parse) (item, *Error) {
	q := s.srv.classes.Classify(m.Query)
	if len(q.Statements) > 1 {
		return item{}, refuse("parse", codeSyntax, "cannot insert multiple commands into a prepared statement", nil)
	}
	if reason := q.RefusalReason(); reason != "" {
		return item{}, refuse("parse", codeUnsupported, reason, nil)
	}
	if m.Name != "" && s.stmts[m.Name] != nil {
		return item{}, refuse("parse", codeDuplicate, "the prepared statement "+m.Name+" already exists", nil)
	}
	if len(s.stmts) >= maxStatements {
		return item{}, refuse("parse", codeQueue, "the session has too many prepared statements", nil)
	}
	p := newPrepared(m, q)
	s.stmts[m.Name] = p
	s.batch.note(q, false)
	i := item{msg: m, stmt: p, name: m.Name}
	if p.info().AnsweredByProxy() {
		i.local = answerWith(&pgproto3.ParseComplete{})
	}
	return i, nil
}

func (s *session) bind(m *pgproto3.Bind) (item, *Error) {
	p := s.stmts[m.PreparedStatement]
	if p == nil {
		return item{}, refuse("bind", codeNoStatement, "the prepared statement "+m.PreparedStatement+" does not exist", nil)
	}
	s.portals[m.DestinationPortal] = p
	m.PreparedStatement = p.name
	s.batch.note(p.query, false)
	i := item{msg: m, stmt: p}
	if p.info().AnsweredByProxy() {
		i.local = answerWith(&pgproto3.BindComplete{})
	}
	return i, nil
}

func (s *session) describe(m *pgproto3.Describe) (item, *Error) {
	p := s.portals[m.Name]
	if m.ObjectType == 'S' {
		p = s.stmts[m.Name]
	}
	if p == nil && m.ObjectType == 'S' {
		return item{}, refuse("describe", codeNoStatement, "the prepared statement "+m.Name+" does not exist", nil)
	}
	if p == nil {
		return item{}, refuse("describe", codeNoPortal, "the portal "+m.Name+" does not exist", nil)
	}
	s.batch.note(p.query, false)
	i := item{msg: m, stmt: p}
	if m.ObjectType == 'S' {
		m.Name = p.name
	}
	if p.info().AnsweredByProxy() {
		i.local = describeLocal(p.info(), m.ObjectType)
	}
	return i, nil
}

func describeLocal(info stmt.Info, object byte) func() []pgproto3.BackendMessage {
	var list []pgproto3.BackendMessage
	if object == 'S' {
		list = append(list, &pgproto3.ParameterDescription{})
	}
	if info.Kind == stmt.KindShow {
		return answerWith(append(list, rowDescription(info.Name))...)
	}
	return answerWith(append(list, &pgproto3.NoData{})...)
}

func (s *session) executePortal(m *pgproto3.Execute) (item, *Error) {
	p := s.portals[m.Portal]
	if p == nil {
		return item{}, refuse("execute", codeNoPortal, "the portal "+m.Portal+" does not exist", nil)
	}
	s.batch.note(p.query, true)
	i := item{msg: m, stmt: p}
	if info := p.info(); info.AnsweredByProxy() {
		s.apply(info)
		i.local = func() []pgproto3.BackendMessage { return s.result(info) }
	}
	return i, nil
}

func (s *session) closeObject(m *pgproto3.Close) item {
	if m.ObjectType == 'S' {
		// Other sessions may use the statement, so it stays on connections.
		delete(s.stmts, m.Name)
		return item{msg: m, local: answerWith(&pgproto3.CloseComplete{})}
	}
	p := s.portals[m.Name]
	delete(s.portals, m.Name)
	if p == nil || p.info().AnsweredByProxy() {
		return item{msg: m, local: answerWith(&pgproto3.CloseComplete{})}
	}
	return item{msg: m}
}

func answerWith(list ...pgproto3.BackendMessage) func() []pgproto3.BackendMessage {
	return func() []pgproto3.BackendMessage { return list }
}

// apply carries out a statement about the session.
func (s *session) apply(i stmt.Info) {
	switch i.Kind {
	case stmt.KindSet:
		s.set(i)
	case stmt.KindDeallocate:
		if i.Name != "" {
			delete(s.stmts, i.Name)
			return
		}
		clear(s.stmts)
	case stmt.KindDiscardAll:
		clear(s.stmts)
		clear(s.portals)
		s.set(stmt.Info{})
	}
}

func (s *session) set(i stmt.Info) {
	switch i.Name {
	case stmt.VarIdempotencyKey:
		s.key = i.Value
	case stmt.VarApplicationName:
		s.app = i.Value
	case "":
		s.key, s.app = "", ""
	}
}

// result returns the answer to a statement about the session.
func (s *session) result(i stmt.Info) []pgproto3.BackendMessage {
	done := &pgproto3.CommandComplete{CommandTag: []byte(i.Tag)}
	if i.Kind != stmt.KindShow {
		return []pgproto3.BackendMessage{done}
	}
	return []pgproto3.BackendMessage{&pgproto3.DataRow{Values: [][]byte{[]byte(s.show(i.Name))}}, done}
}

func (s *session) show(name string) string {
	switch name {
	case stmt.VarPosition:
		return s.floor.Floor().String()
	case stmt.VarIdempotencyKey:
		return s.key
	case stmt.VarApplicationName:
		return s.app
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
	if u.simple == nil {
		for _, i := range u.items {
			s.emit(i.local())
		}
		return
	}
	if len(u.query.Statements) == 0 {
		s.out.add(&pgproto3.EmptyQueryResponse{})
		return
	}
	i := u.query.Statements[0]
	s.apply(i)
	if i.Kind == stmt.KindShow {
		s.out.add(rowDescription(i.Name))
	}
	s.emit(s.result(i))
}

func (s *session) emit(list []pgproto3.BackendMessage) {
	for _, m := range list {
		s.out.add(m)
	}
}
