package ident

import "fmt"

// Identifiers of the entities in the catalogue and the settings.
type (
	// VM names a virtual machine that runs the daemon.
	VM string
	// Zone names an availability zone.
	Zone string
	// Region names a region, which has one or more zones.
	Region string
	// Target names one database of a group.
	Target string
	// Group names a database group: one primary and its replicas.
	Group string
	// Workspace names a workspace, a customer of the service.
	Workspace string
	// Route is the name that callers give as the database to connect to.
	Route string
	// Class names a class of service in the catalogue.
	Class string
)

// Version is a version of the catalogue. It starts at 1 and is incremented
// by each accepted edit; 0 means that there is no catalogue.
type Version uint64

// Incarnation orders the membership announcements of a VM about itself. A VM
// increments it to refute a suspicion.
type Incarnation uint64

// MaxLen is the maximum length of an identifier, in bytes.
const MaxLen = 63

// Check returns an error of kind KindSyntax unless s is a valid identifier: 1
// to MaxLen bytes of a-z, 0-9, '-', '_' and '.', the first a letter or
// digit.
func Check(s string) error {
	if s == "" || len(s) > MaxLen {
		return &Error{Op: "check", Kind: KindSyntax, Text: fmt.Sprintf("identifier %q must have 1 to %d characters", s, MaxLen)}
	}
	for i := range len(s) {
		if !allowed(s[i], i == 0) {
			return &Error{Op: "check", Kind: KindSyntax, Text: fmt.Sprintf("identifier %q: character %q is not allowed; a-z, 0-9, '-', '_' and '.' are", s, s[i])}
		}
	}
	return nil
}

// allowed reports whether c may stand in an identifier, at its start if first is
// set.
func allowed(c byte, first bool) bool {
	switch {
	case c >= 'a' && c <= 'z', c >= '0' && c <= '9':
		return true
	case c == '-', c == '_', c == '.':
		return !first
	}
	return false
}
