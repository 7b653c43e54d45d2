package lead

import (
	"errors"
	"sync"
	"time"

	"chervilspan.example/internal/dbpool"
	"chervilspan.example/pkg/dbop"
	"chervilspan.example/pkg/roster"
)

const (
	// controlTimeout bounds the wait for one database's answer.
	controlTimeout = 400 * time.Millisecond
	pollInterval   = 50 * time.Millisecond
)

// controlAll sends a statement to each member at the same time.
func (mon *Monitor) controlAll(st dbop.Statement, ms []roster.Member) []reply {
	out := make([]reply, len(ms))
	var wg sync.WaitGroup
	for i := range ms {
		wg.Go(func() { out[i] = mon.control(st, &ms[i]) })
	}
	wg.Wait()
	return out
}

// control sends a statement to one database. The statement takes a slot there, so
// it is repeated while the database is busy.
func (mon *Monitor) control(st dbop.Statement, m *roster.Member) reply {
	r := reply{member: *m}
	end := time.Now().Add(2 * controlTimeout)
	for time.Now().Before(end) {
		conn, err := mon.cfg.Pools.GetLocal(time.Now().Add(controlTimeout), m, "", 0)
		if err != nil {
			if !isBusy(err) {
				return r
			}
			continue
		}
		s, a, err := conn.Control(time.Now().Add(controlTimeout), st)
		conn.Release(err == nil)
		switch {
		case err != nil:
			r.outstanding = true
			mon.cfg.Pools.CloseIdleIfSilent(m, conn.SentAt())
		case a.Code == dbop.OK:
			r.status, r.answered = s, true
			return r
		}
		time.Sleep(pollInterval)
	}
	return r
}

// isBusy reports whether a connection could not be had only because the pool or
// the database had none free.
func isBusy(err error) bool {
	var e *dbpool.Error
	return errors.As(err, &e) && (e.Kind == dbpool.KindWaitTimeout || e.Code == dbop.TooMany || e.Code == dbop.Busy)
}
