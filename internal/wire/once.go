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
const explicitFingerprint = "transaction"

// keyed reports whether a unit is a transaction of its own under the session's
// idempotency key.
func (s *session) runsUnderKey(u *unit) bool {
	return s.idempotencyKey != "" && s.tx == nil && u.executesWrite && !u.controlsTx && u.end != endFlush
}

// keyFits reports whether the session's key can be recorded in the transaction
// of a unit: it is one of its own, or it begins one that stays open.
func (s *session) keyRecordable(u *unit) bool {
	return s.idempotencyKey == "" || !u.executesWrite || s.runsUnderKey(u) || u.begins && !u.commits && !u.rollsBack
}

// runKeyed runs a unit in a transaction that records the key. When the key is
// already committed the unit does not run, and the answer is the recorded tag.
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
	// The second call replaces the tag that a repetition will be answered with.
	if _, err := c.Exec(onceCall(s.idempotencyKey, u.fingerprint(), a.lastTag) + "; COMMIT"); err != nil {
		return s.keyedCommitFailure(err)
	}
	return nil
}

// keyTag is recorded with a key until the tag of the work is known. A transaction
// with more than one statement keeps it.
const provisionalTag = "DO"

func onceCall(key, fingerprint, tag string) string {
	return "SELECT chervil_once(" + quote(key) + ", " + quote(fingerprint) + ", " + quote(tag) + ")"
}

// quote returns a string literal; standard_conforming_strings is on.
func quote(s string) string { return "'" + strings.ReplaceAll(s, "'", "''") + "'" }

// onceFailed says what is known when the key could not be recorded: nothing of
// the caller's was sent.
func (s *session) recordKeyFailure(err error) *failure {
	var refused *pgconn.PgError
	if errors.As(err, &refused) && !isStateRefusal(refused.Code) {
		return &failure{err: refusedError("once", refused.Code, refused.Message, err)}
	}
	return &failure{err: refusedError("once", codeNotReady, "the idempotency key could not be recorded", err), retryable: true, sent: true}
}

// commitFailed says what is known when the COMMIT of a keyed unit failed. The
// key makes it safe to run the unit again.
func (s *session) keyedCommitFailure(err error) *failure {
	o := retry.Unknown
	var refused *pgconn.PgError
	answered := errors.As(err, &refused) && refused.Severity == "ERROR"
	if answered && !isStateRefusal(refused.Code) {
		return &failure{err: refusedError("commit", refused.Code, refused.Message, err)}
	}
	if answered || conns.Is(err, conns.KindBroken) && retry.OutcomeOf(err) == retry.NotRun {
		o = retry.NotRun
	}
	return &failure{err: lostError("commit", "the target was lost while the transaction committed", o, err), retryable: true, sent: true}
}

// recorded reports whether chervil_once returned the tag of a committed key.
func keyCommitted(row []string) bool { return len(row) > 0 && row[0] != "" }

// replay answers a unit whose key is already committed. The commit may not have
// reached a majority yet, so the end of the primary's log is waited for.
func (s *session) replay(u *unit, tx *txn, tag string) *failure {
	if _, err := tx.conn.Exec("ROLLBACK"); err != nil {
		return s.keyedCommitFailure(err)
	}
	pos, err := tx.conn.Log()
	if err != nil {
		return s.keyedCommitFailure(err)
	}
	tx.wrote, tx.replayedPosition = true, pos
	s.answerWithTag(u, tag)
	return nil
}

// onceExplicit records the key in a transaction that has just begun.
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
