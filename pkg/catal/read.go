package catal

import (
	"bytes"
	"fmt"
	"regexp"

	"chervilspan.example/pkg/strict"
)

// MaxDocumentBytes is the greatest size of a document in bytes; it leaves room for the
// store's envelope below its limit of one megabyte.
const MaxDocumentBytes = 960 << 10

// keyText finds keys in clear text.
var keyText = regexp.MustCompile(`chv_[a-z0-9._-]+_[0-9a-f]{64}`)

// Read parses and validates a document. It returns an *Error of kind
// KindSyntax or KindInvalid that lists every problem with its line.
func Read(data []byte) (*Catalogue, error) {
	if len(data) > MaxDocumentBytes {
		p := Problem{Text: fmt.Sprintf("the document has %d bytes", len(data)), Allowed: fmt.Sprintf("at most %d", MaxDocumentBytes)}
		return nil, &Error{Op: "read", Kind: KindInvalid, Problems: []Problem{p}}
	}
	if loc := keyText.FindIndex(data); loc != nil {
		// Other problems are not reported along with it, because their messages
		// could repeat the key.
		p := Problem{Line: 1 + bytes.Count(data[:loc[0]], []byte{'\n'}), Text: "a key stands in clear text", Allowed: "the SHA-256 that chervilctl keys give writes"}
		return nil, &Error{Op: "read", Kind: KindInvalid, Problems: []Problem{p}}
	}
	var c Catalogue
	doc := strict.Decode(data, &c)
	if !doc.WellFormed() {
		return nil, &Error{Op: "read", Kind: KindSyntax, Problems: doc.Problems()}
	}
	doc.AddProblems(Validate(&c))
	if list := doc.Problems(); len(list) > 0 {
		return nil, &Error{Op: "read", Kind: KindInvalid, Problems: list}
	}
	return &c, nil
}
