// Package e2e has tests of the data plane with real rows: unchanged pgx clients
// in front of the proxy, and stand-in targets that replicate behind it.
//
// # Usage
//
//	go test chervilspan.example/standin/e2e
package e2e
