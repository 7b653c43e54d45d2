package relay

import (
	"time"

	"chervilspan.example/internal/dbpool"
	"chervilspan.example/internal/proto/peerpb"
	"chervilspan.example/pkg/roster"
	"chervilspan.example/pkg/speed"
)

// addSpeed adds what this VM knows about the speed of a database to the answer to a
// borrower. The lender does not know the class of the statement to come, so it
// reports the class of the connection's last one.
func (s *Server) addSpeed(out *peerpb.RelayOpened, m *roster.Member, conn *dbpool.Conn) {
	if r, ok := s.Pools.SpeedReport(m, conn); ok {
		setSpeed(out, r, m.SlotCount())
	}
}

func setSpeed(out *peerpb.RelayOpened, r speed.Report, slots int) {
	out.SpeedClass, out.ServiceUs = uint32(r.Class), uint32(r.Time.Microseconds())
	out.LimitTenths, out.SpeedAgeMs = uint32(10*r.Limit*float64(slots)+0.5), uint32(r.Age.Milliseconds())
}

// recordSpeed passes on what a lender reported about the speed of a database.
func (c *Client) recordSpeed(m *roster.Member, o *peerpb.RelayOpened) {
	if c.cfg.RecordSpeed == nil || o.SpeedClass == 0 || o.SpeedClass > 1<<16-1 {
		return
	}
	c.cfg.RecordSpeed(m.ID, speed.Report{
		Class: speed.Class(o.SpeedClass), Time: time.Duration(o.ServiceUs) * time.Microsecond,
		Age: time.Duration(o.SpeedAgeMs) * time.Millisecond, Limit: float64(o.LimitTenths) / float64(10*m.SlotCount()),
	})
}
