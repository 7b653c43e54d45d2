package relay

import (
	"time"

	"chervilspan.example/internal/dbpool"
	"chervilspan.example/internal/proto/peerpb"
	"chervilspan.example/pkg/dbop"
	"chervilspan.example/pkg/ident"
	"chervilspan.example/pkg/roster"
)

// toOpen returns the request for a connection, for which the lender waits until the
// deadline.
func toOpen(m *roster.Member, r *dbpool.Request, deadline time.Time) *peerpb.RelayOpen {
	return &peerpb.RelayOpen{
		Target: string(m.ID), Address: m.Address, Born: m.ProcessStart, Group: string(m.Group), Zone: string(m.Zone),
		Workspace: string(r.Workspace), Owner: uint64(r.Owner), Slots: uint32(m.Slots),
		Class: string(rankedClass(r.Scheduling)), Spent: uint32(r.Scheduling.Spent / spentUnit),
		WaitMs: uint32(max(0, time.Until(deadline).Milliseconds())),
	}
}

func fromOpen(o *peerpb.RelayOpen) *roster.Member {
	return &roster.Member{Entry: roster.Entry{
		ID: ident.Target(o.Target), Address: o.Address, ProcessStart: o.Born, Group: ident.Group(o.Group), Zone: ident.Zone(o.Zone),
		Slots: int(o.Slots),
	}}
}

func toStatements(sts []dbop.Statement) []*peerpb.RelayStatement {
	out := make([]*peerpb.RelayStatement, len(sts))
	for i := range sts {
		out[i] = toStatement(&sts[i])
	}
	return out
}

func toStatement(st *dbop.Statement) *peerpb.RelayStatement {
	return &peerpb.RelayStatement{
		Id: []byte(st.ID), Kind: uint32(st.Kind), Text: []byte(st.Text), Name: []byte(st.Name), Arg: []byte(st.Arg),
		Writes: st.Writes, AfterTerm: uint64(st.Floor.Term), AfterIndex: st.Floor.Index,
		Class: string(st.Scheduling.Class), Weight: st.Scheduling.Weight, WaitMs: uint32(st.Scheduling.MaxWait.Milliseconds()),
	}
}

func toVariables(vars map[string]string) []*peerpb.RelayVariable {
	var out []*peerpb.RelayVariable
	for name, value := range vars {
		out = append(out, &peerpb.RelayVariable{Name: []byte(name), Value: []byte(value)})
	}
	return out
}

// fromVariables returns nil when there are none.
func fromVariables(in []*peerpb.RelayVariable) map[string]string {
	var out map[string]string
	for _, v := range in {
		if out == nil {
			out = make(map[string]string, len(in))
		}
		out[string(v.Name)] = string(v.Value)
	}
	return out
}

// fromStatements returns false when the list is empty or contains a statement
// that callers can't run, such as a control statement.
func fromStatements(in []*peerpb.RelayStatement) ([]dbop.Statement, bool) {
	out := make([]dbop.Statement, len(in))
	for i, st := range in {
		if st.Kind == 0 || st.Kind > uint32(dbop.Reset) {
			return nil, false
		}
		out[i] = dbop.Statement{
			ID: string(st.Id), Kind: dbop.Kind(st.Kind), Text: string(st.Text), Name: string(st.Name), Arg: string(st.Arg),
			Writes: st.Writes, Floor: ident.Position{Term: ident.Term(st.AfterTerm), Index: st.AfterIndex},
			Scheduling: dbop.Scheduling{Class: ident.Class(st.Class), Weight: st.Weight, MaxWait: time.Duration(st.WaitMs) * time.Millisecond},
		}
	}
	return out, len(out) > 0
}

func toAnswers(in []dbop.Answer) []*peerpb.RelayAnswer {
	out := make([]*peerpb.RelayAnswer, len(in))
	for i := range in {
		out[i] = toAnswer(&in[i])
	}
	return out
}

func toAnswer(a *dbop.Answer) *peerpb.RelayAnswer {
	out := &peerpb.RelayAnswer{
		Signature: []byte(a.Signature), Code: uint32(a.Code), Text: []byte(a.Text), State: uint32(a.State),
		Term: uint64(a.Position.Term), Index: a.Position.Index,
	}
	for _, r := range a.Rows {
		out.Rows = append(out.Rows, []byte(r))
	}
	return out
}

// fromAnswers returns false when an answer has a state that is not known here.
func fromAnswers(in []*peerpb.RelayAnswer) ([]dbop.Answer, bool) {
	out := make([]dbop.Answer, len(in))
	for i := range in {
		var ok bool
		if out[i], ok = fromAnswer(in[i]); !ok {
			return nil, false
		}
	}
	return out, true
}

func fromAnswer(in *peerpb.RelayAnswer) (dbop.Answer, bool) {
	a := dbop.Answer{
		Signature: string(in.Signature), Code: fromCode(in.Code), Text: string(in.Text), State: dbop.State(in.State),
		Position: ident.Position{Term: ident.Term(in.Term), Index: in.Index},
	}
	for _, r := range in.Rows {
		a.Rows = append(a.Rows, string(r))
	}
	return a, in.State <= uint32(dbop.InError)
}

// fromCode returns dbop.Unknown for a code that is not known here, which a lender of
// another version may send. Its low bits alone could be those of dbop.OK.
func fromCode(code uint32) dbop.Code {
	if code > uint32(dbop.Malformed) {
		return dbop.Unknown
	}
	return dbop.Code(code)
}

// fromFailure returns the reason for which a lender has no connection. One that is not
// known here counts as a failure of the lender.
func fromFailure(o *peerpb.RelayOpened) *dbpool.Error {
	e := &dbpool.Error{Kind: dbpool.KindLenderFailed, Code: fromCode(o.Code)}
	if o.Failure <= uint32(dbpool.KindLenderFailed) {
		e.Kind = dbpool.Kind(o.Failure)
	}
	return e
}
