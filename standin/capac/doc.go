// Package capac measures the resource usage of daemons, as separate processes on
// loopback: the memory per idle client connection, the CPU time per statement,
// and the CPU time, bytes and store calls of idle fleets of several sizes.
// docs/CAPACITY.md extrapolates from the slopes.
//
// Bytes are those that the process writes to and reads from its sockets,
// including TLS and HTTP/2 but not TCP/IP headers, as Linux counts them in
// /proc/<pid>/io. The size of the log is subtracted. Go's network poller adds 8
// bytes in each direction whenever it wakes a sleeping thread, so that the bytes
// of an idle daemon are an upper bound. Bytes do not depend on other work on the
// machine. CPU times do, so the CPU time per statement is the minimum of several
// runs.
//
// # Usage
//
//	err := capac.Measure(ctx, capac.Config{Bin: ".bin", Out: os.Stdout, Only: "idle"})
//
// Each result is printed as one JSON object per line. A fleet is stopped before
// the next one starts.
package capac
