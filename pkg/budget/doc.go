// Package budget divides a number of bytes among the messages that a server receives, so
// that callers who send many long messages can't use up its memory.
//
// The length of a message is not known before its end. A receiver therefore asks for
// bytes whenever its buffer has to grow, while it holds those that it has. Without care,
// all receivers could hold a part and wait for more. Bytes are given only if, after that,
// the message that holds most could still grow to the maximum length: it can end, and its
// bytes then serve the next one.
//
// One owner may hold at most half of the budget, by the same rule, so that it can't keep
// out all others. Among waiting messages, those of the owner that holds least come first,
// then those that have waited longest. A message that holds nothing yet does not overtake
// another one like it that lacks bytes.
//
// A complete message keeps the bytes that it needs until they are released; these count
// as bytes that will be free soon.
//
// The package starts no goroutine and reads no clock. How long a message may wait, and
// how long an incomplete one may hold bytes, is up to the receiver.
//
// # Usage
//
//	b := budget.Budget{Size: 32 << 20, MaxShare: 1 << 20}
//	s := budget.Share{Owner: "ledger"}
//	if !b.Grow(&s, 64<<10) {
//		select {
//		case <-s.Granted():
//		case <-timeout:
//			b.Release(&s)
//		}
//	}
//	b.Complete(&s, len(message))
//	b.Release(&s)
package budget
