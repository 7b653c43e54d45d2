package conf

import (
	"os"
	"strings"

	"chervilspan.example/pkg/strict"
)

// Kind classifies an Error.
type Kind uint8

// Kinds of errors of this package.
const (
	// KindFile means that the file could not be read.
	KindFile Kind = iota + 1
	// KindInvalid means that the settings are wrong; Problems lists them.
	KindInvalid
)

// Error is the error type of this package.
type Error struct {
	Op       string
	File     string
	Kind     Kind
	Problems []strict.Problem
	Err      error
}

// Error returns one line for each problem.
func (e *Error) Error() string {
	if e.Err != nil {
		return "settings: " + e.Op + ": " + e.Err.Error()
	}
	lines := make([]string, len(e.Problems))
	for i, p := range e.Problems {
		lines[i] = e.File + ": " + p.String()
	}
	return strings.Join(lines, "\n")
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// Load reads and checks a settings file. It returns an *Error.
func Load(file string) (*Settings, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return nil, &Error{Op: "load", File: file, Kind: KindFile, Err: err}
	}
	return Read(file, data)
}

// Read parses and checks settings; file names them in messages. It returns an
// *Error of kind KindInvalid.
func Read(file string, data []byte) (*Settings, error) {
	var cfg Settings
	doc := strict.Decode(data, &cfg)
	if doc.WellFormed() {
		doc.AddProblems(Check(&cfg))
	}
	if list := doc.Problems(); len(list) > 0 {
		return nil, &Error{Op: "read", File: file, Kind: KindInvalid, Problems: list}
	}
	return &cfg, nil
}
