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

// Names of faults, for Server.Fault and SELECT standin_fault(name, value).
const (
	// FaultFreeze (1 or 0): the target answers nothing and does nothing, as a
	// stopped process does; connections stay open.
	FaultFreeze = "freeze"
	// FaultSilence (any value): the open connections go silent for good; new
	// ones work.
	FaultSilence = "silence"
	// FaultCut (a target, or * for all): no replication traffic with that peer.
	FaultCut = "cut"
	// FaultHeal (a target, or *): ends a cut.
	FaultHeal = "heal"
	// FaultLag (milliseconds): see Config.Lag.
	FaultLag = "lag"
	// FaultDrop (a number): so many commits take effect and their connection
	// is closed without an answer.
	FaultDropCommit = "drop_commit"
	// FaultDelay (milliseconds): every answer is sent that much later.
	FaultDelay = "delay"
	// FaultSplit (bytes): answers are written in pieces of that size.
	FaultSplit = "split"
	// FaultDisconnect (a number): so many of the callers' connections, oldest
	// first, are closed.
	FaultDisconnect = "disconnect"
	// FaultService (microseconds): see Config.ServiceTime.
	FaultServiceTime = "service"
	// FaultConnect (milliseconds): see Config.ConnectCost.
	FaultConnectDelay = "connect"
	// FaultSlots (a number): see Config.Slots.
	FaultSlots = "slots"
	// FaultConnections (a number): see Config.Connections.
	FaultConnLimit = "connections"
	// FaultLeaving (1 or 0): the status says that the target is leaving.
	FaultLeaving = "leaving"
)

// faults are the settings that change while the target runs.
type faults struct {
	mu          sync.Mutex
	thaw        chan struct{} // open while the target is frozen
	cut         map[ident.Target]bool
	lag         time.Duration
	drops       int
	delay       time.Duration
	split       int
	service     time.Duration
	connect     time.Duration
	connections int
	leaving     bool
}

// everyPeer stands for all peers in cuts.
const everyPeer ident.Target = "*"

// SetFault sets a fault; the constants say what its value means. It returns an
// *Error of kind KindFault for an unknown name or a wrong value.
func (s *Server) SetFault(name, value string) error {
	if err := s.applyFault(name, value); err != nil {
		return err
	}
	evlog.At(s.cfg.Log, evlog.StandinFault).Str("target", string(s.cfg.ID)).Str("fault", name).Str("value", value).Send()
	s.broadcast()
	return nil
}

func (s *Server) applyFault(name, value string) error {
	switch name {
	case FaultCut, FaultHeal:
		return s.faults.setCut(name == FaultCut, value)
	case FaultSilence:
		s.eachSession(func(c *session) {
			if !c.admin {
				c.silent.Store(true)
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
		s.slots.set(n)
	case FaultDisconnect:
		s.disconnect(n)
	}
	return s.faults.setNumber(name, n)
}

func (f *faults) setCut(cut bool, value string) error {
	if value != string(everyPeer) && ident.Check(value) != nil {
		return &Error{Op: "fault", Kind: KindInvalidFault, Text: fmt.Sprintf("%q is not a target", value)}
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	switch {
	case cut:
		if f.cut == nil {
			f.cut = map[ident.Target]bool{}
		}
		f.cut[ident.Target(value)] = true
	case value == string(everyPeer):
		f.cut = nil
	default:
		delete(f.cut, ident.Target(value))
	}
	return nil
}

func (f *faults) setNumber(name string, n int) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	ms := time.Duration(n) * time.Millisecond
	switch name {
	case FaultFreeze:
		f.freeze(n != 0)
	case FaultLag:
		f.lag = ms
	case FaultDropCommit:
		f.drops = n
	case FaultDelay:
		f.delay = ms
	case FaultSplit:
		f.split = n
	case FaultServiceTime:
		f.service = time.Duration(n) * time.Microsecond
	case FaultConnectDelay:
		f.connect = ms
	case FaultConnLimit:
		f.connections = n
	case FaultLeaving:
		f.leaving = n != 0
	case FaultSlots, FaultDisconnect:
	default:
		return &Error{Op: "fault", Kind: KindInvalidFault, Text: fmt.Sprintf("%q is no fault", name)}
	}
	return nil
}

func (f *faults) freeze(on bool) {
	switch {
	case on && f.thaw == nil:
		f.thaw = make(chan struct{})
	case !on && f.thaw != nil:
		close(f.thaw)
		f.thaw = nil
	}
}

// gate waits while the target is frozen. It fails when ctx ends first.
func (f *faults) gate(ctx context.Context) error {
	for {
		f.mu.Lock()
		thaw := f.thaw
		f.mu.Unlock()
		if thaw == nil {
			return ctx.Err()
		}
		select {
		case <-thaw:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

func (f *faults) isCut(peer ident.Target) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.cut[peer] || f.cut[everyPeer]
}

// takeDrop reports whether the next answer to a commit is to be dropped.
func (f *faults) takeDrop() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.drops == 0 {
		return false
	}
	f.drops--
	return true
}

// snapshot returns the settings that are plain values.
func (f *faults) snapshot() settings {
	f.mu.Lock()
	defer f.mu.Unlock()
	return settings{f.lag, f.delay, f.split, f.service, f.connect, f.connections, f.leaving}
}

type settings struct {
	lag         time.Duration
	delay       time.Duration
	split       int
	service     time.Duration
	connect     time.Duration
	connections int
	leaving     bool
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
