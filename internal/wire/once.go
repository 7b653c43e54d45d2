package wire

import (
	"errors"
	"strings"

	"github.com/jackc/pgx/v5/pgconn"

	"chervilspan.example/internal/conns"
	"chervilspan.example/pkg/retry"
)

// explicitPrint is the fingerprint of transactions whose statements are not
// known when they begin.
const explicitPrint = "transaction"

// keyed reports whether a unit is a transaction of its own under the session's
// idempotency key.
func (s *session) keyed(u *unit) bool {
	return s.key != "" && s.tx == nil && u.writes && !u.control && u.end != endFlush
}

// keyFits reports whether the session's key can be recorded in the transaction
// of a unit: it is one of its own, or it begins one that stays open.
func (s *session) keyFits(u *unit) bool {
	return s.key == "" || !u.writes || s.keyed(u) || u.begins && !u.commits && !u.rollback
}

// runKeyed runs a unit in a transaction that records the key. When the key is
// already committed the unit does not run, and the answer is the recorded tag.
func (s *session) runKeyed(u *unit, tx *txn) *miss {
	c := tx.conn
	c.StartWrite()
	if _, err := c.Exec("BEGIN"); err != nil {
		return s.onceFailed(err)
	}
	tx.keyed = true
	tag, err := c.Exec(onceCall(s.key, u.fingerprint(), keyTag))
	if err != nil {
		return s.onceFailed(err)
	}
	if recorded(tag) {
		return s.replay(u, tx, tag[0])
	}
	a, m := s.exchange(u, tx)
	if m != nil {
		if c.Status() == 'T' && c.Outstanding() > 0 {
			// The COMMIT was not sent, so the transaction is rolled back.
			m.err = lost("run", "the target was lost while the statement ran", retry.NotRun, m.err)
			m.again = true
		}
		return m
	}
	if a.refused != nil {
		_, _ = c.Exec("ROLLBACK")
		return s.judge(u, tx, a)
	}
	// The second call replaces the tag that a repetition will be answered with.
	if _, err := c.Exec(onceCall(s.key, u.fingerprint(), a.last) + "; COMMIT"); err != nil {
		return s.commitFailed(err)
	}
	return nil
}

// keyTag is recorded with a key until the tag of the work is known. A transaction
// with more than one statement keeps it.
const keyTag = "DO"

func onceCall(key, fingerprint, tag string) string {
	return "SELECT chervil_once(" + quote(key) + ", " + quote(fingerprint) + ", " + quote(tag) + ")"
}

// quote returns a string literal; standard_conforming_strings is on.
func quote(s string) string { return "'" + strings.ReplaceAll(s, "'", "''") + "'" }

// onceFailed says what is known when the key could not be recorded: nothing of
// the caller's was sent.
func (s *session) onceFailed(err error) *miss {
	var refused *pgconn.PgError
	if errors.As(err, &refused) && !stateRefusal(refused.Code) {
		return &miss{err: refuse("once", refused.Code, refused.Message, err)}
	}
	return &miss{err: refuse("once", codeNotReady, "the idempotency key could not be recorded", err), again: true, reached: true}
}

// commitFailed says what is known when the COMMIT of a keyed unit failed. The
// key makes it safe to run the unit again.
func (s *session) commitFailed(err error) *miss {
	o := retry.Unknown
	var refused *pgconn.PgError
	answered := errors.As(err, &refused) && refused.Severity == "ERROR"
	if answered && !stateRefusal(refused.Code) {
		return &miss{err: refuse("commit", refused.Code, refused.Message, err)}
	}
	if answered || conns.Is(err, conns.KindConnFailed) && retry.OutcomeOf(err) == retry.NotRun {
		o = retry.NotRun
	}
	return &miss{err: lost("commit", "the target was lost while the transaction committed", o, err), again: true, reached: true}
}

// recorded reports whether chervil_once returned the tag of a committed key.
func recorded(row []string) bool { return len(row) > 0 && row[0] != "" }

// replay answers a unit whose key is already committed. The commit may not have
// reached a majority yet, so the end of the primary's log is waited for.
func (s *session) replay(u *unit, tx *txn, tag string) *miss {
	if _, err := tx.conn.Exec("ROLLBACK"); err != nil {
		return s.commitFailed(err)
	}
	pos, err := tx.conn.LogPosition()
	if err != nil {
		return s.commitFailed(err)
	}
	tx.wrote, tx.replayed = true, pos
	s.answerWithout(u, tag)
	return nil
}

// onceExplicit records the key in a transaction that has just begun.
func (s *session) onceExplicit(u *unit, tx *txn) *Error {
	if s.key == "" || !u.begins || u.failed || tx.replica || tx.keyed || tx.conn.Status() != 'T' {
		return nil
	}
	tx.keyed = true
	tag, err := tx.conn.Exec(onceCall(s.key, explicitPrint, keyTag))
	if err == nil && !recorded(tag) {
		return nil
	}
	s.key = ""
	s.abandon()
	if err != nil {
		return s.onceFailed(err).err
	}
	return &Error{
		Op: "once", Kind: KindRefused, Code: codeCommitted, Outcome: retry.Done,
		Text: "a transaction with this idempotency key is already committed",
	}
}
