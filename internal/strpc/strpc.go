// Package strpc is the gRPC client of the platform's store. Client implements
// store.Store.
//
// # Usage
//
//	c, err := strpc.Dial("127.0.0.1:7100", nil, scope)
//	if err != nil {
//		return err
//	}
//	defer c.Close()
//	e, err := c.Get(ctx, "catalogue")
//
// A nil TLS configuration means plaintext, for a store on loopback. Each call is
// limited by CallTimeout and by its context; a watch is limited by its context only.
package strpc

import (
	"context"
	"crypto/tls"
	"time"

	"github.com/uber-go/tally/v4"
	"google.golang.org/grpc"
	"google.golang.org/grpc/backoff"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/credentials"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/grpc/keepalive"
	"google.golang.org/grpc/status"

	"chervilspan.example/internal/proto/storepb"
	"chervilspan.example/pkg/ident"
	"chervilspan.example/pkg/store"
)

// CallTimeout limits each call. The store normally answers within milliseconds; a
// call that takes this long indicates an outage.
const CallTimeout = 2 * time.Second

// Client is a connection to the store. It counts its calls and the failed ones in
// the counters store_calls and store_calls_failed.
type Client struct {
	conn *grpc.ClientConn
	rpc  storepb.StoreClient

	calls  tally.Counter
	failed tally.Counter
}

var _ store.Store = (*Client)(nil)

// Dial prepares a connection to the store at addr (IP:port). It does not wait
// for the store to be reachable.
func Dial(addr string, tlsConfig *tls.Config, scope tally.Scope) (*Client, error) {
	creds := insecure.NewCredentials()
	if tlsConfig != nil {
		creds = credentials.NewTLS(tlsConfig)
	}
	conn, err := grpc.NewClient("passthrough:///"+addr,
		grpc.WithTransportCredentials(creds),
		// gRPC's default back-off grows to two minutes; after an outage of the
		// store, each VM must reconnect within seconds.
		grpc.WithConnectParams(grpc.ConnectParams{
			Backoff:           backoff.Config{BaseDelay: 200 * time.Millisecond, Multiplier: 1.6, Jitter: 0.4, MaxDelay: 3 * time.Second},
			MinConnectTimeout: time.Second,
		}),
		// Closes a connection that has stopped answering, so that calls use a new
		// one.
		grpc.WithKeepaliveParams(keepalive.ClientParameters{Time: 10 * time.Second, Timeout: 3 * time.Second}),
	)
	if err != nil {
		return nil, &store.Error{Op: "dial", Kind: store.KindUnavailable, Err: err}
	}
	if scope == nil {
		scope = tally.NoopScope
	}
	return &Client{
		conn: conn, rpc: storepb.NewStoreClient(conn),
		calls: scope.Counter("store_calls"), failed: scope.Counter("store_calls_failed"),
	}, nil
}

// Close closes the connection; pending calls fail.
func (c *Client) Close() error { return c.conn.Close() }

// call runs one call with CallTimeout and counts it.
func call[Req, Rep any](ctx context.Context, c *Client, op, key string, f func(context.Context, Req, ...grpc.CallOption) (Rep, error), req Req) (Rep, error) {
	ctx, cancel := context.WithTimeout(ctx, CallTimeout)
	defer cancel()
	c.calls.Inc(1)
	rep, err := f(ctx, req)
	if err != nil {
		c.failed.Inc(1)
		return rep, &store.Error{Op: op, Key: key, Kind: kindOf(err), Err: err}
	}
	return rep, nil
}

func kindOf(err error) store.Kind {
	switch status.Code(err) {
	case codes.FailedPrecondition:
		return store.KindLeaseEnded
	case codes.InvalidArgument:
		return store.KindTooLarge
	}
	return store.KindUnavailable
}

func toEntry(key string, e *storepb.Entry) store.Entry {
	if e == nil {
		return store.Entry{Key: key}
	}
	return store.Entry{Key: e.Key, Value: e.Value, Revision: store.Revision(e.Revision), Lease: store.LeaseID(e.LeaseId)}
}

// Get returns the entry of a key. Its Revision is 0 when the key does not exist.
func (c *Client) Get(ctx context.Context, key string) (store.Entry, error) {
	rep, err := call(ctx, c, "get", key, c.rpc.Get, &storepb.GetRequest{Key: key})
	if err != nil {
		return store.Entry{}, err
	}
	return toEntry(key, rep.Entry), nil
}

// List returns the entries whose keys start with prefix, ordered by key.
func (c *Client) List(ctx context.Context, prefix string) ([]store.Entry, error) {
	rep, err := call(ctx, c, "list", prefix, c.rpc.List, &storepb.ListRequest{Prefix: prefix})
	if err != nil {
		return nil, err
	}
	out := make([]store.Entry, len(rep.Entries))
	for i, e := range rep.Entries {
		out[i] = toEntry(e.Key, e)
	}
	return out, nil
}

// Put writes an entry by compare-and-swap on the revision of its key.
func (c *Client) Put(ctx context.Context, w store.Write) (store.Result, error) {
	rep, err := call(ctx, c, "put", w.Key, c.rpc.Put, &storepb.PutRequest{
		Key: w.Key, Value: w.Value, Expected: int64(w.Expected), LeaseId: int64(w.Lease),
	})
	if err != nil {
		return store.Result{}, err
	}
	if !rep.Done {
		return store.Result{Current: toEntry(w.Key, rep.Current)}, nil
	}
	return store.Result{Done: true, Current: store.Entry{
		Key: w.Key, Value: w.Value, Revision: store.Revision(rep.Revision), Lease: w.Lease,
	}}, nil
}

// Delete removes a key by compare-and-swap on its revision.
func (c *Client) Delete(ctx context.Context, key string, expected store.Revision) (store.Result, error) {
	rep, err := call(ctx, c, "delete", key, c.rpc.Delete, &storepb.DeleteRequest{Key: key, Expected: int64(expected)})
	if err != nil {
		return store.Result{}, err
	}
	return store.Result{Done: rep.Done, Current: toEntry(key, rep.Current)}, nil
}

// Watch calls f with each event of the keys that start with prefix, after revision
// from, until ctx ends or the connection fails. It always returns an error.
func (c *Client) Watch(ctx context.Context, prefix string, from store.Revision, f func(store.Event)) error {
	fail := func(err error) error {
		c.failed.Inc(1)
		return &store.Error{Op: "watch", Key: prefix, Kind: store.KindUnavailable, Err: err}
	}
	c.calls.Inc(1)
	stream, err := c.rpc.Watch(ctx, &storepb.WatchRequest{Prefix: prefix, FromRevision: int64(from)})
	if err != nil {
		return fail(err)
	}
	for {
		ev, err := stream.Recv()
		if err != nil {
			return fail(err)
		}
		f(store.Event{Entry: toEntry(ev.Entry.GetKey(), ev.Entry), Deleted: ev.Deleted})
	}
}

// GrantLease returns a new lease that expires after ttl unless it is renewed.
func (c *Client) GrantLease(ctx context.Context, ttl time.Duration) (store.LeaseID, error) {
	rep, err := call(ctx, c, "grant lease", "", c.rpc.LeaseGrant, &storepb.LeaseGrantRequest{TtlMs: ttl.Milliseconds()})
	if err != nil {
		return 0, err
	}
	return store.LeaseID(rep.LeaseId), nil
}

// RenewLease extends a lease by its full lifetime. It returns false when the lease
// no longer exists.
func (c *Client) RenewLease(ctx context.Context, id store.LeaseID) (bool, error) {
	rep, err := call(ctx, c, "renew lease", "", c.rpc.LeaseRenew, &storepb.LeaseRenewRequest{LeaseId: int64(id)})
	if err != nil {
		return false, err
	}
	return rep.Alive, nil
}

// RevokeLease ends a lease and deletes its keys.
func (c *Client) RevokeLease(ctx context.Context, id store.LeaseID) error {
	_, err := call(ctx, c, "revoke lease", "", c.rpc.LeaseRevoke, &storepb.LeaseRevokeRequest{LeaseId: int64(id)})
	return err
}

// ListVMs returns the platform's list of VMs, which may be out of date.
func (c *Client) ListVMs(ctx context.Context) ([]store.VM, error) {
	rep, err := call(ctx, c, "list vms", "", c.rpc.ListVMs, &storepb.ListVMsRequest{})
	if err != nil {
		return nil, err
	}
	out := make([]store.VM, len(rep.Vms))
	for i, v := range rep.Vms {
		out[i] = store.VM{VM: ident.VM(v.Vm), Zone: ident.Zone(v.Zone), Address: v.Address, Leaving: v.Leaving}
	}
	return out, nil
}
