// Package dbop defines the statements and answers that the session engine, the
// connection pool and the codecs of line-oriented databases share. It is
// independent of any wire format: a codec converts its messages to and from these
// types.
//
// # Usage
//
//	st := dbop.Statement{ID: "5c0e", Kind: dbop.Read, Text: "READ 1a4", Floor: floor}
//	answers, err := link.Exchange(deadline, st)
//	if err == nil && answers[0].Code == dbop.OK {
//		rows := answers[0].Rows
//		_ = rows
//	}
package dbop
