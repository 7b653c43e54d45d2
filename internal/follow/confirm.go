package follow

import (
	"time"

	"chervilspan.example/internal/evlog"
	"chervilspan.example/pkg/ident"
	"chervilspan.example/pkg/store"
)

// FromStore is the source of what this VM reads from the store itself.
const FromStore = "store"

const (
	// defaultWithin is Config.Within if that is 0.
	defaultWithin = 9 * time.Second
	// lateFraction is the fraction of Config.Within after which a version that has not been
	// confirmed is reported, and asked for before a caller is refused by it.
	lateFraction = 0.75
	// confirmTimeout is how long a caller that is to be refused waits. Callers give up when
	// the answer to their first message takes 2 s.
	confirmTimeout = 700 * time.Millisecond
	// confirmPollInterval is how often it is checked meanwhile whether the version is confirmed.
	confirmPollInterval = 20 * time.Millisecond
	// confirmPause is how long callers are refused at once after a wait in vain: the VM is
	// probably cut off, or the store is down for all.
	confirmPause = 2 * time.Second
)

// Confirmation says as of when the version in force is known to have been the newest.
type Confirmation struct {
	Version ident.Version
	// Age is the time since then, 0 if the version was never confirmed.
	Age time.Duration
	// From is "store", or the address of the VM that confirmed the version; empty if
	// none did.
	From string
}

// Confirmation returns the last confirmation of the version in force.
func (f *Follower) Confirmation() Confirmation {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.confirmation()
}

// confirmation is Confirmation for a caller that holds f.mu.
func (f *Follower) confirmation() Confirmation {
	c := Confirmation{Version: f.Version(), From: f.confirmedFrom}
	if !f.confirmedAt.IsZero() {
		c.Age = f.cfg.Clock().Sub(f.confirmedAt)
	}
	return c
}

// proof says that a version was the newest: at a time, as of a revision of the store that is
// 0 if it isn't known, and by whom.
type proof struct {
	at   time.Time
	rev  store.Revision
	from string
}

// confirmFromStore records that this VM knew all versions in the store at a time, up to a
// revision. It confirms the version in force unless the store showed only an older one.
func (f *Follower) confirmFromStore(at time.Time, rev store.Revision) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.heardAt = f.cfg.Clock()
	if f.storeVersion >= f.Version() {
		f.setConfirmed(proof{at, rev, FromStore})
	}
}

// confirm records that a version was the newest, and reports whether it is still in force.
func (f *Follower) confirm(v ident.Version, p proof) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if v != f.Version() {
		return false
	}
	f.setConfirmed(p)
	return true
}

// setConfirmed moves the confirmation of the version in force on. The caller holds f.mu,
// under which that version changes.
func (f *Follower) setConfirmed(p proof) {
	if p.at.After(f.confirmedAt) {
		f.confirmedAt, f.confirmedFrom = p.at, p.from
	}
	f.confirmedRev = max(f.confirmedRev, p.rev)
}

// isUnconfirmed reports whether the last confirmation is older than it gets while the
// store and the readers answer.
func (f *Follower) isUnconfirmed() bool {
	if !f.watches() {
		return f.unconfirmedAge() > maxAnswerAge
	}
	// A confirmation is as old as the watch request that brought it, and stays the last one
	// for as long again.
	wait := f.cfg.WatchTimeout()
	return !f.StoreUp() || f.silence() > wait+answerMargin || f.unconfirmedAge() > 2*wait+answerMargin
}

// answerMargin is the time that an answer of the store takes at most while all is well.
const answerMargin = 400 * time.Millisecond

// silence returns the time since the store last answered this VM.
func (f *Follower) silence() time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.cfg.Clock().Sub(f.heardAt)
}

func (f *Follower) unconfirmedAge() time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.cfg.Clock().Sub(f.oldestConfirmation(f.confirmedAt))
}

// isLate reports whether the version in force has not been confirmed for so long that a
// newer one may soon have to be in force; it does not while the VM starts and none was ever
// confirmed. The caller holds f.mu.
func (f *Follower) isLate() bool {
	c := f.confirmation()
	return c.From != "" && c.Age > time.Duration(lateFraction*float64(f.cfg.Within))
}

// AwaitConfirmation is for a caller that is to be refused by the version in force. If that
// has not been confirmed for a part of Config.Within, it asks other VMs at once and waits
// until they confirm it or a newer one is in force, for up to confirmTimeout. It reports
// whether it has waited. Callers that come meanwhile share the wait; those that come within
// confirmPause of a wait in vain are not held.
func (f *Follower) AwaitConfirmation() bool {
	f.mu.Lock()
	if !f.isLate() || f.cfg.Clock().Sub(f.confirmFailedAt) < confirmPause {
		f.mu.Unlock()
		return false
	}
	done := f.confirming
	if done == nil {
		done = make(chan struct{})
		f.confirming = done
		go f.askAtOnce(done)
	}
	f.mu.Unlock()
	<-done
	return true
}

// askAtOnce starts a round of comparisons, and closes done when it has confirmed the version
// in force or confirmTimeout has passed.
func (f *Follower) askAtOnce(done chan struct{}) {
	f.startRound()
	late := true
	for end := time.Now().Add(confirmTimeout); late && time.Now().Before(end); {
		time.Sleep(confirmPollInterval)
		f.mu.Lock()
		late = f.isLate()
		f.mu.Unlock()
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if late {
		f.confirmFailedAt = f.cfg.Clock()
	}
	f.confirming = nil
	close(done)
}

// reportUnconfirmed logs when the version in force has not been confirmed for a part of
// the time within which a new one must be in force, and when it is confirmed again.
func (f *Follower) reportUnconfirmed() {
	f.mu.Lock()
	defer f.mu.Unlock()
	late := f.isLate()
	if late == f.lateReported {
		return
	}
	f.lateReported = late
	c := f.confirmation()
	event := evlog.CatalogueConfirmed
	if late {
		event = evlog.CatalogueUnconfirmed
	}
	evlog.At(f.cfg.Log, event).Uint64("version", uint64(c.Version)).Dur("age", c.Age).Str("confirmed_by", c.From).
		Bool("watches", f.watches()).Bool("store_up", f.storeUp.Load()).Send()
}
