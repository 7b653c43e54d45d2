package lead

import (
	"time"

	"chervilspan.example/internal/evlog"
	"chervilspan.example/pkg/ident"
	"chervilspan.example/pkg/store"
)

func (l *Monitor) logLearned(g ident.Group, id ident.Target, pos ident.Position) {
	evlog.At(l.cfg.Log, evlog.PrimaryLearned).Str("group", string(g)).Str("primary", string(id)).Str("position", pos.String()).Send()
}

func (l *Monitor) logDeposed(g ident.Group, id ident.Target) {
	evlog.At(l.cfg.Log, evlog.PrimaryDeposed).Str("group", string(g)).Str("target", string(id)).Send()
}

func (l *Monitor) logSuspected(g ident.Group, id ident.Target, why reason) {
	st := l.state(g)
	st.mu.Lock()
	age := time.Since(st.confirmed)
	st.mu.Unlock()
	evlog.At(l.cfg.Log, evlog.PrimarySuspected).Str("group", string(g)).Str("primary", string(id)).
		Str("reason", string(why)).Dur("lead_age", age).Send()
}

func (l *Monitor) logRefuted(g ident.Group, id ident.Target) {
	evlog.At(l.cfg.Log, evlog.SuspicionRefuted).Str("group", string(g)).Str("primary", string(id)).Send()
}

func (l *Monitor) logAbandoned(g ident.Group, err error) {
	evlog.At(l.cfg.Log, evlog.ElectionAbandoned).Str("group", string(g)).Err(err).Send()
}

func (l *Monitor) logElected(g ident.Group, id, old ident.Target, token store.Revision) {
	evlog.At(l.cfg.Log, evlog.PrimaryElected).Str("group", string(g)).Str("primary", string(id)).
		Str("former", string(old)).Int64("token", int64(token)).Send()
}

func (l *Monitor) logCall(g ident.Group, id ident.Target, err error) {
	evlog.At(l.cfg.Log, evlog.PromotionUnanswered).Str("group", string(g)).Str("target", string(id)).Err(err).Send()
}

func (l *Monitor) logStore(err error) {
	evlog.At(l.cfg.Log, evlog.ClaimUnreleased).Err(err).Send()
}
