package quota

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"chervilspan.example/pkg/ident"
	"chervilspan.example/pkg/member"
)

var epoch = time.Unix(1_000, 0)

// TestShares guards against slices that together mint more or less than the
// limit, and against shares of less than a whole token of burst.
func TestShares(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l := Limit{Rate: float64(rapid.IntRange(0, 1000).Draw(t, "rate")), Burst: rapid.Uint32Range(0, 100).Draw(t, "burst")}
		n := rapid.IntRange(1, 40).Draw(t, "slices")
		offset := rapid.Uint32Range(0, 1<<24).Draw(t, "offset")
		var rate float64
		var burst ident.MicroTokens
		for i := range n {
			s := SliceShare(l, Index(i), n, offset)
			rate += s.Rate
			burst += s.Burst
			if s.Burst%ident.Token != 0 || s.Burst == 0 && s.Rate > 0 {
				t.Fatalf("share %+v", s)
			}
		}
		if burst != ident.MicroTokens(l.Burst)*ident.Token {
			t.Fatalf("bursts sum up to %d", burst)
		}
		if l.Burst > 0 && (rate < l.Rate-slack || rate > l.Rate+slack) {
			t.Fatalf("rates sum up to %v", rate)
		}
	})
}

// TestBucketLosesNothing guards against a bucket that rounds away what it mints
// when it is advanced very often.
func TestBucketLosesNothing(t *testing.T) {
	is := is.New(t)
	b := bucket{share: Share{Rate: 0.7, Burst: 5 * ident.Token}, last: epoch}
	for i := range 1_000_000 {
		b.advance(epoch.Add(time.Duration(i+1) * time.Microsecond))
	}
	is.True(b.level > 699_990 && b.level <= 700_000)
}

func holder(now time.Time, l Limit) *Account {
	a := NewAccount(Config{Self: "vm1"})
	a.Configure(Setup{Limit: l, SliceCount: 1, HeldSlices: []HeldSlice{{Slice{}, epoch}}}, now)
	return a
}

// TestLentTokensCount guards against a bucket that refills while its tokens are
// out, against a second refund of one grant, and against a refund above it.
func TestLentTokensCount(t *testing.T) {
	is := is.New(t)
	now := epoch.Add(time.Minute)
	lease := now.Add(time.Hour)
	a := holder(now, Limit{Rate: 10, Burst: 10})
	r := a.Lend(BorrowRequest{Amount: 8 * ident.Token}, now, lease)
	is.Equal(r.Amount, 8*ident.Token)
	is.Equal(r.Remaining, 2*ident.Token)
	is.Equal(a.Lend(BorrowRequest{Amount: 8 * ident.Token}, now.Add(900*time.Millisecond), lease).Amount, 2*ident.Token)

	a = holder(now, Limit{Rate: 0, Burst: 10})
	a.buckets[0].level = 5 * ident.Token
	r = a.Lend(BorrowRequest{Amount: 4 * ident.Token}, now, lease)
	refund := []Settlement{{r.Grant, 9 * ident.Token}, {r.Grant, 4 * ident.Token}}
	is.Equal(a.Lend(BorrowRequest{Settlements: refund}, now, lease).Remaining, 5*ident.Token)
}

// TestLeaseDeadline guards against a holder that mints or lends after its
// lease, and against one that starts before the former holder's permits end.
func TestLeaseDeadline(t *testing.T) {
	is := is.New(t)
	var h SliceSet
	h.RecordRenewal(epoch, time.Minute)
	h.RecordClaim(Slice{}, epoch)
	a := NewAccount(Config{})
	a.Configure(Setup{Limit: Limit{100, 100}, SliceCount: 1, HeldSlices: h.Held()}, epoch)
	is.True(!a.Admit(epoch.Add(999*time.Millisecond), h.Deadline()))
	is.True(a.Admit(epoch.Add(2*time.Second), h.Deadline()))
	is.True(!a.Admit(epoch.Add(time.Minute), h.Deadline()))
	is.Equal(a.Lend(BorrowRequest{Amount: 1}, epoch.Add(time.Minute), h.Deadline()), BorrowReply{})
	is.True(a.PermitValid(epoch, epoch.Add(999*time.Millisecond)))
	is.True(!a.PermitValid(epoch, epoch.Add(time.Second)))
	h.RecordRenewal(epoch.Add(-time.Second), time.Minute)
	is.Equal(h.Deadline(), epoch.Add(time.Minute)) // an older answer that comes late
}

// TestGrantLifetime guards against a grant that counts from its arrival, and
// against a reply that is taken twice.
func TestGrantLifetime(t *testing.T) {
	is := is.New(t)
	a := NewAccount(Config{})
	a.Configure(Setup{Limit: Limit{10, 10}, SliceCount: 1, Holders: []ident.VM{"vm2"}}, epoch)
	a.Enqueue(epoch)
	asks := a.Poll(epoch, time.Time{}).Borrows
	is.Equal(len(asks), 1)
	reply := BorrowReply{Grant: 1, Amount: 3 * ident.Token, MintingSlices: 1}
	a.HandleReply(asks[0].ID, reply, epoch.Add(100*time.Millisecond))
	a.HandleReply(asks[0].ID, reply, epoch.Add(100*time.Millisecond))
	out := a.Poll(epoch.Add(100*time.Millisecond), time.Time{})
	is.Equal(out.Admitted, []Ticket{1})
	is.True(a.Admit(epoch.Add(200*time.Millisecond), time.Time{}))
	is.True(!a.Admit(epoch.Add(time.Second), time.Time{}))
}

// TestRefusesAfterWait guards against a refusal before the waiting time is
// over, and against an order other than that of arrival.
func TestRefusesAfterWait(t *testing.T) {
	is := is.New(t)
	lease := epoch.Add(time.Hour)
	now := epoch.Add(time.Minute)
	a := holder(now, Limit{Rate: 10, Burst: 1})
	is.True(a.Admit(now, lease))
	for range 4 {
		a.Enqueue(now)
	}
	is.True(a.Cancel(2))
	is.Equal(a.Poll(now.Add(DefaultMaxWait-1), lease).Refused, nil)
	out := a.Poll(now.Add(DefaultMaxWait), lease)
	is.Equal(out.Admitted, nil)
	is.Equal(out.Refused, []Ticket{3, 4})
	is.Equal(a.Counts().Admitted, uint64(2)) // ticket 1 got what was minted
}

// TestLayoutChange guards against an edit of the burst that lets the slices of
// VMs with the old and the new catalogue mint more than either allows.
func TestLayoutChange(t *testing.T) {
	is := is.New(t)
	a := NewAccount(Config{})
	held := []HeldSlice{{Slice{0, 5}, epoch}}
	a.Configure(Setup{Limit: Limit{12, 3}, SliceCount: 12, HeldSlices: held}, epoch)
	a.Configure(Setup{Limit: Limit{12, 24}, SliceCount: 12, HeldSlices: held}, epoch.Add(time.Minute))
	lease := epoch.Add(time.Hour)
	is.True(!a.Admit(epoch.Add(69*time.Second), lease)) // slice 5 did not mint before
	is.True(a.Admit(epoch.Add(72*time.Second), lease))
}

// TestStatic guards against a baseline that admits more than the limit while
// the membership is fixed.
func TestStatic(t *testing.T) {
	is := is.New(t)
	l := Limit{Rate: 9, Burst: 7}
	lease := time.Time{}
	admitted := 0
	for i := range 4 {
		share := StaticShare(l, i, 4)
		a := NewAccount(Config{})
		a.Configure(Setup{Limit: l, StaticShare: &share}, epoch)
		for ms := range 10_000 {
			if a.Admit(epoch.Add(time.Duration(ms)*time.Millisecond), lease) {
				admitted++
			}
		}
		is.Equal(a.Lend(BorrowRequest{Amount: 1}, epoch, lease), BorrowReply{})
	}
	is.True(admitted > 80 && admitted <= 97)
}

// TestPreference guards against two VMs that both think they should hold a
// slice, against a zone without VMs that keeps its slices idle, and against a
// far holder that is asked before a near one.
func TestPreference(t *testing.T) {
	is := is.New(t)
	live := []member.Info{
		{VM: "a1", Zone: "a", Region: "r"},
		{VM: "a2", Zone: "a", Region: "r"},
		{VM: "b1", Zone: "b", Region: "r"},
		{VM: "d1", Zone: "d", Region: "s"},
		{VM: "c1", Zone: "c", Region: "r", State: member.StateDead},
	}
	zones := []ident.Zone{"a", "b", "c"}
	place := NewPlacement(zones, live)
	vm, ok := place.PreferredHolder(Slice{3, 1})
	is.True(ok)
	is.Equal(vm, ident.VM("b1"))
	vm, ok = place.PreferredHolder(Slice{3, 2})
	is.True(ok)
	is.True(vm != "c1")
	order := place.SortByDistance("k", live[0], []ident.VM{"d1", "b1", "a2", "a1", "a2", "gone"})
	is.Equal(order, []ident.VM{"a2", "b1", "d1"})
}

// BenchmarkAdmit measures the fast path by the number of held slices.
func BenchmarkAdmit(b *testing.B) {
	for _, n := range []int{1, 4, 12} {
		b.Run("slices="+string(rune('0'+n/10))+string(rune('0'+n%10)), func(b *testing.B) {
			a := NewAccount(Config{})
			var held []HeldSlice
			for i := range n {
				held = append(held, HeldSlice{Slice{0, Index(i)}, epoch})
			}
			a.Configure(Setup{Limit: Limit{1e9, 1 << 30}, SliceCount: 12, HeldSlices: held}, epoch)
			now, lease := epoch, epoch.Add(time.Hour*1000)
			b.ReportAllocs()
			for b.Loop() {
				now = now.Add(time.Microsecond)
				a.Admit(now, lease)
			}
		})
	}
}
