package fairq

import (
	"errors"
	"flag"
	"os"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"chervilspan.example/pkg/ident"
)

var epoch = time.Unix(1_000, 0)

// TestMain fixes the seed of the property tests; -rapid.seed overrides it.
func TestMain(m *testing.M) {
	_ = flag.Set("rapid.seed", "1")
	_ = flag.Set("rapid.nofailfile", "true")
	flag.Parse()
	os.Exit(m.Run())
}

// TestWeightedService guards against a backlogged workspace that gets less than
// its weighted share of the service time because the others send more requests or
// longer statements.
func TestWeightedService(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var q Queue
		names := []ident.Workspace{"a", "b", "c", "d"}[:rapid.IntRange(2, 4).Draw(t, "n")]
		weight, cost := map[ident.Workspace]uint32{}, map[ident.Workspace]time.Duration{}
		owner := map[Ticket]ident.Workspace{}
		var next Ticket
		push := func(ws ident.Workspace) {
			next++
			owner[next] = ws
			if err := q.Push(Item{Ticket: next, Workspace: ws, Weight: weight[ws], Limit: 1000}, 1, epoch); err != nil {
				t.Fatal(err)
			}
		}
		var weights uint32
		for _, ws := range names {
			weight[ws] = rapid.Uint32Range(1, 4).Draw(t, "weight")
			cost[ws] = time.Duration(rapid.IntRange(1, 50).Draw(t, "ms")) * time.Millisecond
			weights += weight[ws]
			q.RecordServiceTime(ws, cost[ws])
			for range rapid.IntRange(2, 20).Draw(t, "queued") {
				push(ws)
			}
		}
		got := map[ident.Workspace]time.Duration{}
		var served time.Duration
		for range 2000 {
			k, ok := q.Pop(epoch)
			if !ok {
				t.Fatal("nothing to serve")
			}
			ws := owner[k]
			got[ws] += cost[ws]
			served += cost[ws]
			push(ws) // every workspace stays backlogged
		}
		for _, ws := range names {
			fair := served * time.Duration(weight[ws]) / time.Duration(weights)
			if d := got[ws] - fair; d.Abs() > 600*time.Millisecond {
				t.Fatalf("%s got %v of %v, its fair share is %v", ws, got[ws], served, fair)
			}
		}
	})
}

// TestBounded guards against a workspace whose backlog makes the queue refuse or
// delay the requests of others.
func TestBounded(t *testing.T) {
	is := is.New(t)
	var q Queue
	for i := range DefaultLimit {
		is.NoErr(q.Push(Item{Ticket: Ticket(i + 1), Workspace: "loud"}, 1, epoch))
	}
	var e *Error
	is.True(errors.As(q.Push(Item{Ticket: 100, Workspace: "loud"}, 1, epoch), &e))
	is.Equal(e.Kind, KindFull)
	is.NoErr(q.Push(Item{Ticket: 101, Workspace: "quiet"}, 1, epoch))
	first, _ := q.Pop(epoch)
	second, _ := q.Pop(epoch)
	is.True(first == 101 || second == 101)
}

// TestDeadlines guards against a request that is queued although it can't start
// before its deadline, and against one that starts after its deadline.
func TestDeadlines(t *testing.T) {
	is := is.New(t)
	var q Queue
	q.RecordServiceTime("w", 100*time.Millisecond)
	soon := epoch.Add(250 * time.Millisecond)
	is.NoErr(q.Push(Item{Ticket: 1, Workspace: "w", Deadline: soon}, 1, epoch))
	is.NoErr(q.Push(Item{Ticket: 2, Workspace: "w", Deadline: soon}, 1, epoch))
	var e *Error
	is.True(errors.As(q.Push(Item{Ticket: 3, Workspace: "w", Deadline: soon}, 1, epoch), &e))
	is.Equal(e.Kind, KindDeadline)
	is.Equal(e.ExpectedWait, 300*time.Millisecond)
	is.NoErr(q.Push(Item{Ticket: 4, Workspace: "w", Deadline: soon}, 3, epoch))
	is.True(q.Remove(4))
	is.True(!q.Remove(4))
	_, ok := q.Pop(soon)
	is.True(!ok)
	is.Equal(len(q.Expire(soon)), 2)
	is.Equal(q.Len(), 0)
	is.Equal(len(q.Backlogs()), 0)
}

// BenchmarkPushPop measures one Push and one Pop by the number of workspaces.
func BenchmarkPushPop(b *testing.B) {
	for _, n := range []int{1, 8, 64} {
		b.Run(string(rune('0'+n/10))+string(rune('0'+n%10)), func(b *testing.B) {
			var q Queue
			ws := make([]ident.Workspace, n)
			for i := range ws {
				ws[i] = ident.Workspace(rune('a' + i))
				_ = q.Push(Item{Workspace: ws[i]}, 4, epoch)
			}
			i := 0
			b.ReportAllocs()
			for b.Loop() {
				i++
				_ = q.Push(Item{Workspace: ws[i%n]}, 4, epoch)
				q.Pop(epoch)
			}
		})
	}
}
