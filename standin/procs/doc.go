// Package procs tests the programs as processes that are killed, paused and
// stopped by signals. The other failure tests run in a single process.
//
// # Usage
//
//	go test chervilspan.example/standin/procs
package procs
