package ident

import "time"

// MicroTokens is an amount of rate tokens in millionths of a token.
type MicroTokens int64

// Token is one whole token: the right to run one statement.
const Token MicroTokens = 1_000_000

// Accrue returns the tokens that accrue in d at a rate in tokens per second. It
// is 0 for negative durations and rates.
func Accrue(rate float64, d time.Duration) MicroTokens {
	if d <= 0 || rate <= 0 {
		return 0
	}
	return MicroTokens(rate * d.Seconds() * float64(Token))
}
