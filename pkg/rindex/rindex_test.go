package rindex

import (
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"chervilspan.example/pkg/ident"
)

func replica(term ident.Term) Answer {
	return Answer{Answered: true, Position: ident.Position{Term: term, Index: 7}}
}

// TestDecide guards against a former primary that is confirmed although a newer one
// may have acknowledged a commit, and against one that is never confirmed while one
// replica is down.
func TestDecide(t *testing.T) {
	received := replica(1)
	received.Received = true
	other := replica(1)
	other.Primary = true
	silent := Answer{}
	for name, c := range map[string]struct {
		answers []Answer
		sync    int
		want    Verdict
	}{
		"all refuse":                              {[]Answer{replica(1), replica(1)}, 1, Confirmed},
		"one has an entry of a newer term":        {[]Answer{replica(1), replica(2)}, 1, Superseded},
		"another primary":                         {[]Answer{replica(1), other}, 1, Contested},
		"one is silent, the other only refuses":   {[]Answer{replica(1), silent}, 1, Unknown},
		"one is silent, the other received":       {[]Answer{received, silent}, 1, Confirmed},
		"one is silent, commits need no replica":  {[]Answer{received, silent}, 0, Unknown},
		"both are silent":                         {[]Answer{silent, silent}, 1, Unknown},
		"of four, two silent":                     {[]Answer{received, silent, silent}, 1, Unknown},
		"of four, one silent, two received":       {[]Answer{received, received, silent}, 1, Confirmed},
		"silent, and an entry of a newer term":    {[]Answer{silent, replica(2)}, 1, Superseded},
		"the replicas are not known":              {nil, 1, Unknown},
		"no other database, none required":        {nil, 0, Confirmed},
		"two replicas required, one of two heard": {[]Answer{received, silent}, 2, Confirmed},
	} {
		t.Run(name, func(t *testing.T) {
			is.New(t).Equal(Decide(ident.Position{Term: 1, Index: 9}, c.answers, c.sync), c.want)
		})
	}
}

// TestDecideHistories guards against a confirmation in any history in which a newer
// primary has acknowledged a commit: its entry is at that primary, which has applied
// it, and has been received by the required replicas, in whatever state these and
// the primary are asked.
func TestDecideHistories(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		others := rapid.IntRange(1, 5).Draw(t, "others")
		sync := rapid.IntRange(0, others-1).Draw(t, "sync")
		holders := sync + 1
		answers := make([]Answer, others)
		for i := range answers {
			a := Answer{Answered: rapid.Bool().Draw(t, "answered"), Received: rapid.Bool().Draw(t, "status"), Position: ident.Position{Term: 1, Index: 3}}
			switch {
			case i == 0: // the newer primary, or what it has become since
				a.Primary = rapid.Bool().Draw(t, "still primary")
				a.Position.Term = 2
			case i < holders && a.Received:
				a.Position.Term = 2
			}
			if !a.Answered {
				a = Answer{}
			}
			answers[i] = a
		}
		if Decide(ident.Position{Term: 1, Index: 9}, answers, sync) == Confirmed {
			t.Fatalf("confirmed by %+v with %d required replicas", answers, sync)
		}
	})
}

// TestNeedsStatus guards against questions for the received position that can't
// change the verdict, since each takes a slot at a database.
func TestNeedsStatus(t *testing.T) {
	is := is.New(t)
	is.True(!NeedsStatus([]Answer{replica(1), replica(1)}, 1))
	is.True(NeedsStatus([]Answer{replica(1), {}}, 1))
	is.True(!NeedsStatus([]Answer{replica(1), {}}, 0))
	is.True(!NeedsStatus([]Answer{{}, {}}, 1))
}
