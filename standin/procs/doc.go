// Package procs has the tests that run the real programs as processes and
// really kill and stop them. The rest of the failure tests runs in one process.
package procs
