// Command standin plays the cases of the second review that are scripts.
//
// It is the platform, the databases, the operator and the consumers of one small
// deployment on loopback addresses, and starts the project's own program as separate
// processes. All of them run on the real clock. It speaks what the users' pages say; where
// these are silent, it behaves like a sound platform, server or client.
//
// # Usage
//
//	standin --case lost --dir review/6
//
// It writes what was sent, answered and run to record.txt in the folder. The exit status is
// 1 if the rule was broken, 0 if it held, and 2 if the case could not run.
package main
