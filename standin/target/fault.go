package target

import (
	"context"
	"fmt"
	"strconv"
	"sync"
	"time"

	"chervilspan.example/internal/evlog"
	"chervilspan.example/pkg/ident"
)

// Names of faults for Server.SetFault and SELECT standin_fault(name, value).
const (
	// FaultFreeze (1 or 0): the target does nothing and answers nothing, like a
	// stopped process; connections stay open.
	FaultFreeze = "freeze"
	// FaultSilence (any value): the connections now open never answer again;
	// new ones work.
	FaultSilence = "silence"
	// FaultCut (a target, or * for all): blocks replication traffic with that
	// target.
	FaultCut = "cut"
	// FaultHeal (a target, or * for all): ends a cut.
	FaultHeal = "heal"
	// FaultLag (milliseconds): see Config.Lag.
	FaultLag = "lag"
	// FaultDropCommit (a number): that many of the next commits take effect, but
	// their connection is closed without an answer.
	FaultDropCommit = "drop_commit"
	// FaultDelay (milliseconds): delays each write of answers by that time.
	FaultDelay = "delay"
	// FaultSplit (bytes): answers are written in chunks of that size.
	FaultSplit = "split"
	// FaultDisconnect (a number): closes that many of the callers' connections,
	// oldest first.
	FaultDisconnect = "disconnect"
	// FaultServiceTime (microseconds): see Config.ServiceTime.
	FaultServiceTime = "service"
	// FaultConnectDelay (milliseconds): see Config.ConnectDelay.
	FaultConnectDelay = "connect"
	// FaultSlots (a number): see Config.Slots.
	FaultSlots = "slots"
	// FaultConnLimit (a number): see Config.ConnLimit.
	FaultConnLimit = "connections"
	// FaultLeaving (1 or 0): the status reports the target as leaving.
	FaultLeaving = "leaving"
)

// faultState holds the faults in force and the settings that can change while
// the target runs.
type faultState struct {
	mu            sync.Mutex
	unfrozen      chan struct{} // nil unless the target is frozen; closed when that ends
	cutPeers      map[ident.Target]bool
	lag           time.Duration
	commitsToDrop int
	answerDelay   time.Duration
	splitSize     int
	serviceTime   time.Duration
	connectDelay  time.Duration
	connLimit     int
	leaving       bool
}

// allPeers stands for every peer in cutPeers.
const allPeers ident.Target = "*"

// SetFault sets a fault; the Fault constants document the values. It returns an
// *Error of kind KindInvalidFault for an unknown name or an invalid value.
func (s *Server) SetFault(name, value string) error {
	if err := s.applyFault(name, value); err != nil {
		return err
	}
	evlog.At(s.cfg.Log, evlog.StandinFault).Str("target", string(s.cfg.ID)).Str("fault", name).Str("value", value).Send()
	s.lockAndNotify()
	return nil
}

func (s *Server) applyFault(name, value string) error {
	switch name {
	case FaultCut, FaultHeal:
		return s.faults.setCut(name == FaultCut, value)
	case FaultSilence:
		s.eachSession(func(c *session) {
			if !c.admin {
				c.unresponsive.Store(true)
			}
		})
		return nil
	}
	n, err := strconv.Atoi(value)
	if err != nil || n < 0 {
		return &Error{Op: "fault", Kind: KindInvalidFault, Text: fmt.Sprintf("%s: %q is not a number from 0 on", name, value)}
	}
	switch name {
	case FaultSlots:
		s.slots.setLimit(n)
	case FaultDisconnect:
		s.closeOldest(n)
	}
	return s.faults.setNumber(name, n)
}

func (f *faultState) setCut(cut bool, value string) error {
	if value != string(allPeers) && ident.Check(value) != nil {
		return &Error{Op: "fault", Kind: KindInvalidFault, Text: fmt.Sprintf("%q is not a target", value)}
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	switch {
	case cut:
		if f.cutPeers == nil {
			f.cutPeers = map[ident.Target]bool{}
		}
		f.cutPeers[ident.Target(value)] = true
	case value == string(allPeers):
		f.cutPeers = nil
	default:
		delete(f.cutPeers, ident.Target(value))
	}
	return nil
}

func (f *faultState) setNumber(name string, n int) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	ms := time.Duration(n) * time.Millisecond
	switch name {
	case FaultFreeze:
		f.setFrozen(n != 0)
	case FaultLag:
		f.lag = ms
	case FaultDropCommit:
		f.commitsToDrop = n
	case FaultDelay:
		f.answerDelay = ms
	case FaultSplit:
		f.splitSize = n
	case FaultServiceTime:
		f.serviceTime = time.Duration(n) * time.Microsecond
	case FaultConnectDelay:
		f.connectDelay = ms
	case FaultConnLimit:
		f.connLimit = n
	case FaultLeaving:
		f.leaving = n != 0
	case FaultSlots, FaultDisconnect:
	default:
		return &Error{Op: "fault", Kind: KindInvalidFault, Text: fmt.Sprintf("%q is no fault", name)}
	}
	return nil
}

func (f *faultState) setFrozen(on bool) {
	switch {
	case on && f.unfrozen == nil:
		f.unfrozen = make(chan struct{})
	case !on && f.unfrozen != nil:
		close(f.unfrozen)
		f.unfrozen = nil
	}
}

// waitUnfrozen waits while the target is frozen. It fails when ctx ends first.
func (f *faultState) waitUnfrozen(ctx context.Context) error {
	for {
		f.mu.Lock()
		unfrozen := f.unfrozen
		f.mu.Unlock()
		if unfrozen == nil {
			return ctx.Err()
		}
		select {
		case <-unfrozen:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

func (f *faultState) isCut(peer ident.Target) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.cutPeers[peer] || f.cutPeers[allPeers]
}

// consumeDrop reports whether the answer to this commit must be dropped, and in
// that case decrements commitsToDrop.
func (f *faultState) consumeDrop() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.commitsToDrop == 0 {
		return false
	}
	f.commitsToDrop--
	return true
}

// values returns a copy of the settings that are plain values.
func (f *faultState) values() faultValues {
	f.mu.Lock()
	defer f.mu.Unlock()
	return faultValues{f.lag, f.answerDelay, f.splitSize, f.serviceTime, f.connectDelay, f.connLimit, f.leaving}
}

// faultValues is a copy of the plain values of faultState.
type faultValues struct {
	lag          time.Duration
	answerDelay  time.Duration
	splitSize    int
	serviceTime  time.Duration
	connectDelay time.Duration
	connLimit    int
	leaving      bool
}

// sleep waits for d unless ctx ends first.
func sleep(ctx context.Context, d time.Duration) error {
	if d <= 0 {
		return ctx.Err()
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
