package access

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"time"

	"chervilspan.example/pkg/catal"
	"chervilspan.example/pkg/ident"
)

// KeyIndex finds the workspace of a key in a catalogue, for callers that send a
// key without naming their workspace. It is immutable.
type KeyIndex struct {
	Catalogue *catal.Catalogue
	// keys maps the hexadecimal SHA-256 of a key to its owner.
	keys map[string]keyOwner
	// Ranked is Catalogue.RanksRoutes.
	Ranked bool
	// ShortestObjective is Catalogue.ShortestObjective.
	ShortestObjective time.Duration
}

// keyOwner is the workspace that has a key, with the id of the key.
type keyOwner struct {
	workspace ident.Workspace
	id        string
}

// NewKeyIndex returns the index of the keys in c that are usable now. It does not
// follow the time: a key that becomes valid or expires later needs a new index. The keys of a
// workspace without a name authenticate nobody.
func NewKeyIndex(c *catal.Catalogue) *KeyIndex {
	x := &KeyIndex{Catalogue: c, keys: map[string]keyOwner{}, Ranked: c.RanksRoutes(), ShortestObjective: c.ShortestObjective()}
	for ws, w := range c.Workspaces {
		if ws == "" {
			continue // it stands for callers without a workspace
		}
		for id, k := range w.Keys {
			if k.Usable(time.Now()) {
				x.keys[k.SHA256] = keyOwner{ws, id}
			}
		}
	}
	return x
}

// Identify checks a caller that sends only its key. On open routes the key may
// be missing or unknown; the authorization then has no workspace. A nil KeyIndex
// means that there is no catalogue yet. The error is an *Error.
func (x *KeyIndex) Identify(route ident.Route, key string) (Authorization, error) {
	const op = "identify"
	if x == nil {
		return Authorization{}, &Error{Op: op, Kind: KindNotReady, Text: "the catalogue has not been read yet"}
	}
	r, ok := x.Catalogue.Routes[route]
	if !ok {
		return Authorization{}, &Error{Op: op, Kind: KindUnknownRoute, Text: fmt.Sprintf("route %q does not exist", redactName(string(route)))}
	}
	sum := sha256.Sum256([]byte(key))
	hash := hex.EncodeToString(sum[:])
	owner, known := x.keys[hash]
	if !known && !r.Open {
		return Authorization{}, &Error{Op: op, Kind: KindKeyRefused, Text: "the key was not accepted"}
	}
	if !known {
		hash = ""
	}
	return authorize(x.Catalogue, owner.workspace, x.workspace(owner.workspace), route, r, owner.id, hash)
}

// workspace returns the settings of a workspace, none for callers without one.
func (x *KeyIndex) workspace(ws ident.Workspace) catal.Workspace {
	if ws == "" {
		return catal.Workspace{}
	}
	return x.Catalogue.Workspaces[ws]
}
