package lead

import (
	"time"

	"chervilspan.example/internal/evlog"
	"chervilspan.example/pkg/ident"
	"chervilspan.example/pkg/roster"
	"chervilspan.example/pkg/store"
)

func (mon *Monitor) logLearned(g ident.Group, id ident.Target, pos ident.Position) {
	evlog.At(mon.cfg.Log, evlog.PrimaryLearned).Str("group", string(g)).Str("primary", string(id)).Str("position", pos.String()).Send()
}

func (mon *Monitor) logDeposed(g ident.Group, id ident.Target) {
	evlog.At(mon.cfg.Log, evlog.PrimaryDeposed).Str("group", string(g)).Str("target", string(id)).Send()
}

func (mon *Monitor) logSuspected(g ident.Group, id ident.Target, why reason) {
	st := mon.groupState(g)
	st.mu.Lock()
	age := time.Since(st.confirmedAt)
	st.mu.Unlock()
	evlog.At(mon.cfg.Log, evlog.PrimarySuspected).Str("group", string(g)).Str("primary", string(id)).
		Str("reason", string(why)).Dur("lead_age", age).Send()
}

func (mon *Monitor) logRefuted(g ident.Group, id ident.Target) {
	evlog.At(mon.cfg.Log, evlog.SuspicionRefuted).Str("group", string(g)).Str("primary", string(id)).Send()
}

func (mon *Monitor) logAbandoned(g ident.Group, err error) {
	evlog.At(mon.cfg.Log, evlog.ElectionAbandoned).Str("group", string(g)).Err(err).Send()
}

func (mon *Monitor) logElected(g ident.Group, id, old ident.Target, token store.Revision) {
	evlog.At(mon.cfg.Log, evlog.PrimaryElected).Str("group", string(g)).Str("primary", string(id)).
		Str("former", string(old)).Int64("token", int64(token)).Send()
}

// logPromotionCalled logs a promotion call with what the databases answered to their
// fences, and with the end of the log of a primary that was demoted.
func (f *failover) logPromotionCalled(id ident.Target) {
	silent := []string{}
	for _, r := range f.statuses {
		if !r.answered {
			silent = append(silent, string(r.member.ID))
		}
	}
	e := evlog.At(f.mon.cfg.Log, evlog.PromotionCalled).Str("group", string(f.st.id)).Str("target", string(id)).Str("former", string(f.old)).
		Int64("token", int64(f.claim.token)).Str("reason", string(f.why)).Any("received", f.received()).Strs("silent", silent)
	if f.demoted {
		e = e.Str("final", f.final.String())
	}
	e.Send()
}

// logReinstated logs that a demoted primary leads again.
func (f *failover) logReinstated() {
	evlog.At(f.mon.cfg.Log, evlog.PrimaryReinstated).Str("group", string(f.st.id)).Str("primary", string(f.old)).
		Str("reason", string(f.why)).Str("final", f.final.String()).Any("received", f.received()).Send()
}

// logCommitsMissing logs that the database chosen lacks a commit above a position.
func (f *failover) logCommitsMissing(id ident.Target, received, after ident.Position) {
	evlog.At(f.mon.cfg.Log, evlog.CommitsMissing).Str("group", string(f.st.id)).Str("target", string(id)).Str("former", string(f.old)).
		Str("reason", string(f.why)).Str("received", received.String()).Str("acknowledged_after", after.String()).Send()
}

// received returns the positions that the databases last answered.
func (f *failover) received() map[string]string {
	out := map[string]string{}
	for _, r := range f.answers {
		out[string(r.member.ID)] = r.status.Received.String()
	}
	return out
}

func (mon *Monitor) logPromotionUnanswered(g ident.Group, id ident.Target, token store.Revision, err error) {
	evlog.At(mon.cfg.Log, evlog.PromotionUnanswered).Str("group", string(g)).Str("target", string(id)).Int64("token", int64(token)).Err(err).Send()
}

func (mon *Monitor) logDemoted(r *reply, term ident.Term, answered bool) {
	evlog.At(mon.cfg.Log, evlog.FormerDemoted).Str("group", string(r.member.Group)).Str("target", string(r.member.ID)).
		Uint64("its_term", uint64(r.status.Term)).Uint64("term", uint64(term)).Bool("answered", answered).Send()
}

func (mon *Monitor) logClaimUnreleased(err error) {
	evlog.At(mon.cfg.Log, evlog.ClaimUnreleased).Err(err).Send()
}

func (mon *Monitor) logInSyncRemoved(g ident.Group, ids []ident.Target) {
	evlog.At(mon.cfg.Log, evlog.InSyncRemoved).Str("group", string(g)).Any("targets", ids).Send()
}

func (mon *Monitor) logInSyncFailed(g ident.Group, err error) {
	evlog.At(mon.cfg.Log, evlog.InSyncFailed).Str("group", string(g)).Err(err).Send()
}

func (mon *Monitor) logFencesLifted(g ident.Group, ms []roster.Member) {
	ids := make([]string, len(ms))
	for i, m := range ms {
		ids[i] = string(m.ID)
	}
	evlog.At(mon.cfg.Log, evlog.FencesLifted).Str("group", string(g)).Strs("targets", ids).Send()
}

func (mon *Monitor) logCommitsHeld(g ident.Group, id ident.Target) {
	evlog.At(mon.cfg.Log, evlog.CommitsHeld).Str("group", string(g)).Str("target", string(id)).Send()
}

func (mon *Monitor) logCommitsReleased(g ident.Group, id ident.Target, after time.Duration) {
	evlog.At(mon.cfg.Log, evlog.CommitsReleased).Str("group", string(g)).Str("target", string(id)).Dur("after", after).Send()
}
