// Package guard contains panics at the goroutines that handle input from outside, so
// that one malformed message or unexpected state does not end the process.
//
// # Usage
//
//	defer guard.Recover(log, "session", id, func() { conn.Close() })
package guard

import (
	"errors"
	"fmt"
	"runtime/debug"
	"sync/atomic"

	"github.com/rs/zerolog"

	"chervilspan.example/internal/evlog"
)

var count atomic.Uint64

// Count returns the number of panics that were contained since the process started.
func Count() uint64 { return count.Load() }

// ErrPanic is the error of Call for a function that ended in a panic.
var ErrPanic = errors.New("guard: the call ended in a panic")

// Call returns the result of f. A panic of f is logged like by Recover and returned as
// ErrPanic.
func Call[T any](log zerolog.Logger, where, id string, f func() (T, error)) (out T, err error) {
	defer Recover(log, where, id, func() { err = ErrPanic })
	return f()
}

// Recover ends a panic when it is called by defer: it logs where it happened, the id of
// the request that caused it, and the stack, and then calls then unless that is nil. A
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
