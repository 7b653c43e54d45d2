// Package tcpopt sets how soon the kernel breaks a TCP connection whose path is lost.
//
// An open connection may go silent for good while new ones work, and no reset tells of it.
// Bytes that stay unacknowledged for LossDetection.Unacknowledged then break it, and so do
// keep-alive probes without an answer while it is idle. Both are answered by the kernel of
// the other machine, so that a slow process doesn't count as lost.
//
// # Usage
//
//	loss := tcpopt.LossDetection{Unacknowledged: time.Second}
//	conn, err := loss.Dial(ctx, "tcp", address)
//	err = server.Serve(loss.Listener(l))
package tcpopt
