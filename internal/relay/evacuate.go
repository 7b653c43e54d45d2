package relay

import (
	"slices"
	"time"

	"chervilspan.example/internal/dbpool"
	"chervilspan.example/pkg/dbop"
	"chervilspan.example/pkg/place"
	"chervilspan.example/pkg/roster"
)

// send runs statements at a database, unless its zone was evacuated. The borrower has
// checked that too, but its statements may have waited here, as when this VM was frozen.
func (s *Server) send(m *roster.Member, conn *dbpool.Conn, deadline time.Time, sts []dbop.Statement) ([]dbop.Answer, error) {
	if s.ZoneStatus == nil || !slices.ContainsFunc(sts, isRequest) || s.ZoneStatus(m.Zone) != place.Closed {
		return conn.Do(deadline, sts...)
	}
	a := dbop.Answer{Code: dbop.Busy, State: conn.State(), Text: "not run: the database's availability zone is being evacuated"}
	if a.State == dbop.Open {
		a.Code = dbop.Aborted // the borrower rolls the transaction back
	}
	return slices.Repeat([]dbop.Answer{a}, len(sts)), nil
}

// isRequest reports whether a statement does what a caller asks of a database.
func isRequest(st dbop.Statement) bool {
	switch st.Kind {
	case dbop.Read, dbop.Write, dbop.Execute, dbop.Commit:
		return true
	}
	return false
}
