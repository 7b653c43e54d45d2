package wiretest

import (
	"net"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"

	"github.com/jackc/pgx/v5/pgproto3"

	"chervilspan.example/pkg/ident"
)

type portal struct {
	sql    string
	params []string
}

// client is a target's side of one connection.
type client struct {
	t      *Target
	id     int
	net    net.Conn
	be     *pgproto3.Backend
	out    sync.Mutex
	status byte
	wrote  bool
	// once has the idempotency keys of the open transaction with their tags.
	once      map[string]string
	floor     ident.Position
	stmts     map[string]string
	portals   map[string]portal
	skipping  bool
	cancelled chan struct{}
	// silent drops whatever is received and sent.
	silent atomic.Bool
}

func (c *client) send(list ...pgproto3.BackendMessage) {
	if c.silent.Load() {
		return
	}
	c.out.Lock()
	defer c.out.Unlock()
	for _, m := range list {
		c.be.Send(m)
	}
	_ = c.be.Flush()
}

func (c *client) serve() {
	c.send(&pgproto3.AuthenticationOk{}, &pgproto3.BackendKeyData{ProcessID: uint32(c.id), SecretKey: []byte{1, 2, 3, 4}},
		&pgproto3.ReadyForQuery{TxStatus: 'I'})
	for {
		m, err := c.be.Receive()
		if err != nil {
			return
		}
		if !c.silent.Load() && !c.handle(m) {
			return
		}
	}
}

// ready reports the position and the status.
func (c *client) ready() {
	if c.status == 'I' && c.wrote {
		c.wrote = false
		c.t.commit(c)
	}
	c.send(&pgproto3.ParameterStatus{Name: "chervil.position", Value: c.t.Applied().String()}, &pgproto3.ReadyForQuery{TxStatus: c.status})
}

// handle serves a message; it reports false when the connection ends.
func (c *client) handle(m pgproto3.FrontendMessage) bool {
	switch m := m.(type) {
	case *pgproto3.Query:
		for _, sql := range strings.Split(m.String, ";") {
			if sql = strings.TrimSpace(sql); sql == "" {
				continue
			}
			alive, ok := c.run(sql, nil, true)
			if !alive {
				return false
			}
			if !ok {
				break
			}
		}
		c.ready()
	case *pgproto3.Sync:
		c.skipping = false
		c.ready()
	case *pgproto3.Terminate:
		return false
	default:
		return c.skipping || c.extended(m)
	}
	return true
}

func (c *client) extended(m pgproto3.FrontendMessage) bool {
	switch m := m.(type) {
	case *pgproto3.Parse:
		if c.stmts[m.Name] != "" && m.Name != "" {
			c.fail("42P05", "the statement exists")
			return true
		}
		if strings.Contains(m.Query, "syntax error") {
			c.fail("42601", "syntax error")
			return true
		}
		c.stmts[m.Name] = m.Query
		c.send(&pgproto3.ParseComplete{})
	case *pgproto3.Bind:
		c.bind(m)
	case *pgproto3.Describe:
		if m.ObjectType == 'S' {
			c.send(&pgproto3.ParameterDescription{ParameterOIDs: oids(c.stmts[m.Name])}, describe(c.stmts[m.Name]))
			return true
		}
		c.send(describe(c.portals[m.Name].sql))
	case *pgproto3.Execute:
		p := c.portals[m.Portal]
		alive, _ := c.run(p.sql, p.params, false)
		return alive
	case *pgproto3.Close:
		if m.ObjectType == 'S' {
			delete(c.stmts, m.Name)
		}
		c.send(&pgproto3.CloseComplete{})
	}
	return true
}

func (c *client) bind(m *pgproto3.Bind) {
	sql, ok := c.stmts[m.PreparedStatement]
	if !ok {
		c.fail("26000", "no such statement")
		return
	}
	p := portal{sql: sql}
	for _, v := range m.Parameters {
		p.params = append(p.params, string(v))
	}
	c.portals[m.DestinationPortal] = p
	c.send(&pgproto3.BindComplete{})
}

// oids returns text types for the parameters $1 to $9 of a statement.
func oids(sql string) []uint32 {
	const text = 25
	var list []uint32
	for i := 1; strings.Contains(sql, "$"+strconv.Itoa(i)); i++ {
		list = append(list, text)
	}
	return list
}

func describe(sql string) pgproto3.BackendMessage {
	if !strings.HasPrefix(strings.ToUpper(sql), "SELECT") {
		return &pgproto3.NoData{}
	}
	const text = 25
	return &pgproto3.RowDescription{Fields: []pgproto3.FieldDescription{{Name: []byte("c"), DataTypeOID: text, DataTypeSize: -1, TypeModifier: -1}}}
}

func (c *client) fail(code, message string) {
	if c.status == 'T' {
		c.status = 'E'
	}
	c.wrote = c.wrote && c.status != 'I'
	c.skipping = true
	c.send(&pgproto3.ErrorResponse{Severity: "ERROR", SeverityUnlocalized: "ERROR", Code: code, Message: message})
}

// run executes a statement. It reports whether the connection lives on and
// whether the statement succeeded.
func (c *client) run(sql string, params []string, simple bool) (alive, ok bool) {
	r, done := c.own(sql)
	if !done {
		r = c.call(sql, params)
	}
	if r.NoAnswer {
		_, _ = c.net.Read(make([]byte, 1)) // until the peer gives up
		return false, false
	}
	if r.Code != "" {
		c.fail(r.Code, r.Message)
		c.skipping = !simple
		return true, false
	}
	if simple && len(r.Rows) > 0 {
		c.send(describe("SELECT"))
	}
	for _, row := range r.Rows {
		c.send(&pgproto3.DataRow{Values: [][]byte{[]byte(row)}})
	}
	if r.CloseConn {
		return false, false
	}
	c.wrote = c.wrote || r.Write
	c.send(&pgproto3.CommandComplete{CommandTag: []byte(r.Tag)})
	return true, true
}

func (c *client) call(sql string, params []string) Reply {
	if c.t.Applied().Less(c.floor) {
		c.t.mu.Lock()
		c.t.refused++
		c.t.mu.Unlock()
		return Reply{Code: "CV001", Message: "behind the floor"}
	}
	if c.status == 'E' {
		return Reply{Code: "25P02", Message: "the transaction has failed"}
	}
	c.t.mu.Lock()
	call := Call{SQL: sql, Params: params, ConnID: c.id, InTx: c.status == 'T', Cancelled: c.cancelled}
	c.t.log = append(c.t.log, call)
	c.t.mu.Unlock()
	return c.t.Handle(&call)
}

// own answers the statements that every target knows.
func (c *client) own(sql string) (Reply, bool) {
	upper := strings.ToUpper(sql)
	switch {
	case strings.HasPrefix(upper, "SET CHERVIL.FLOOR"):
		c.floor, _ = ident.ParsePosition(strings.Split(sql, "'")[1])
		return Reply{Tag: "SET"}, true
	case strings.HasPrefix(upper, "SET "):
		return Reply{Tag: "SET"}, true
	case strings.HasPrefix(upper, "BEGIN"):
		if c.t.Applied().Less(c.floor) {
			return Reply{Code: "CV001", Message: "behind the floor"}, true
		}
		c.status = 'T'
		return Reply{Tag: "BEGIN"}, true
	case strings.HasPrefix(upper, "ROLLBACK TO"):
		c.status = 'T'
		return Reply{Tag: "ROLLBACK"}, true
	case strings.HasPrefix(upper, "COMMIT"), strings.HasPrefix(upper, "ROLLBACK"):
		return c.endTx(upper), true
	case strings.HasPrefix(upper, "LISTEN"):
		c.t.mu.Lock()
		c.t.listeners = append(c.t.listeners, c)
		c.t.mu.Unlock()
		return Reply{Tag: "LISTEN"}, true
	case strings.Contains(sql, "chervil_status"):
		q := c.t.position()
		if strings.Contains(sql, "log_term") {
			q = c.t.Applied()
		}
		term, index, _ := strings.Cut(q.String(), "/")
		c.send(&pgproto3.DataRow{Values: [][]byte{[]byte(term), []byte(index)}})
		return Reply{Tag: "SELECT 1"}, true
	case strings.Contains(sql, "chervil_once"):
		if tag := c.t.once(c, sql); tag != "" {
			return RowsReply(tag), true
		}
		return Reply{Tag: "SELECT 1"}, true
	}
	return Reply{}, false
}

func (c *client) endTx(upper string) Reply {
	if upper == "COMMIT" && c.t.refuseCommit() {
		c.status, c.wrote, c.once = 'I', false, nil
		return Reply{Code: "23505", Message: "a deferred constraint is violated"}
	}
	if upper == "COMMIT" && c.status == 'T' {
		c.status = 'I'
		return Reply{Tag: "COMMIT"}
	}
	c.status, c.wrote, c.once = 'I', false, nil
	return Reply{Tag: "ROLLBACK"}
}
