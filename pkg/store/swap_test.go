package store_test

import (
	"context"
	"errors"
	"testing"

	"github.com/matryer/is"

	"chervilspan.example/pkg/store"
)

// refusing is a store that refuses every write with an error and counts reads.
type refusing struct {
	store.Store
	err   error
	reads int
}

func (r *refusing) Put(context.Context, store.Write) (store.Result, error) {
	return store.Result{}, r.err
}

func (r *refusing) PutAll(context.Context, []store.Write) (bool, store.Revision, error) {
	return false, 0, r.err
}

func (r *refusing) Get(_ context.Context, key string) (store.Entry, error) {
	r.reads++
	return store.Entry{Key: key}, nil
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
