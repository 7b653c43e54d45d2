package fresh

import "chervilspan.example/pkg/ident"

// StartupCheck is the rule by which a VM that starts begins to serve: it takes the
// highest version of the store's and its peers' answers, and serves when the
// store answered or a majority of the peers in its settings did. The zero Boot
// is for a VM without peers.
type StartupCheck struct {
	// Peers is the number of peers in the settings.
	PeerCount int
	store     bool
	answered  map[string]bool
	highest   ident.Version
}

// RecordStoreAnswer notes that the store answered with version v, 0 for no catalogue.
func (b *StartupCheck) RecordStoreAnswer(v ident.Version) {
	b.store = true
	b.highest = max(b.highest, v)
}

// RecordPeerAnswer notes that the peer at an address of the settings answered, and the
// highest version it has heard of.
func (b *StartupCheck) RecordPeerAnswer(address string, known ident.Version) {
	if b.answered == nil {
		b.answered = map[string]bool{}
	}
	b.answered[address] = true
	b.highest = max(b.highest, known)
}

// Ready reports whether a VM with version v in force may serve.
func (b *StartupCheck) Ready(v ident.Version) bool {
	if v == 0 || v < b.highest {
		return false
	}
	return b.store || b.PeerCount > 0 && len(b.answered) > b.PeerCount/2
}
