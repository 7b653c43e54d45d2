package follow

import (
	"bytes"
	"context"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/rs/zerolog"

	"chervilspan.example/internal/linktest"
	"chervilspan.example/internal/proto/peerpb"
	"chervilspan.example/pkg/catal"
	"chervilspan.example/pkg/ident"
)

// TestOlderVersion guards against an older version in the store, which was restored from
// a copy, that is taken for a confirmation of the one in force: a newer one, which the
// store has lost too, would not be looked for.
func TestOlderVersion(t *testing.T) {
	runChain(t, 3, func(is *is.I, c *chain) {
		c.put(is, "3")
		time.Sleep(3 * time.Second)
		older := c.stores[0].Copy()
		c.put(is, "5")
		time.Sleep(3 * time.Second)
		reply, err := c.vms[0].PushCatalogue(context.Background(), &peerpb.PushCatalogueRequest{Version: 5})
		is.NoErr(err)
		is.True(time.Duration(reply.GetConfirmedAgeMs())*time.Millisecond < maxUnconfirmedAge)
		for _, s := range c.stores {
			s.Restore(older)
		}
		before := c.calls(2)
		time.Sleep(3 * maxUnconfirmedAge)
		for _, v := range c.vms {
			is.Equal(v.Version(), ident.Version(5))
			reply, err := v.PushCatalogue(context.Background(), &peerpb.PushCatalogueRequest{Version: 5})
			is.NoErr(err)
			is.True(time.Duration(reply.GetConfirmedAgeMs())*time.Millisecond > 2*maxUnconfirmedAge)
		}
		is.True(c.calls(2)-before <= 4) // own reads while nothing is confirmed
		c.put(is, "9")
		time.Sleep(3 * time.Second)
		for _, v := range c.vms {
			is.Equal(v.Version(), ident.Version(9))
		}
	})
}

// TestAwaitConfirmation guards against a caller that is refused by a version which has not
// been confirmed for long, while another VM knows a newer one, and against callers that wait
// one after the other while nobody does.
func TestAwaitConfirmation(t *testing.T) {
	runChain(t, 4, func(is *is.I, c *chain) {
		c.put(is, "3")
		time.Sleep(3 * time.Second)
		behind := c.vms[3]
		is.True(!behind.AwaitConfirmation()) // confirmed a moment ago
		for _, s := range c.stores {
			s.SetDown(true)
		}
		time.Sleep(2 * defaultWithin)
		start := time.Now()
		is.True(behind.AwaitConfirmation())
		is.True(time.Since(start) >= confirmTimeout)
		is.True(!behind.AwaitConfirmation())
		time.Sleep(confirmPause)
		is.Equal(behind.Version(), ident.Version(3))
		c.stores[0].SetDown(false)
		put(is, c.stores[0], "4")
		c.vms[0].Apply(&catal.Catalogue{Version: 4}, FromStore)
		c.vms[0].recordStoreVersion(4)
		c.vms[0].confirmFromStore(time.Now(), 0)
		is.True(behind.AwaitConfirmation())
		is.Equal(behind.Version(), ident.Version(4))
	})
}

// TestSilentWatch guards against a VM that watches the store and notices only by the timeout
// of its watch that the store has gone silent for it, while others know a newer version.
func TestSilentWatch(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	f := New(Config{Clock: func() time.Time { return now }, WatchTimeout: func() time.Duration { return 3 * time.Second }})
	f.setStoreUp(nil)
	f.Apply(&catal.Catalogue{Version: 5}, FromStore)
	f.recordStoreVersion(5)
	f.confirmFromStore(now, 0)
	is.Equal(f.fanout(false), 1)
	now = now.Add(3 * time.Second)
	is.Equal(f.fanout(false), 1)
	now = now.Add(answerMargin + time.Millisecond)
	is.Equal(f.fanout(false), unconfirmedFanout)
}

// TestConfirmedVersion guards against the word of a VM about an older version that
// confirms a newer one.
func TestConfirmedVersion(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	f := New(Config{Clock: func() time.Time { return now }})
	f.Apply(&catal.Catalogue{Version: 5}, "peer")
	f.confirm(4, proof{at: now, from: "peer"})
	is.True(f.confirmedAt.IsZero())
	f.confirm(5, proof{at: now, from: "peer"})
	is.Equal(f.confirmedAt, now)
}

// TestOlderLogged guards against operators who are told that the store has lost a version
// when only an event of it came late, and against a lost version that is not logged.
func TestOlderLogged(t *testing.T) {
	is := is.New(t)
	s := &linktest.Store{}
	var log bytes.Buffer
	f := New(Config{Store: s, Key: "catalogue", Decode: decode, Log: zerolog.New(&log)})
	put(is, s, "3")
	older := s.Copy()
	late, err := s.Get(t.Context(), "catalogue")
	is.NoErr(err)
	put(is, s, "5")
	f.Apply(&catal.Catalogue{Version: 5}, "peer")
	f.applyEntry(late, 0)
	_, err = f.readStore(t.Context())
	is.NoErr(err)
	is.Equal(strings.Count(log.String(), "catalogue_older"), 0)
	s.Restore(older)
	for range 2 {
		_, err = f.readStore(t.Context())
		is.NoErr(err)
	}
	is.Equal(strings.Count(log.String(), "catalogue_older"), 1)
}

// TestUnconfirmedReported guards against a VM that goes on with a version which it has not
// heard to be the newest for long, without a line that tells so, and against such a line at
// every comparison.
func TestUnconfirmedReported(t *testing.T) {
	is := is.New(t)
	var log bytes.Buffer
	now := time.Now()
	f := New(Config{Within: 6 * time.Second, Clock: func() time.Time { return now }, Log: zerolog.New(&log)})
	f.Apply(&catal.Catalogue{Version: 5}, "peer")
	f.reportUnconfirmed()
	f.confirm(5, proof{at: now, from: "10.0.0.1:1"})
	now = now.Add(4 * time.Second)
	f.reportUnconfirmed()
	is.True(!strings.Contains(log.String(), "confirmed_by"))
	now = now.Add(time.Second)
	f.reportUnconfirmed()
	f.reportUnconfirmed()
	is.Equal(strings.Count(log.String(), "catalogue_unconfirmed"), 1)
	is.True(strings.Contains(log.String(), `"age":5000,"confirmed_by":"10.0.0.1:1"`))
	is.Equal(f.Confirmation(), Confirmation{Version: 5, Age: 5 * time.Second, From: "10.0.0.1:1"})
	f.confirm(5, proof{at: now, from: FromStore})
	f.reportUnconfirmed()
	is.Equal(strings.Count(log.String(), "catalogue_confirmed"), 1)
}
