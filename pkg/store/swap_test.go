package store_test

import (
	"context"
	"errors"
	"testing"

	"github.com/matryer/is"

	"chervilspan.example/pkg/store"
)

// refusing is a store that refuses every write with an error and counts reads, which
// find revision.
type refusing struct {
	store.Store
	err      error
	reads    int
	revision store.Revision
}

func (r *refusing) Put(context.Context, store.Write) (store.Result, error) {
	return store.Result{}, r.err
}

func (r *refusing) PutAll(context.Context, []store.Write) (bool, store.Revision, error) {
	return false, 0, r.err
}

func (r *refusing) Get(_ context.Context, key string) (store.Entry, error) {
	r.reads++
	return store.Entry{Key: key, Value: []byte(`{"op":"other","value":1}`), Revision: r.revision}, nil
}

// TestSwapRefused guards against a write that the store has refused for good and that is
// reported as one whose outcome is unknown.
func TestSwapRefused(t *testing.T) {
	for _, k := range []store.Kind{store.KindLeaseEnded, store.KindTooLarge} {
		is := is.New(t)
		s := &refusing{err: &store.Error{Op: "put", Kind: k}}
		w := store.Write{Key: "k", Value: []byte(`{}`)}
		_, err := store.Swap(t.Context(), s, w)
		is.True(errors.Is(err, s.err))
		_, _, err = store.SwapAll(t.Context(), s, s, []store.Write{w})
		is.True(errors.Is(err, s.err))
		is.Equal(s.reads, 0)
	}
}

// TestSwapAcrossRestoration guards against an unanswered write that is reported as not
// done although it may still arrive: the restored store has the key at the same counter.
func TestSwapAcrossRestoration(t *testing.T) {
	is := is.New(t)
	s := &refusing{err: &store.Error{Op: "put", Kind: store.KindUnavailable}, revision: store.NewRevision(2, 40)}
	_, err := store.Swap(t.Context(), s, store.Write{Key: "k", Value: []byte(`{}`), Expected: store.NewRevision(1, 40)})
	var e *store.Error
	is.True(errors.As(err, &e) && e.Kind == store.KindUnavailable)
	s.revision = store.NewRevision(2, 41)
	res, err := store.Swap(t.Context(), s, store.Write{Key: "k", Value: []byte(`{}`), Expected: store.NewRevision(1, 40)})
	is.NoErr(err)
	is.True(!res.Done)
}
