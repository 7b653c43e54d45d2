// Package capac measures what a daemon costs as separate processes on loopback:
// memory for each idle client connection, processor time for each statement,
// and the processor time, bytes and store calls of idle fleets of several
// sizes. docs/CAPACITY.md extrapolates from its slopes.
//
// Bytes are those that the process writes to and reads from its sockets, TLS
// and HTTP/2 included and TCP/IP headers not, as Linux counts them in
// /proc/<pid>/io; the log's growth is subtracted. Go's poller adds 8 bytes to
// each direction whenever a sleeping thread is woken, so that the bytes of an
// idle daemon are an upper bound. They do not depend on other work on the
// machine. Processor times do, so each is the least of several
// runs.
//
// # Usage
//
//	err := capac.Measure(ctx, capac.Config{Bin: ".bin", Out: os.Stdout, Only: "idle"})
//
// Each result is one JSON object on a line of its own. Every fleet is stopped
// before the next one starts.
package capac
