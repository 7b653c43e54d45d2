package access

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"time"

	"chervilspan.example/pkg/catal"
	"chervilspan.example/pkg/ident"
)

// KeyIndex finds the workspace of a key in a catalogue, for callers that give a key
// without naming their workspace. It is not changed after NewIndex.
type KeyIndex struct {
	Catalogue *catal.Catalogue
	// keys has the holders by the SHA-256 of the key.
	keys map[string]holder
}

type holder struct {
	workspace ident.Workspace
	id        string
}

// NewKeyIndex returns the index of a catalogue.
func NewKeyIndex(c *catal.Catalogue) *KeyIndex {
	x := &KeyIndex{Catalogue: c, keys: map[string]holder{}}
	for ws, w := range c.Workspaces {
		for id, k := range w.Keys {
			if k.Usable(time.Now()) {
				x.keys[k.SHA256] = holder{ws, id}
			}
		}
	}
	return x
}

// Identify checks a caller that gives only its key. On open routes the key may
// be missing or unknown; the grant then has no workspace. A nil Index has no
// catalogue. It returns an *Error.
func (x *KeyIndex) Identify(route ident.Route, key string) (Authorization, error) {
	const op = "identify"
	if x == nil {
		return Authorization{}, &Error{Op: op, Kind: KindNotReady, Text: "the catalogue has not been read yet"}
	}
	r, ok := x.Catalogue.Routes[route]
	if !ok {
		return Authorization{}, &Error{Op: op, Kind: KindUnknownRoute, Text: fmt.Sprintf("route %q does not exist", printable(string(route)))}
	}
	sum := sha256.Sum256([]byte(key))
	hash := hex.EncodeToString(sum[:])
	h, known := x.keys[hash]
	if !known && !r.Open {
		return Authorization{}, &Error{Op: op, Kind: KindKeyRefused, Text: "the key was not accepted"}
	}
	if !known {
		hash = ""
	}
	return grant(x.Catalogue, h.workspace, x.Catalogue.Workspaces[h.workspace], route, r, h.id, hash)
}
