package engine_test

import (
	"encoding/binary"
	"math/bits"
	"strings"
	"testing"

	"github.com/cespare/xxhash/v2"
	"github.com/matryer/is"

	"chervilspan.example/pkg/dbop"
)

// collidingTexts returns two texts with one xxhash: a difference in the first block of 32
// bytes is undone by one in the second, since a round of that hash can be inverted.
func collidingTexts(t *testing.T) (a, b string) {
	t.Helper()
	const prime1, prime2 uint64 = 11400714785074694791, 14029467366897019727
	round := func(acc, in uint64) uint64 { return bits.RotateLeft64(acc+in*prime2, 31) * prime1 }
	inverse := uint64(1)
	for range 6 { // Newton's iteration doubles the number of correct bits
		inverse *= 2 - prime2*inverse
	}
	lane := prime1
	lane += prime2 // the first lane with seed 0, which wraps around
	text := []byte("select items of one kind and another " + strings.Repeat("x", 27))
	first, second := binary.LittleEndian.Uint64(text), binary.LittleEndian.Uint64(text[32:])
	other := []byte(string(text))
	for i := range uint64(1 << 16) {
		changed := first ^ i<<40
		if changed == first {
			continue
		}
		binary.LittleEndian.PutUint64(other, changed)
		binary.LittleEndian.PutUint64(other[32:], second+(round(lane, first)-round(lane, changed))*inverse)
		if strings.IndexFunc(string(other), func(r rune) bool { return r < ' ' || r == 0x7f }) < 0 && other[5] > ' ' {
			return string(text), string(other)
		}
	}
	t.Fatal("no collision")
	return "", ""
}

// TestCollidingPreparedStatements guards against a caller that chooses a statement whose
// name at databases is that of another caller's statement, which then runs in its place.
func TestCollidingPreparedStatements(t *testing.T) {
	run(t, func(t *testing.T, f *fixture) {
		is := is.New(t)
		mine, other := collidingTexts(t)
		is.Equal(xxhash.Sum64String(mine), xxhash.Sum64String(other))
		write := func(text string) func(*dbop.Statement) {
			return func(st *dbop.Statement) { st.Name, st.Arg, st.Writes = "p", text, true }
		}
		first, second := f.openWithKey(t, "open", ""), f.openWithKey(t, "open", "")
		is.Equal(first.run(dbop.Prepare, write(other)).Code, dbop.OK)
		is.Equal(first.run(dbop.Execute, named("p", "x")).Code, dbop.OK)
		is.Equal(second.run(dbop.Prepare, write(mine)).Code, dbop.OK)
		is.Equal(second.run(dbop.Execute, named("p", "x")).Code, dbop.OK)
		runs := f.c.Executions("a", dbop.Execute)
		is.Equal(runs[len(runs)-1].PreparedText, mine)
		first.end()
		second.end()
	})
}
