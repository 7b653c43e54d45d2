package stmt

import (
	"crypto/sha256"
	"sync"

	lru "github.com/hashicorp/golang-lru/v2"
)

// Kind says what a statement does to a session.
type Kind uint8

// Kinds of statements. KindOther is everything that has no effect on the
// session, among it all queries and data-modifying statements.
const (
	KindOther Kind = iota
	KindBegin
	KindCommit
	KindRollback
	// KindRollbackTo goes back to a savepoint.
	KindRollbackTo
	// KindSet sets a session variable that the proxy keeps; Name and Value
	// have it. An empty Value resets it.
	KindSet
	// KindShow shows a variable that the proxy keeps.
	KindShow
	// KindIgnored has no effect under pooling and is answered with Tag.
	KindIgnored
	// KindDeallocate drops the prepared statement Name, all when it is empty.
	KindDeallocate
	// KindDiscardAll resets the session.
	KindDiscardAll
	// KindUnsupported needs state that pooling can't carry; Reason says which.
	KindUnsupported
)

// Access is the access mode that a BEGIN names.
type Access uint8

// Access modes. AccessDefault is the route's.
const (
	AccessDefault Access = iota
	AccessReadOnly
	AccessReadWrite
)

// Info is the classification of one statement. The zero Info is a write.
type Info struct {
	Kind Kind
	// ReadOnly statements may run on a replica.
	ReadOnly bool
	Access   Access
	Name     string
	Value    string
	// Tag is the command tag of statements that the proxy answers itself.
	Tag string
	// Reason says why a statement of KindUnsupported is refused.
	Reason string
	// Taints statements may leave state behind that the classification can't
	// see; the connection must be closed after the transaction.
	Taints bool
}

// AnsweredByProxy reports whether the proxy answers the statement without a target.
func (i Info) AnsweredByProxy() bool {
	switch i.Kind {
	case KindSet, KindShow, KindIgnored, KindDeallocate, KindDiscardAll:
		return true
	}
	return false
}

// ControlsTransaction reports whether the statement starts or ends a transaction.
func (i Info) ControlsTransaction() bool {
	return i.Kind == KindBegin || i.Kind == KindCommit || i.Kind == KindRollback
}

// Query is the classification of a query text, which may have several
// statements or none. It must not be changed.
type Query struct {
	Statements []Info
}

// ReadOnly reports whether each statement only reads.
func (q *Query) ReadOnly() bool {
	for _, s := range q.Statements {
		if !s.ReadOnly {
			return false
		}
	}
	return true
}

// RefusalReason returns why the query can't run under pooling, or "".
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

// Taints reports whether a statement may leave unseen state behind.
func (q *Query) Taints() bool {
	for _, s := range q.Statements {
		if s.Taints {
			return true
		}
	}
	return false
}

// ControlsTransaction reports whether a statement starts or ends a transaction.
func (q *Query) ControlsTransaction() bool {
	for _, s := range q.Statements {
		if s.ControlsTransaction() {
			return true
		}
	}
	return false
}

const (
	// cacheEntries bounds the cache.
	cacheEntries = 4096
	// cacheText is the longest text whose classification is kept; longer ones
	// are bulk statements, which hardly repeat.
	cacheText = 16 << 10
)

// Cache classifies query texts and keeps the result by the hash of the text.
// The zero Cache is ready for use; its methods may be called from several
// goroutines.
type Cache struct {
	once sync.Once
	lru  *lru.Cache[[sha256.Size]byte, *Query]
}

// Classify returns the classification of a query text.
func (c *Cache) Classify(sql string) *Query {
	c.once.Do(func() { c.lru, _ = lru.New[[sha256.Size]byte, *Query](cacheEntries) })
	if len(sql) > cacheText {
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
