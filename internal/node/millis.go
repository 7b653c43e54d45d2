package node

import (
	"encoding/json"
	"strconv"
	"strings"
	"time"
)

// Milliseconds is a duration in a settings file: a number, or a string with a number. A
// template writes it as a string, which is empty, "null" or the unfilled placeholder where
// the deployment does not have the value; these mean 0.
type Milliseconds float64

// Duration returns m as a time.Duration.
func (m Milliseconds) Duration() time.Duration {
	return time.Duration(float64(m) * float64(time.Millisecond))
}

// UnmarshalJSON implements json.Unmarshaler.
func (m *Milliseconds) UnmarshalJSON(raw []byte) error {
	text := string(raw)
	if text[0] == '"' {
		if err := json.Unmarshal(raw, &text); err != nil {
			return err
		}
	}
	if text == "" || text == "null" || strings.HasPrefix(text, "{{") {
		*m = 0
		return nil
	}
	v, err := strconv.ParseFloat(text, 64)
	*m = Milliseconds(v)
	return err
}
