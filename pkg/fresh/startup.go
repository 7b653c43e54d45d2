package fresh

import "chervilspan.example/pkg/ident"

// StartupCheck decides when a VM that has just started may serve. It must have
// in force the highest version that the store and its peers have reported, and
// either the store or a majority of the peers in its settings must have
// answered. The zero StartupCheck is for a VM without peers.
type StartupCheck struct {
	// PeerCount is the number of peers in the settings.
	PeerCount     int
	storeAnswered bool
	answeredPeers map[string]bool
	highestKnown  ident.Version
}

// RecordStoreAnswer records that the store answered with version v; 0 means that
// it holds no catalogue.
func (c *StartupCheck) RecordStoreAnswer(v ident.Version) {
	c.storeAnswered = true
	c.highestKnown = max(c.highestKnown, v)
}

// RecordPeerAnswer records that the peer at an address of the settings answered,
// and the highest version known to that peer.
func (c *StartupCheck) RecordPeerAnswer(address string, known ident.Version) {
	if c.answeredPeers == nil {
		c.answeredPeers = map[string]bool{}
	}
	c.answeredPeers[address] = true
	c.highestKnown = max(c.highestKnown, known)
}

// Ready reports whether a VM with version v in force may serve.
func (c *StartupCheck) Ready(v ident.Version) bool {
	if v == 0 || v < c.highestKnown {
		return false
	}
	return c.storeAnswered || c.PeerCount > 0 && len(c.answeredPeers) > c.PeerCount/2
}
