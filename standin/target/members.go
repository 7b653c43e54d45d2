package target

import (
	"fmt"
	"net"
	"strings"

	"chervilspan.example/pkg/ident"
	"chervilspan.example/standin/repl"
)

// ParseMembers parses a comma-separated list of members of the form
// id=host:port. It returns an *Error of kind KindConfig for anything else.
func ParseMembers(text string) ([]repl.Member, error) {
	if text == "" {
		return nil, nil
	}
	var out []repl.Member
	for part := range strings.SplitSeq(text, ",") {
		id, address, ok := strings.Cut(strings.TrimSpace(part), "=")
		if _, _, err := net.SplitHostPort(address); !ok || err != nil || ident.Check(id) != nil {
			return nil, &Error{Op: "parse members", Kind: KindConfig, Text: fmt.Sprintf("%q is not of the form id=host:port", part)}
		}
		out = append(out, repl.Member{ID: ident.Target(id), Address: address})
	}
	return out, nil
}

// FormatMembers formats members in the form that ParseMembers parses.
func FormatMembers(members []repl.Member) string {
	parts := make([]string, len(members))
	for i, m := range members {
		parts[i] = string(m.ID) + "=" + m.Address
	}
	return strings.Join(parts, ",")
}
