package quota

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"chervilspan.example/pkg/ident"
	"chervilspan.example/pkg/member"
)

// TestSettleAfterDecrease guards against a settlement that refunds tokens above the
// burst after the burst was lowered during the grant.
func TestSettleAfterDecrease(t *testing.T) {
	is := is.New(t)
	b := bucket{share: Share{Rate: 1, Burst: 10 * ident.Token}, level: 10 * ident.Token, mintedUntil: epoch}
	is.Equal(b.lend(1, 9*ident.Token, epoch.Add(time.Second)), 9*ident.Token)
	b.setShare(Share{Rate: 1, Burst: 3 * ident.Token}, epoch, time.Time{})
	is.Equal(b.level, ident.MicroTokens(0)) // the lent tokens exceed the new burst
	b.settle(1, 9*ident.Token)
	is.Equal(b.level, 3*ident.Token)
}

// TestSettleNeverAboveBurst guards against a sequence of lending, share changes and
// settlements after which level + lent exceeds both the burst and the amount that
// was lent before the last step.
func TestSettleNeverAboveBurst(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		burst := ident.MicroTokens(10 * ident.Token)
		b := bucket{share: Share{Rate: 5, Burst: burst}, level: burst, mintedUntil: epoch}
		now := epoch
		var open []GrantID
		var last GrantID
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 300).Draw(t, "ms")) * time.Millisecond)
			b.advance(now)
			lent := b.lent
			switch rapid.IntRange(0, 2).Draw(t, "step") {
			case 0:
				last++
				if b.lend(last, ident.MicroTokens(rapid.IntRange(1, 5).Draw(t, "tokens"))*ident.Token, now.Add(time.Second)) > 0 {
					open = append(open, last)
				}
			case 1:
				burst = ident.MicroTokens(rapid.IntRange(0, 12).Draw(t, "burst")) * ident.Token
				b.setShare(Share{Rate: 5, Burst: burst}, now, time.Time{})
			case 2:
				if len(open) > 0 {
					b.settle(open[0], ident.MicroTokens(rapid.IntRange(0, 5).Draw(t, "unused"))*ident.Token)
					open = open[1:]
				}
			}
			if b.level > 0 && b.level+b.lent > max(burst, lent) {
				t.Fatalf("level %d, lent %d, burst %d", b.level, b.lent, burst)
			}
		}
	})
}

// TestReclaimedSlice guards against a slice that is claimed again and waits for a
// lifetime although the store ended the lease before its deadline, against one that
// doesn't wait after the deadline, and against one that waits although an earlier
// process of this VM held it.
func TestReclaimedSlice(t *testing.T) {
	is := is.New(t)
	var h SliceSet
	s := Slice{0, 3}
	h.RecordRenewal(epoch, 10*time.Second)
	h.RecordClaim(s, epoch)
	before := h.Held()
	h.RecordLapse()
	is.Equal(len(h.Held()), 0)
	h.RecordClaim(s, epoch.Add(5*time.Second))
	is.Equal(h.Held(), before)
	h.RecordRenewal(epoch.Add(5*time.Second), 10*time.Second)
	h.RecordLapse()
	h.RecordClaim(s, epoch.Add(15*time.Second))
	is.Equal(h.Held()[0].ReadyAt, epoch.Add(15*time.Second+DefaultLifetime))
	h.RecordLapse()
	h.RecordInheritance(s, epoch.Add(20*time.Second))
	is.Equal(h.Held()[0].ReadyAt, epoch.Add(20*time.Second))
}

// TestKeptSlice guards against a slice that a VM gives up for another one although it
// held it when the store was restored, also after a second restoration, and against one
// that it keeps past the deadline, after a release or after an ordinary end of its lease.
func TestKeptSlice(t *testing.T) {
	is := is.New(t)
	var h SliceSet
	s, released, other := Slice{0, 3}, Slice{0, 4}, Slice{0, 5}
	h.RecordRenewal(epoch, 10*time.Second)
	for _, sl := range []Slice{s, released} {
		h.RecordClaim(sl, epoch)
	}
	h.BeginRelease(released)
	before := h.Held()
	h.RecordRestoration()
	h.RecordRestoration()
	now := epoch.Add(9 * time.Second)
	is.Equal(len(h.Held()), 0)
	is.True(h.Kept(s, now))
	is.True(!h.Kept(released, now) && !h.Kept(other, now))
	is.True(!h.Kept(s, epoch.Add(10*time.Second)))
	h.RecordRenewal(now, 10*time.Second)
	h.RecordClaim(s, now)
	is.Equal(h.Held(), before)
	h.RecordLapse()
	is.True(!h.Kept(s, now))
}

// TestInactiveBucket guards against tokens that are lost when a slice is not held
// for a while under one claim, and against tokens that are kept under a new claim.
func TestInactiveBucket(t *testing.T) {
	is := is.New(t)
	l := Limit{Rate: 1, Burst: 10}
	held := HeldSlice{Slice{0, 0}, epoch}
	setup := Setup{Limit: l, SliceCount: 1, HeldSlices: []HeldSlice{held}}
	a := NewAccount(Config{Self: "vm1"})
	a.Configure(setup, epoch)
	now := epoch.Add(8 * time.Second)
	lease := now.Add(time.Minute)
	is.True(a.Admit(now, lease)) // 7 tokens remain
	setup.HeldSlices = nil
	a.Configure(setup, now)
	is.True(!a.Admit(now, lease))
	setup.HeldSlices = []HeldSlice{held}
	a.Configure(setup, now)
	for range 7 {
		is.True(a.Admit(now, lease))
	}
	is.True(!a.Admit(now, lease))
	setup.HeldSlices = []HeldSlice{{held.Slice, now}}
	a.Configure(setup, now)
	is.True(!a.Admit(now, lease))
}

// TestInitialTokens guards against initial tokens that exceed the limit plus the
// tolerated excess when all slices are claimed twice in a window.
func TestInitialTokens(t *testing.T) {
	is := is.New(t)
	const window, excessShare, excessTokens = 5 * time.Second, 0.1, 20.0
	l := Limit{Rate: 40, Burst: 40}
	const slices = 12
	excess := excessShare*(l.Rate*window.Seconds()+float64(l.Burst)) + excessTokens
	admitted := 0
	now := epoch
	lease := epoch.Add(time.Hour)
	for _, claim := range []time.Time{epoch, epoch.Add(2 * time.Second)} {
		a := NewAccount(Config{Self: "vm1"})
		var held []HeldSlice
		for i := range slices {
			held = append(held, HeldSlice{Slice{0, Index(i)}, claim})
		}
		a.Configure(Setup{Limit: l, SliceCount: slices, HeldSlices: held, InitialTokens: excess / 2, FirstSeen: claim}, claim)
		end := claim.Add(2 * time.Second)
		if claim != epoch {
			end = epoch.Add(window)
		}
		for now = claim; now.Before(end); now = now.Add(time.Millisecond) {
			for a.Admit(now, lease) {
				admitted++
			}
		}
	}
	bound := (l.Rate*window.Seconds()+float64(l.Burst))*(1+excessShare) + excessTokens
	is.True(float64(admitted) <= bound)
	is.True(admitted > int(l.Rate*window.Seconds()*9/10))
}

// TestFewHolders guards against a large fleet in which the slices of a shard lie with so
// many VMs that borrowers have to assemble a token from several of them, and against
// zones without slices of their own.
func TestFewHolders(t *testing.T) {
	is := is.New(t)
	zones := []ident.Zone{"a", "b", "c", "d", "e", "f"}
	const slices = 36
	holders := func(vms int) map[ident.Zone]map[ident.VM]bool {
		var live []member.Info
		zoneOf := map[ident.VM]ident.Zone{}
		for i := range vms {
			m := member.Info{VM: ident.VM(fmt.Sprint("vm", i)), Zone: zones[i%len(zones)]}
			live = append(live, m)
			zoneOf[m.VM] = m.Zone
		}
		out := map[ident.Zone]map[ident.VM]bool{}
		place := NewPlacement(zones, live)
		for i := range slices {
			vm, ok := place.PreferredHolder(Slice{Index: Index(i)})
			is.True(ok)
			z := zoneOf[vm]
			is.Equal(z, zones[i%len(zones)])
			if out[z] == nil {
				out[z] = map[ident.VM]bool{}
			}
			out[z][vm] = true
		}
		return out
	}
	for _, vms := range []int{24, 89, 295} {
		byZone := holders(vms)
		is.Equal(len(byZone), len(zones))
		for _, vms := range byZone {
			is.True(len(vms) <= holdersPerZone)
		}
	}
	small := holders(12)
	for _, vms := range small {
		is.Equal(len(vms), 2) // of two VMs in the zone
	}
}

// TestLoneRequest guards against a request of a rarely used workspace that borrows more
// than its own token, as the rest has to be returned in a message of its own.
func TestLoneRequest(t *testing.T) {
	is := is.New(t)
	a := NewAccount(Config{Self: "v"})
	a.Configure(Setup{Limit: Limit{30, 30}, SliceCount: 3, Holders: []ident.VM{"w"}}, epoch)
	var messages int
	for i := range 20 {
		now := epoch.Add(time.Duration(i) * 700 * time.Millisecond)
		is.True(!a.Admit(now, time.Time{}))
		a.Enqueue(now)
		out := a.Poll(now, time.Time{})
		is.Equal(len(out.Borrows), 1)
		is.Equal(out.Borrows[0].Amount, ident.Token)
		messages++
		now = now.Add(time.Millisecond)
		a.HandleReply(out.Borrows[0].ID, BorrowReply{Amount: out.Borrows[0].Amount, Grant: GrantID(i + 1), Remaining: 9 * ident.Token, MintingSlices: 1}, now)
		out = a.Poll(now, time.Time{})
		is.Equal(len(out.Admitted), 1)
		messages += len(out.Borrows)
		for range 4 {
			now = now.Add(100 * time.Millisecond)
			messages += len(a.Poll(now, time.Time{}).Borrows)
		}
	}
	is.Equal(messages, 20)
}
