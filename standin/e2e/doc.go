// Package e2e tests the data plane end to end: unmodified pgx clients send
// statements through the proxy to stand-in targets that store and replicate
// rows.
//
// # Usage
//
//	go test chervilspan.example/standin/e2e
package e2e
