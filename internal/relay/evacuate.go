package relay

import (
	"slices"
	"time"

	"chervilspan.example/internal/dbpool"
	"chervilspan.example/pkg/dbop"
	"chervilspan.example/pkg/place"
	"chervilspan.example/pkg/roster"
)

// send runs statements at a database. It refuses those that take a slot once the
// database's zone is closed by an evacuation. The borrower has checked that too, but its
// statements may have waited here, as when this VM was frozen.
func (s *Server) send(m *roster.Member, conn *dbpool.Conn, deadline time.Time, sts []dbop.Statement) ([]dbop.Answer, error) {
	if s.ZoneStatus == nil || !slices.ContainsFunc(sts, takesSlot) || s.ZoneStatus(m.Zone) != place.Closed {
		return conn.Do(deadline, sts...)
	}
	a := dbop.Answer{Code: dbop.Busy, State: conn.State(), Text: "not run: the database's availability zone is being evacuated"}
	if a.State == dbop.Open {
		a.Code = dbop.Aborted // the borrower rolls the transaction back
	}
	return slices.Repeat([]dbop.Answer{a}, len(sts)), nil
}

func takesSlot(st dbop.Statement) bool { return st.Kind.TakesSlot() }
