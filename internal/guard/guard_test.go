package guard_test

import (
	"bytes"
	"testing"

	"github.com/matryer/is"
	"github.com/rs/zerolog"

	"chervilspan.example/internal/guard"
)

// TestRecover guards against a panic that ends the process, is not reported, or is
// followed by another one during the cleanup.
func TestRecover(t *testing.T) {
	is := is.New(t)
	var out bytes.Buffer
	log := zerolog.New(&out)
	before, cleaned := guard.Count(), false
	func() {
		defer guard.Recover(log, "session", "id-7", func() {
			cleaned = true
			panic("again")
		})
		var m map[string]int
		m["x"] = 1
	}()
	is.True(cleaned)
	is.Equal(guard.Count()-before, uint64(1))
	is.True(bytes.Contains(out.Bytes(), []byte("id-7")))
	is.True(bytes.Contains(out.Bytes(), []byte("guard_test.go"))) // the stack
	func() { defer guard.Recover(log, "session", "", nil) }()
	is.Equal(guard.Count()-before, uint64(1))
}
