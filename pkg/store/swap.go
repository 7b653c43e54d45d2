package store

import (
	"context"
	"encoding/json"
	"errors"

	"github.com/google/uuid"
)

// envelope is the stored form of a value: the value with the id of the operation
// that wrote it.
type envelope struct {
	Op    string          `json:"op"`
	Value json.RawMessage `json:"value"`
}

// Swap writes a JSON value by compare-and-swap and resolves a lost answer: when
// Put fails, the entry is read back, and the write counts as done when the entry
// carries this operation's id. An error of kind KindUnavailable means that the
// outcome is unknown: the read failed too, or it found the expected revision, in
// which case the write may still arrive. Other kinds mean that nothing was written.
// Result.Current.Value is the value
// without its envelope.
func Swap(ctx context.Context, s Store, w Write) (Result, error) {
	op := uuid.NewString()
	raw, err := json.Marshal(envelope{Op: op, Value: w.Value})
	if err != nil {
		return Result{}, &Error{Op: "swap", Key: w.Key, Kind: KindFormat, Err: err}
	}
	value := w.Value
	w.Value = raw
	res, err := s.Put(ctx, w)
	if refused(err) {
		return Result{}, err
	}
	if err != nil {
		return readBack(ctx, s, w, op, err)
	}
	if res.Done {
		res.Current.Value = value
		return res, nil
	}
	// The service's client may have sent the write twice, in which case the
	// second attempt finds the entry of the first.
	return resultFrom(res.Current, op)
}

// refused reports whether an error says that nothing was written.
func refused(err error) bool {
	var e *Error
	return errors.As(err, &e) && (e.Kind == KindLeaseEnded || e.Kind == KindTooLarge)
}

func readBack(ctx context.Context, s Store, w Write, op string, cause error) (Result, error) {
	e, err := s.Get(ctx, w.Key)
	if err != nil {
		return Result{}, &Error{Op: "swap", Key: w.Key, Kind: KindUnavailable, Err: cause}
	}
	if e.Revision.Counter() == w.Expected.Counter() {
		// The write has not been applied, but its request may still arrive. The store
		// compares its counter only, also when it was restored in between.
		return Result{}, &Error{Op: "swap", Key: w.Key, Kind: KindUnavailable, Err: cause}
	}
	return resultFrom(e, op)
}

func resultFrom(e Entry, op string) (Result, error) {
	if e.Revision == 0 {
		return Result{Current: e}, nil
	}
	env, err := decodeEnvelope(e)
	if err != nil {
		return Result{}, err
	}
	e.Value = env.Value
	return Result{Done: env.Op == op, Current: e}, nil
}

// Read returns the entry of a key that Swap wrote, with the value without its
// envelope. Its Revision is 0 when the key does not exist.
func Read(ctx context.Context, s Store, key string) (Entry, error) {
	e, err := s.Get(ctx, key)
	if err != nil || e.Revision == 0 {
		return e, err
	}
	return DecodeEntry(e)
}

// DecodeEntry returns e with the value that was passed to Swap, for entries that
// come from List or Watch.
func DecodeEntry(e Entry) (Entry, error) {
	env, err := decodeEnvelope(e)
	if err != nil {
		return Entry{}, err
	}
	e.Value = env.Value
	return e, nil
}

func decodeEnvelope(e Entry) (envelope, error) {
	var env envelope
	if err := json.Unmarshal(e.Value, &env); err != nil {
		return envelope{}, &Error{Op: "read", Key: e.Key, Kind: KindFormat, Err: err}
	}
	return env, nil
}

// SwapAll is Swap for several writes, of which either all or none are done. An
// error of kind KindUnavailable means that the outcome is unknown.
func SwapAll(ctx context.Context, s Store, b Batcher, ws []Write) (done bool, rev Revision, err error) {
	op := uuid.NewString()
	wrapped := make([]Write, len(ws))
	for i, w := range ws {
		raw, err := json.Marshal(envelope{Op: op, Value: w.Value})
		if err != nil {
			return false, 0, &Error{Op: "swap", Key: w.Key, Kind: KindFormat, Err: err}
		}
		wrapped[i] = w
		wrapped[i].Value = raw
	}
	done, rev, err = b.PutAll(ctx, wrapped)
	if err == nil || len(ws) == 0 || refused(err) {
		return done, rev, err
	}
	res, err := readBack(ctx, s, wrapped[0], op, err)
	return res.Done, res.Current.Revision, err
}
