package engine_test

import (
	"fmt"
	"strings"
	"testing"

	"github.com/matryer/is"

	"chervilspan.example/pkg/dbop"
)

// TestSessionState guards against a session whose variables and prepared statements use up
// the memory of the VM, or do not fit the message in which they travel to another VM, which
// is then avoided as if it had failed.
func TestSessionState(t *testing.T) {
	run(t, func(t *testing.T, f *fixture) {
		is := is.New(t)
		s := f.open(t, "primary")
		const mebibyte = 1 << 20
		for range 3 { // a value that replaces another one of its length needs no room
			is.Equal(s.run(dbop.Set, named("v", strings.Repeat("x", mebibyte/2))).Code, dbop.OK)
			is.Equal(s.run(dbop.Prepare, named("p", strings.Repeat("x", mebibyte/4))).Code, dbop.OK)
		}
		refused := 0
		for i := range 200 {
			if s.run(dbop.Set, named(fmt.Sprint("v", i), strings.Repeat("x", mebibyte/128))).Code == dbop.TooLarge {
				refused++
			}
		}
		is.Equal(refused, 200-31) // a quarter less the names
		is.Equal(s.run(dbop.Deallocate, named("p", "")).Code, dbop.OK)
		is.Equal(s.run(dbop.Set, named("w", strings.Repeat("x", mebibyte/4))).Code, dbop.OK)
		is.Equal(s.run(dbop.Write).Code, dbop.OK)
		s.end()
	})
}
