package engine_test

import (
	"fmt"
	"runtime"
	"strings"
	"testing"

	"github.com/matryer/is"

	"chervilspan.example/pkg/dbop"
)

// TestValueMemory guards against callers who fill the VM's memory by long variables and
// prepared statements, also by values of one byte that keep their whole message.
func TestValueMemory(t *testing.T) {
	run(t, func(t *testing.T, f *fixture) {
		is := is.New(t)
		long := strings.Repeat("v", 1<<18)
		set := func(s *session, k dbop.Kind, name, value string) dbop.Code {
			return s.run(k, func(st *dbop.Statement) {
				message := strings.Repeat("i", 1<<18) + name + value
				st.ID, st.Name, st.Arg = message[:1<<18], message[1<<18:][:len(name)], message[1<<18+len(name):]
			}).Code
		}
		live := func() int {
			var m runtime.MemStats
			runtime.GC()
			runtime.ReadMemStats(&m)
			return int(m.HeapAlloc)
		}
		before := live()
		var sessions []*session
		codes := map[dbop.Code]int{}
		for range 50 {
			s := f.open(t, "primary")
			sessions = append(sessions, s)
			for i := range 8 {
				codes[set(s, dbop.Set, fmt.Sprint("v", i), long)]++
				codes[set(s, dbop.Prepare, fmt.Sprint("p", i), long)]++
			}
		}
		is.True(live()-before < 40<<20)
		is.True(codes[dbop.TooLarge] > 0) // more than a session may have
		is.True(codes[dbop.Busy] > 0)     // more than the workspace may have

		last := sessions[len(sessions)-1]
		is.Equal(set(last, dbop.Set, "v", "short"), dbop.OK)
		for _, s := range sessions[:len(sessions)-1] {
			s.end()
		}
		is.Equal(set(last, dbop.Prepare, "p", long), dbop.OK)
		is.Equal(last.run(dbop.Deallocate, func(st *dbop.Statement) { st.Name = "p" }).Code, dbop.OK)
		before = live()
		for i := range 200 {
			is.Equal(set(last, dbop.Set, fmt.Sprint("s", i), "x"), dbop.OK)
		}
		is.True(live()-before < 1<<20)
		last.end()
	})
}
