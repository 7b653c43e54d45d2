package store

import "sync"

// Epoch counts how often the store's contents have been replaced by an older copy of
// them. Everything that was written between the copy and its restoration is gone then,
// whether it had been acknowledged or not, and revisions are given out again. 0 stands
// for a store that does not count.
type Epoch int64

// Restorable is implemented by clients of stores that may be restored from an older
// copy.
type Restorable interface {
	// Epoch returns the highest epoch that an answer has shown, 0 before the first.
	Epoch() Epoch
	// Restored returns a channel that is closed when an answer shows a higher epoch
	// than the present one, unless that is 0.
	Restored() <-chan struct{}
	// LastRestoration describes the last restoration that answers have shown.
	LastRestoration() Restoration
}

// EpochOf returns the epoch that a store has shown, 0 if it shows none.
func EpochOf(s Store) Epoch {
	if r, ok := s.(Restorable); ok {
		return r.Epoch()
	}
	return 0
}

// RestoredSignal returns the channel of Restorable.Restored, nil for a store that is never
// restored.
func RestoredSignal(s Store) <-chan struct{} {
	if r, ok := s.(Restorable); ok {
		return r.Restored()
	}
	return nil
}

// FirstEpoch is the epoch of a store that has never been restored.
const FirstEpoch Epoch = 1

// Restoration is a restoration of the store as the answers to one client show it.
type Restoration struct {
	// Before and After are the epochs before and after it.
	Before, After Epoch
	// LastBefore is the last revision that was seen in the former epoch, FirstAfter
	// the first one in the new epoch; 0 if none was seen yet.
	LastBefore, FirstAfter Revision
}

// EpochTracker keeps the epoch that the answers of a store have shown. It implements
// Restorable. The zero EpochTracker has seen no answer; its methods may be called from
// several goroutines.
type EpochTracker struct {
	mu       sync.Mutex
	epoch    Epoch
	latest   Revision
	last     Restoration
	restored chan struct{}
}

// Observe records the epoch of an answer, and the store's revision if the answer has it,
// otherwise 0. It returns false when a higher epoch has been seen: the answer was given
// before a restoration, and tells nothing about the present contents.
func (t *EpochTracker) Observe(e Epoch, rev Revision) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if e < t.epoch {
		return false
	}
	if e > t.epoch {
		t.advance(e)
	}
	t.latest = max(t.latest, rev)
	if t.last.FirstAfter == 0 && t.last.After == e {
		t.last.FirstAfter = rev
	}
	return true
}

// advance moves to a higher epoch. The caller holds t.mu.
func (t *EpochTracker) advance(e Epoch) {
	if t.epoch != 0 {
		t.last = Restoration{Before: t.epoch, After: e, LastBefore: t.latest}
		if t.restored != nil {
			close(t.restored)
			t.restored = nil
		}
	}
	t.epoch, t.latest = e, 0
}

// Epoch implements Restorable.
func (t *EpochTracker) Epoch() Epoch {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.epoch
}

// LastRestoration implements Restorable.
func (t *EpochTracker) LastRestoration() Restoration {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.last
}

// Restored implements Restorable.
func (t *EpochTracker) Restored() <-chan struct{} {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.restored == nil {
		t.restored = make(chan struct{})
	}
	return t.restored
}
