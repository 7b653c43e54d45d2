package engine

import (
	"time"

	"github.com/rs/zerolog"

	"chervilspan.example/internal/evlog"
	"chervilspan.example/pkg/access"
	"chervilspan.example/pkg/dbop"
	"chervilspan.example/pkg/ident"
)

// maxLoggedID is the number of bytes of a request's id that are logged. Callers choose the
// length.
const maxLoggedID = 100

// loggedID returns the part of a request's id that is logged.
func loggedID(id string) string { return id[:min(len(id), maxLoggedID)] }

type noMeter struct{}

func (noMeter) CountAnswer(*access.Authorization, dbop.Kind, dbop.Code, time.Duration) {}
func (noMeter) CountShed(*access.Authorization, ShedCause)                             {}
func (noMeter) CountRetry(dbop.Code)                                                   {}
func (noMeter) CountRejection(Kind)                                                    {}

// recordAnswer records an answer in the metrics and logs it unless it is a success.
func (e *Engine) recordAnswer(s *Session, c *call, a *dbop.Answer) {
	took := time.Since(c.start)
	if a.Code == dbop.Busy && c.unplaced == evacuated {
		e.evacuationRefusals.Add(1)
	}
	e.cfg.Meter.CountAnswer(&s.auth, c.st.Kind, a.Code, took)
	if a.Code == dbop.OK {
		return
	}
	if cause := c.shedCause(); cause != "" && a.Code == dbop.Busy {
		e.cfg.Meter.CountShed(&s.auth, cause)
	}
	count := 1
	if isWrong(a, c.offered) {
		if count = s.wrong.toLog(&e.wrongLines, time.Now()); count == 0 {
			return
		}
	}
	ev := evlog.RequestRefused
	if a.Code == dbop.Unknown || a.Code == dbop.Timeout {
		ev = evlog.RequestUnanswered
	}
	line := c.logPressure(evlog.At(e.cfg.Log, ev))
	if a.Code == dbop.BadKey || a.Code == dbop.NoRoute {
		line = e.logCatalogue(line)
	} else {
		line.Uint64("version", uint64(s.catalogueVersion()))
	}
	if count > 1 {
		line.Int("count", count)
	}
	line.Str("request", loggedID(c.st.ID)).Str("route", string(s.login.Route)).
		Str("workspace", string(s.auth.Workspace)).Str("code", a.Code.String()).Str("why", a.Text).
		Str("last", c.lastCode.String()).Bool("offered", c.offered).Dur("took", took).Send()
}

// logCatalogue adds the version of the catalogue in force and its age to a log line.
func (e *Engine) logCatalogue(line *zerolog.Event) *zerolog.Event {
	if idx := e.cfg.Access.Index(); idx != nil {
		line.Uint64("version", uint64(idx.Catalogue.Version))
	}
	if e.cfg.CatalogueAge != nil {
		line.Dur("age", e.cfg.CatalogueAge())
	}
	return line
}

func (s *Session) catalogueVersion() ident.Version {
	if s.index == nil {
		return 0
	}
	return s.index.Catalogue.Version
}

// recordRetry counts and logs a failed attempt that may be followed by another.
func (e *Engine) recordRetry(s *Session, c *call, target ident.Target, why dbop.Code) {
	e.cfg.Meter.CountRetry(why)
	evlog.At(e.cfg.Log, evlog.RequestRetried).Str("request", loggedID(c.st.ID)).Str("group", string(s.auth.Group)).
		Str("target", string(target)).Str("why", why.String()).Dur("left", c.remaining()).Send()
}

func (e *Engine) logLogin(r ident.Route, a *dbop.Answer) {
	n := e.loginLines.Add(time.Now())
	if n == 0 {
		return
	}
	e.logCatalogue(evlog.At(e.cfg.Log, evlog.LoginRefused)).Str("route", string(r)).Str("code", a.Code.String()).
		Str("reason", a.Text).Int("count", n).Send()
}

func (e *Engine) logIdleRollback(s *Session) {
	evlog.At(e.cfg.Log, evlog.SessionEnded).Str("workspace", string(s.auth.Workspace)).
		Str("reason", "the transaction was idle too long and is rolled back").Send()
}
