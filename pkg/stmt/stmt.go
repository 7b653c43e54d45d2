package stmt

import (
	"crypto/sha256"
	"sync"

	lru "github.com/hashicorp/golang-lru/v2"
)

// Kind is the effect of a statement on its session.
type Kind uint8

// Kinds of statements. KindOther stands for all statements without an effect on
// the session, among them all queries and data-modifying statements.
const (
	KindOther Kind = iota
	KindBegin
	KindCommit
	KindRollback
	// KindRollbackTo rolls back to a savepoint.
	KindRollbackTo
	// KindSet sets the session variable Name, which the proxy keeps, to Value.
	// An empty Value resets it; an empty Name resets all.
	KindSet
	// KindShow shows a variable that the proxy keeps.
	KindShow
	// KindIgnored has no effect under transaction pooling; the proxy answers it
	// with Tag.
	KindIgnored
	// KindDeallocate drops the prepared statement Name, or all if Name is empty.
	KindDeallocate
	// KindDiscardAll resets the session.
	KindDiscardAll
	// KindUnsupported is refused, mostly because it needs session state that
	// pooling does not preserve; Reason says why.
	KindUnsupported
)

// Access is the access mode of a BEGIN.
type Access uint8

// Access modes. AccessDefault means that the mode of the route applies.
const (
	AccessDefault Access = iota
	AccessReadOnly
	AccessReadWrite
)

// Info is the classification of one statement. The zero value describes a write.
type Info struct {
	Kind Kind
	// ReadOnly statements may run on a replica.
	ReadOnly bool
	Access   Access
	Name     string
	Value    string
	// Tag is the command tag of statements that the proxy answers itself.
	Tag string
	// Reason is the reason for which a statement of KindUnsupported is refused.
	Reason string
	// Taints is true for a statement that may leave session state which cannot
	// be seen in its text; the connection must be closed after the transaction.
	Taints bool
}

// AnsweredByProxy reports whether the proxy answers the statement without a
// target.
func (i Info) AnsweredByProxy() bool {
	switch i.Kind {
	case KindSet, KindShow, KindIgnored, KindDeallocate, KindDiscardAll:
		return true
	}
	return false
}

// ControlsTransaction reports whether the statement starts or ends a
// transaction.
func (i Info) ControlsTransaction() bool {
	return i.Kind == KindBegin || i.Kind == KindCommit || i.Kind == KindRollback
}

// Query is the classification of a query text, which may have several
// statements or none. It must not be modified, because a Cache shares it.
type Query struct {
	Statements []Info
}

// ReadOnly reports whether all statements only read.
func (q *Query) ReadOnly() bool {
	for _, s := range q.Statements {
		if !s.ReadOnly {
			return false
		}
	}
	return true
}

// RefusalReason returns the reason for which the query is refused, or "" if it
// is supported.
func (q *Query) RefusalReason() string {
	for _, s := range q.Statements {
		if s.Kind == KindUnsupported {
			return s.Reason
		}
		if s.AnsweredByProxy() && len(q.Statements) > 1 {
			return "a statement about the session must be sent in a query of its own"
		}
	}
	return ""
}

// Taints reports whether any statement may leave session state that cannot be
// seen in its text.
func (q *Query) Taints() bool {
	for _, s := range q.Statements {
		if s.Taints {
			return true
		}
	}
	return false
}

// ControlsTransaction reports whether any statement starts or ends a
// transaction.
func (q *Query) ControlsTransaction() bool {
	for _, s := range q.Statements {
		if s.ControlsTransaction() {
			return true
		}
	}
	return false
}

const (
	// cacheEntries is the capacity of a Cache.
	cacheEntries = 4096
	// maxCachedBytes is the length of the longest text that is cached; longer
	// ones are bulk statements, which are rarely repeated.
	maxCachedBytes = 16 << 10
)

// Cache classifies query texts and keeps the most recently used results by the
// hash of the text. The zero Cache is ready for use and safe for concurrent use
// by several goroutines.
type Cache struct {
	once sync.Once
	lru  *lru.Cache[[sha256.Size]byte, *Query]
}

// Classify returns the classification of a query text.
func (c *Cache) Classify(sql string) *Query {
	c.once.Do(func() { c.lru, _ = lru.New[[sha256.Size]byte, *Query](cacheEntries) })
	if len(sql) > maxCachedBytes {
		return Classify(sql)
	}
	key := sha256.Sum256([]byte(sql))
	if q, ok := c.lru.Get(key); ok {
		return q
	}
	q := Classify(sql)
	c.lru.Add(key, q)
	return q
}
