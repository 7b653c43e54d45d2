// Package uptime reads the time since the machine was booted, including the time
// for which it was suspended.
//
// The monotonic clock of the Go runtime stops while a machine is suspended, and the
// wall clock may be set. Rights with a limited lifetime, such as leases, are
// therefore checked against this clock: they expire for the other machines also
// while this one is suspended.
//
// # Usage
//
//	sent := uptime.Now()
//	ok := requestLease()
//	if ok && uptime.Now().Before(sent.Add(ttl)) {
//		// the lease is still valid
//	}
package uptime

import (
	"time"

	"golang.org/x/sys/unix"
)

// Now returns the time since boot as an offset from the Unix epoch. Such times can
// only be compared with each other. It falls back to time.Now where the kernel has
// no CLOCK_BOOTTIME.
func Now() time.Time {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		return time.Now()
	}
	return time.Unix(ts.Unix())
}
