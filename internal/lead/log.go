package lead

import (
	"time"

	"chervilspan.example/internal/evlog"
	"chervilspan.example/pkg/ident"
	"chervilspan.example/pkg/store"
)

func (l *Leads) logLearned(g ident.Group, id ident.Target, pos ident.Position) {
	evlog.At(l.cfg.Log, evlog.PrimaryLearned).Str("group", string(g)).Str("primary", string(id)).Str("position", pos.String()).Send()
}

func (l *Leads) logDeposed(g ident.Group, id ident.Target) {
	evlog.At(l.cfg.Log, evlog.PrimaryDeposed).Str("group", string(g)).Str("target", string(id)).Send()
}

func (l *Leads) logSuspected(g ident.Group, id ident.Target, why reason) {
	st := l.state(g)
	st.mu.Lock()
	age := time.Since(st.confirmed)
	st.mu.Unlock()
	evlog.At(l.cfg.Log, evlog.PrimarySuspected).Str("group", string(g)).Str("primary", string(id)).
		Str("reason", string(why)).Dur("lead_age", age).Send()
}

func (l *Leads) logRefuted(g ident.Group, id ident.Target) {
	evlog.At(l.cfg.Log, evlog.SuspicionRefuted).Str("group", string(g)).Str("primary", string(id)).Send()
}

func (l *Leads) logAbandoned(g ident.Group, err error) {
	evlog.At(l.cfg.Log, evlog.ElectionAbandoned).Str("group", string(g)).Err(err).Send()
}

func (l *Leads) logElected(g ident.Group, id, old ident.Target, token store.Revision) {
	evlog.At(l.cfg.Log, evlog.PrimaryElected).Str("group", string(g)).Str("primary", string(id)).
		Str("former", string(old)).Int64("token", int64(token)).Send()
}

func (l *Leads) logCall(g ident.Group, id ident.Target, err error) {
	evlog.At(l.cfg.Log, evlog.PromotionUnanswered).Str("group", string(g)).Str("target", string(id)).Err(err).Send()
}

func (l *Leads) logStore(err error) {
	evlog.At(l.cfg.Log, evlog.ClaimUnreleased).Err(err).Send()
}
