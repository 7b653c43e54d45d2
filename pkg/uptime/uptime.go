// Package uptime tells the time since the start of the machine, the time in
// which the machine was suspended included.
//
// The monotonic clock of the Go runtime stands still while a machine is
// suspended, and the time of day may be set. A right that was granted for a
// time, such as a lease, is checked against this clock, since others go on
// while this machine is suspended.
//
// # Usage
//
//	sent := uptime.Now()
//	granted := ask()
//	if granted && uptime.Now().Before(sent.Add(ttl)) {
//		// the right still holds
//	}
package uptime

import (
	"time"

	"golang.org/x/sys/unix"
)

// Now returns the time since the machine's start as a time after the Unix epoch.
// Such times compare with each other only. It falls back to the runtime's clock
// where the kernel has no such clock.
func Now() time.Time {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		return time.Now()
	}
	return time.Unix(ts.Unix())
}
