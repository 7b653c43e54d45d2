package load

import (
	"context"
	"errors"
	"strings"
	"sync"

	"github.com/jackc/pgx/v5/pgconn"
)

// Outcome is the outcome of a statement as reported to its caller.
type Outcome uint8

// Outcomes of a statement.
const (
	OutcomeDone Outcome = iota
	OutcomeNotRun
	OutcomeUnknown
)

// String returns the outcome's name.
func (o Outcome) String() string {
	switch o {
	case OutcomeDone:
		return "done"
	case OutcomeNotRun:
		return "not_run"
	}
	return "unknown"
}

// Order is a write in the ledger.
type Order struct {
	ID      string
	Session int64
	Seq     int64
	Outcome Outcome
}

// Ledger records all writes of a run. The zero Ledger is empty. Its methods
// are safe for concurrent use.
type Ledger struct {
	mu     sync.Mutex
	orders []Order
}

func (l *Ledger) add(o Order) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.orders = append(l.orders, o)
}

// Orders returns all writes.
func (l *Ledger) Orders() []Order {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]Order(nil), l.orders...)
}

// Verdict is the result of comparing a ledger with the targets' rows. They are
// consistent when all counts but the first two are 0.
type Verdict struct {
	Orders int `json:"orders"`
	// UnknownPresent counts unknown orders that took effect.
	UnknownPresent int `json:"unknown_present"`
	// Lost counts orders that are done but absent.
	Lost int `json:"lost"`
	// Duplicated counts orders that are present more than once.
	Duplicated int `json:"duplicated"`
	// NotRunPresent counts orders that are present although they were reported
	// as not run.
	NotRunPresent int `json:"ghost"`
	// UnmatchedIDs counts ids of rows that are not in the ledger.
	UnmatchedIDs int `json:"foreign"`
}

// Consistent reports whether the rows agree with the outcomes of all orders.
func (v Verdict) Consistent() bool {
	return v.Lost == 0 && v.Duplicated == 0 && v.NotRunPresent == 0 && v.UnmatchedIDs == 0
}

// compare checks orders against the number of rows with each id.
func compare(orders []Order, rows map[string]int) Verdict {
	v := Verdict{Orders: len(orders)}
	known := make(map[string]bool, len(orders))
	for _, o := range orders {
		known[o.ID] = true
		n := rows[o.ID]
		switch {
		case n > 1:
			v.Duplicated++
		case o.Outcome == OutcomeDone && n == 0:
			v.Lost++
		case o.Outcome == OutcomeNotRun && n == 1:
			v.NotRunPresent++
		case o.Outcome == OutcomeUnknown && n == 1:
			v.UnknownPresent++
		}
	}
	for id := range rows {
		if !known[id] {
			v.UnmatchedIDs++
		}
	}
	return v
}

// classify maps an error to an outcome and a short reason: the SQLSTATE, or how
// the connection failed. A server's message says whether the statement ran.
// After a broken connection the outcome is unknown unless nothing was sent.
func classify(err error) (Outcome, string) {
	var p *pgconn.PgError
	var u *notSentError
	refused := errors.As(err, &p)
	switch {
	case err == nil:
		return OutcomeDone, ""
	case errors.As(err, &u) && refused:
		return OutcomeNotRun, p.Code
	case errors.As(err, &u):
		return OutcomeNotRun, "not_sent"
	case refused:
		if p.Code == "08007" || !strings.HasSuffix(p.Message, "not run") {
			return OutcomeUnknown, p.Code
		}
		return OutcomeNotRun, p.Code
	case pgconn.SafeToRetry(err):
		return OutcomeNotRun, "not_sent"
	case pgconn.Timeout(err), errors.Is(err, context.DeadlineExceeded):
		return OutcomeUnknown, "timeout"
	}
	return OutcomeUnknown, "broken"
}
