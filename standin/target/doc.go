// Package target implements a stand-in for a database of a group: a server that
// speaks the PostgreSQL protocol, holds rows in memory, replicates them and
// meets the assumptions A1 to A11 of the design.
//
// A writing transaction runs on the primary's head database. Its commit appends
// one log entry, which every member applies to the database that serves reads.
// One transaction writes at a time; reads never wait for it and see committed
// rows only. Followers pull entries from their primary over the same protocol
// (SELECT standin_pull, user ReplicationUser).
//
// Faults are set on a connection of AdminUser or in process by Server.SetFault:
//
//	SELECT standin_fault('freeze', 1)
//
// SELECT * FROM standin_stats() counts statements, reads, writes, commits and
// accepted connections.
//
// # Usage
//
//	a, err := target.New(target.Config{ID: "a1"})
//	b, err := target.New(target.Config{ID: "a2"})
//	err = target.Elect(ctx, 1, a, b) // a1 becomes the primary of term 1
//	conn, err := pgx.Connect(ctx, "postgres://app@"+a.Addr()+"/db?sslmode=disable")
//
// Choices that the design leaves open: a primary that restarts with its data
// directory resumes its role; SSL requests are refused; a statement that waits
// for another transaction's write holds no slot; built-in functions (status,
// terms) other than pg_sleep need neither slot nor service time.
package target
