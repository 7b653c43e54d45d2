package ident

import "time"

// MicroTokens is an amount of rate tokens in millionths of a token.
type MicroTokens int64

// Token is one whole token: the right to run one statement.
const Token MicroTokens = 1_000_000

// Accrue returns what a source of rate tokens a second yields in d. Negative
// durations yield nothing.
func Accrue(rate float64, d time.Duration) MicroTokens {
	if d <= 0 || rate <= 0 {
		return 0
	}
	return MicroTokens(rate * d.Seconds() * float64(Token))
}
