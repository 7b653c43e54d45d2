package wire

import (
	"errors"
	"strings"

	"github.com/jackc/pgx/v5/pgconn"

	"chervilspan.example/internal/conns"
	"chervilspan.example/pkg/retry"
)

// explicitFingerprint is the fingerprint of explicit transactions, whose statements
// are not known when they begin.
const explicitFingerprint = "transaction"

// runsUnderKey reports whether a unit is a whole transaction that records the
// session's idempotency key.
func (s *session) runsUnderKey(u *unit) bool {
	return s.idempotencyKey != "" && s.tx == nil && u.executesWrite && !u.controlsTx && u.end != endFlush
}

// keyRecordable reports whether the session's idempotency key, if there is one and
// the unit writes, can be recorded in the unit's transaction: the unit is a whole
// transaction, or it begins one that stays open.
func (s *session) keyRecordable(u *unit) bool {
	return s.idempotencyKey == "" || !u.executesWrite || s.runsUnderKey(u) || u.begins && !u.commits && !u.rollsBack
}

// runKeyed runs a unit in a transaction that records the idempotency key. If the
// key is already committed, the unit does not run and the recorded command tag is
// the answer.
func (s *session) runKeyed(u *unit, tx *txn) *failure {
	c := tx.conn
	c.StartWrite()
	if _, err := c.Exec("BEGIN"); err != nil {
		return s.recordKeyFailure(err)
	}
	tx.keyRecorded = true
	tag, err := c.Exec(onceCall(s.idempotencyKey, u.fingerprint(), provisionalTag))
	if err != nil {
		return s.recordKeyFailure(err)
	}
	if keyCommitted(tag) {
		return s.replay(u, tx, tag[0])
	}
	a, f := s.exchange(u, tx)
	if f != nil {
		if c.Status() == 'T' && c.Outstanding() > 0 {
			// The COMMIT was not sent, so the transaction is rolled back.
			f.err = lostError("run", "the target was lost while the statement ran", retry.NotRun, f.err)
			f.retryable = true
		}
		return f
	}
	if a.refused != nil {
		_, _ = c.Exec("ROLLBACK")
		return s.checkRefusal(u, tx, a)
	}
	// The second call replaces the provisional tag by the one with which a
	// repetition is answered.
	if _, err := c.Exec(onceCall(s.idempotencyKey, u.fingerprint(), a.lastTag) + "; COMMIT"); err != nil {
		return s.keyedCommitFailure(err)
	}
	return nil
}

// provisionalTag is recorded with a key until the command tag of the unit is known.
// An explicit transaction keeps it.
const provisionalTag = "DO"

// onceCall returns the SQL that records an idempotency key in the open transaction.
func onceCall(key, fingerprint, tag string) string {
	return "SELECT chervil_once(" + quote(key) + ", " + quote(fingerprint) + ", " + quote(tag) + ")"
}

// quote returns a string literal; standard_conforming_strings is on.
func quote(s string) string { return "'" + strings.ReplaceAll(s, "'", "''") + "'" }

// recordKeyFailure returns the failure of a unit whose idempotency key could not be
// recorded. Its outcome is "not run", because nothing of the caller's was sent.
func (s *session) recordKeyFailure(err error) *failure {
	var refused *pgconn.PgError
	if errors.As(err, &refused) && !isStateRefusal(refused.Code) {
		return &failure{err: refusedError("once", refused.Code, refused.Message, err)}
	}
	return &failure{err: refusedError("once", codeNotReady, "the idempotency key could not be recorded", err), retryable: true, sent: true}
}

// keyedCommitFailure returns the failure of a keyed unit whose COMMIT failed. Unless
// the target refused the commit itself, the unit is retried, which the key makes
// safe.
func (s *session) keyedCommitFailure(err error) *failure {
	o := retry.Unknown
	var refused *pgconn.PgError
	answered := errors.As(err, &refused) && refused.Severity == "ERROR"
	if answered && !isStateRefusal(refused.Code) {
		return &failure{err: refusedError("commit", refused.Code, refused.Message, err)}
	}
	if answered || conns.Is(err, conns.KindConnFailed) && retry.OutcomeOf(err) == retry.NotRun {
		o = retry.NotRun
	}
	return &failure{err: lostError("commit", "the target was lost while the transaction committed", o, err), retryable: true, sent: true}
}

// keyCommitted reports whether chervil_once returned the tag of a committed key.
func keyCommitted(row []string) bool { return len(row) > 0 && row[0] != "" }

// replay answers a unit whose key is already committed. That commit may not have
// reached a majority yet, so the answer is held until the majority has everything
// up to the present end of the primary's log.
func (s *session) replay(u *unit, tx *txn, tag string) *failure {
	if _, err := tx.conn.Exec("ROLLBACK"); err != nil {
		return s.keyedCommitFailure(err)
	}
	pos, err := tx.conn.LogPosition()
	if err != nil {
		return s.keyedCommitFailure(err)
	}
	tx.wrote, tx.replayedPosition = true, pos
	s.answerWithTag(u, tag)
	return nil
}

// recordKeyInTx records the session's idempotency key in an explicit transaction
// that the unit has begun. If the key is already committed, the transaction is
// aborted.
func (s *session) recordKeyInTx(u *unit, tx *txn) *Error {
	if s.idempotencyKey == "" || !u.begins || u.failed || tx.onReplica || tx.keyRecorded || tx.conn.Status() != 'T' {
		return nil
	}
	tx.keyRecorded = true
	tag, err := tx.conn.Exec(onceCall(s.idempotencyKey, explicitFingerprint, provisionalTag))
	if err == nil && !keyCommitted(tag) {
		return nil
	}
	s.idempotencyKey = ""
	s.abortTx()
	if err != nil {
		return s.recordKeyFailure(err).err
	}
	return &Error{
		Op: "once", Kind: KindRefused, Code: codeCommitted, Outcome: retry.Done,
		Text: "a transaction with this idempotency key is already committed",
	}
}
