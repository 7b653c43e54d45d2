package lead

import (
	"context"
	"encoding/json"
	"errors"
	"time"

	"chervilspan.example/pkg/ident"
	"chervilspan.example/pkg/store"
)

const (
	// ClaimTTL is the lifetime of a claim. A VM that crashes while it holds one
	// delays its successor by as much, which has to fit into the time after which a leaving
	// primary must get no more requests, 7 s.
	ClaimTTL = 5 * time.Second
	// claimMargin is the least remaining lifetime of a claim when a promotion call
	// or the end of a fence is sent. It covers callTimeout and promotionDelay. A
	// successor that acts before then would not see the
	// new primary, and could roll back commits that it acknowledges.
	claimMargin = 2 * time.Second
	// callTimeout bounds a call to the store or the platform.
	callTimeout = time.Second
)

// claim is the stored value of a claim.
type claim struct {
	VM   ident.VM     `json:"vm"`
	From ident.Target `json:"from"`
}

// heldClaim is a claim that this VM holds.
type heldClaim struct {
	lease store.LeaseID
	// value is the stored claim, and token the revision of its last write.
	value []byte
	token store.Revision
	// unanswered is true while a call with the present token got no answer. The platform
	// accepts that call too, however late, until it has seen a higher token.
	unanswered bool
	// accepted is the token of a call that the platform has accepted, 0 if there was none.
	accepted store.Revision
	// expiresAt is the end of the claim, by Config.Clock.
	expiresAt time.Time
	// promotionSent is true once a promotion call may have been sent.
	promotionSent bool
	// unfenceUnanswered is true once an Unfence got no answer. The claim is then left to
	// expire: the statement may still be carried out, and must not lift a fence of the
	// next claim.
	unfenceUnanswered bool
}

// allowsCall reports whether a promotion call, or the end of a fence, may still be sent.
// A claim is void once the store is known to have been restored since: the store may have
// forgotten it.
func (mon *Monitor) allowsCall(c *heldClaim) bool {
	if store.EpochOf(mon.cfg.Store) > c.token.Epoch() {
		return false
	}
	return mon.cfg.Clock().Before(c.expiresAt.Add(-claimMargin))
}

// settledEpoch returns the store's epoch if claims may be made in it.
func (mon *Monitor) settledEpoch(ctx context.Context, g ident.Group) (store.Epoch, error) {
	if mon.cfg.Epochs == nil {
		return store.FirstEpoch, nil
	}
	epoch, ok, err := mon.cfg.Epochs.Settled(ctx, ClaimTTL)
	switch {
	case err != nil:
		return 0, &Error{Op: "claim", Kind: KindStore, Group: g, Err: err}
	case !ok:
		return 0, &Error{Op: "claim", Kind: KindRestored, Group: g}
	}
	return epoch, nil
}

// claimKey returns the key of the claim to a group.
func claimKey(g ident.Group) string { return "failover/" + string(g) }

// acquireClaim creates this VM's claim to a group.
func (mon *Monitor) acquireClaim(ctx context.Context, g ident.Group, old ident.Target) (*heldClaim, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	epoch, err := mon.settledEpoch(ctx, g)
	if err != nil {
		return nil, err
	}
	sent := mon.cfg.Clock()
	lease, err := mon.cfg.Store.GrantLease(ctx, ClaimTTL)
	if err != nil {
		return nil, &Error{Op: "claim", Kind: KindStore, Group: g, Err: err}
	}
	c := &heldClaim{lease: lease, expiresAt: sent.Add(ClaimTTL)}
	if c.value, err = json.Marshal(claim{mon.cfg.VM, old}); err != nil {
		return nil, &Error{Op: "claim", Kind: KindStore, Group: g, Err: err}
	}
	res, err := store.Swap(ctx, mon.cfg.Store, store.Write{Key: claimKey(g), Value: c.value, Lease: lease})
	if err != nil {
		mon.releaseClaim(c)
		return nil, &Error{Op: "claim", Kind: KindStore, Group: g, Err: err}
	}
	if !res.Done {
		mon.releaseClaim(c)
		return nil, &Error{Op: "claim", Kind: KindClaimed, Group: g}
	}
	c.token = res.Current.Revision
	if c.token.Epoch() != epoch {
		mon.releaseClaim(c)
		return nil, &Error{Op: "claim", Kind: KindRestored, Group: g}
	}
	return c, nil
}

// raiseToken writes a held claim again, under its lease, so that it gets a higher token.
// The error is of kind KindStore if the store did not answer; the token is then as before.
func (mon *Monitor) raiseToken(ctx context.Context, g ident.Group, c *heldClaim) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	res, err := store.Swap(ctx, mon.cfg.Store, store.Write{Key: claimKey(g), Value: c.value, Lease: c.lease, Expected: c.token})
	var e *store.Error
	switch {
	case errors.As(err, &e) && e.Kind == store.KindLeaseEnded:
		return &Error{Op: "raise token", Kind: KindClaimExpired, Group: g, Err: err}
	case err != nil:
		return &Error{Op: "raise token", Kind: KindStore, Group: g, Err: err}
	}
	// An earlier write without an answer may have been carried out.
	own := res.Done || res.Current.Lease == c.lease
	if !own || res.Current.Revision <= c.token || res.Current.Revision.Epoch() != c.token.Epoch() {
		return &Error{Op: "raise token", Kind: KindClaimExpired, Group: g}
	}
	c.token, c.unanswered = res.Current.Revision, false
	return nil
}

// extendClaim renews the lease of a held claim, and gives the claim a higher token.
func (mon *Monitor) extendClaim(ctx context.Context, g ident.Group, c *heldClaim) error {
	renew, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	sent := mon.cfg.Clock()
	switch ok, err := mon.cfg.Store.RenewLease(renew, c.lease); {
	case err != nil:
		return &Error{Op: "renew claim", Kind: KindStore, Group: g, Err: err}
	case !ok:
		return &Error{Op: "renew claim", Kind: KindClaimExpired, Group: g}
	}
	c.expiresAt = sent.Add(ClaimTTL)
	return mon.raiseToken(ctx, g, c)
}

// releaseClaim ends a claim. If the call fails, the claim ends with its lease.
func (mon *Monitor) releaseClaim(c *heldClaim) {
	mon.running.Add(1)
	go func() {
		defer mon.end()
		ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
		defer cancel()
		if err := mon.cfg.Store.RevokeLease(ctx, c.lease); err != nil {
			mon.logClaimUnreleased(err)
		}
	}()
}
