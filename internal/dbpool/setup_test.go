package dbpool_test

import (
	"errors"
	"maps"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"chervilspan.example/internal/dbpool"
	"chervilspan.example/internal/linktest"
	"chervilspan.example/pkg/dbop"
	"chervilspan.example/pkg/ident"
	"chervilspan.example/pkg/roster"
)

// varsLink is a connection to a database that carries out a SET or RESET although it
// answers that it failed.
type varsLink struct {
	code dbop.Code
	vars map[string]string
	// ran has the variables in force at each read.
	ran *[]map[string]string
}

var errUnsupported = errors.New("unsupported")

func (l *varsLink) Exchange(_ time.Time, sts ...dbop.Statement) ([]dbop.Answer, error) {
	out := make([]dbop.Answer, len(sts))
	for i, st := range sts {
		switch st.Kind {
		case dbop.Set:
			l.vars[st.Name] = st.Arg
			out[i].Code = l.code
		case dbop.Reset:
			clear(l.vars)
			out[i].Code = l.code
		case dbop.Read:
			*l.ran = append(*l.ran, maps.Clone(l.vars))
		}
	}
	return out, nil
}

func (l *varsLink) Control(time.Time, dbop.Statement) (dbpool.Status, dbop.Answer, error) {
	return dbpool.Status{}, dbop.Answer{}, errUnsupported
}
func (l *varsLink) Close() error { return nil }

type varsDialer struct {
	code dbop.Code
	ran  []map[string]string
}

func (d *varsDialer) Dial(time.Time, *roster.Member, ident.Workspace) (dbpool.Link, dbop.Answer, error) {
	return &varsLink{code: d.code, vars: map[string]string{}, ran: &d.ran}, dbop.Answer{}, nil
}

// TestFailedSetup guards against a statement that runs with session values of another
// caller: a database that answers a SET with FAILED or TIMEOUT may have carried it out.
func TestFailedSetup(t *testing.T) {
	for _, code := range []dbop.Code{dbop.Failed, dbop.Timeout} {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			c := linktest.New("g", "a")
			p, m := pools(c, 4)
			d := &varsDialer{code: code}
			p.Dialer = d
			conn, err := p.Get(in(time.Second), m, "w", 1)
			is.NoErr(err)
			setup := dbpool.Setup{Vars: map[string]string{"v": "1"}}
			_, err = conn.Do(in(time.Second), setup.Statements(conn)...)
			is.NoErr(err)
			conn.Release(true) // as the engine does after a setup that was answered
			conn, err = p.Get(in(time.Second), m, "w", 2)
			is.NoErr(err)
			setup = dbpool.Setup{}
			sts := append(setup.Statements(conn), dbop.Statement{ID: "1", Kind: dbop.Read})
			_, err = conn.Do(in(time.Second), sts...)
			is.NoErr(err)
			is.Equal(d.ran, []map[string]string{{}})
		})
	}
}
