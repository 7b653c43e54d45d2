// Package guard contains panics at the goroutines that handle input from outside, so
// that one malformed message or unexpected state does not end the process.
//
// # Usage
//
//	defer guard.Recover(log, "session", id, func() { conn.Close() })
package guard

import (
	"fmt"
	"runtime/debug"
	"sync/atomic"

	"github.com/rs/zerolog"

	"chervilspan.example/internal/evlog"
)

var count atomic.Uint64

// Count returns the number of panics that were contained since the process started.
func Count() uint64 { return count.Load() }

// Recover ends a panic when it is called by defer: it logs where it happened, the id of the
// request that caused it, and the stack, and then calls then unless that is nil. A
// panic of then is contained as well.
func Recover(log zerolog.Logger, where, id string, then func()) {
	v := recover()
	if v == nil {
		return
	}
	count.Add(1)
	evlog.At(log, evlog.PanicContained).Str("where", where).Str("request", id).Str("panic", fmt.Sprint(v)).
		Bytes("stack", debug.Stack()).Send()
	if then == nil {
		return
	}
	defer func() {
		if v := recover(); v != nil {
			evlog.At(log, evlog.PanicContained).Str("where", where+", cleanup").Str("request", id).Str("panic", fmt.Sprint(v)).Send()
		}
	}()
	then()
}
