package capac

import (
	"os"
	"path/filepath"
	"testing"

	"github.com/matryer/is"
)

// TestReadCounters guards against counters that are read with the wrong unit, or
// from another line.
func TestReadCounters(t *testing.T) {
	for _, c := range []struct {
		name, text, unit, key string
		want                  int64
	}{
		{"bytes", "rchar: 12\nwchar: 345\n", "", "wchar", 345},
		{"memory", "Name:\tchervild\nVmHWM:\t  900 kB\nVmRSS:\t  800 kB\n", " kB", "VmRSS", 800},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			file := filepath.Join(t.TempDir(), "io")
			is.NoErr(os.WriteFile(file, []byte(c.text), 0o600))
			got, err := readCounters(file, c.unit)
			is.NoErr(err)
			is.Equal(got[c.key], c.want)
		})
	}
}

// TestCPUTime guards against fields that shift when the program's name contains
// a space.
func TestCPUTime(t *testing.T) {
	is := is.New(t)
	dir := t.TempDir()
	is.NoErr(os.WriteFile(filepath.Join(dir, "stat"), []byte("7 (a b) S 1 2 3 4 5 6 7 8 9 10 30 12 0 0"), 0o600))
	got, err := cpuTime(dir)
	is.NoErr(err)
	is.Equal(got, 42*clockTick)
}
