package store

import (
	"context"
	"time"
)

type (
	answerTimeoutKey struct{}
	maxAnswerKey     struct{}
)

// WithAnswerTimeout returns a context in which calls fail when their answer has not begun to
// come within d; one that has begun may take until the deadline of the context. It is for
// reads of large values, which take long on a narrow link while all is well.
func WithAnswerTimeout(ctx context.Context, d time.Duration) context.Context {
	return context.WithValue(ctx, answerTimeoutKey{}, d)
}

// AnswerTimeout returns the timeout that WithAnswerTimeout has set, 0 if there is none.
func AnswerTimeout(ctx context.Context) time.Duration {
	d, _ := ctx.Value(answerTimeoutKey{}).(time.Duration)
	return d
}

// WithMaxAnswer returns a context in which reads fail with an *Error of kind KindTooLarge
// when their answer has more than n bytes.
func WithMaxAnswer(ctx context.Context, n int64) context.Context {
	return context.WithValue(ctx, maxAnswerKey{}, n)
}

// MaxAnswer returns the size that WithMaxAnswer has set, 0 if there is none.
func MaxAnswer(ctx context.Context) int64 {
	n, _ := ctx.Value(maxAnswerKey{}).(int64)
	return n
}
