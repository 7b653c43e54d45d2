package node

import (
	"context"
	"encoding/base64"
	"errors"
	"strconv"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/protobuf/proto"

	"chervilspan.example/internal/proto/peerpb"
	"chervilspan.example/pkg/member"
	"chervilspan.example/pkg/store"
)

// simStore is a VM's access to the store.
type simStore struct {
	store.Store
	fleet *simFleet
	self  member.Info
}

// simAnswerTimeout is how long an answer of the store may take to begin, and simAnswerMargin
// that to a watch after its wait.
const (
	simAnswerTimeout = time.Second
	simAnswerMargin  = 700 * time.Millisecond
	simPollHold      = simAnswerTimeout - simAnswerMargin
)

// reachWithin is reach with a timeout.
func (s simStore) reachWithin(ctx context.Context, d time.Duration) error {
	ctx, cancel := context.WithTimeout(ctx, d)
	defer cancel()
	return s.reach(ctx)
}

// reach waits for the way to the store, and reports whether the store serves the VM.
func (s simStore) reach(ctx context.Context) error {
	delay := simZoneDelay
	if s.self.Region != "r1" {
		delay = simRegionDelay
	}
	time.Sleep(delay)
	switch {
	case ctx.Err() != nil:
		return ctx.Err()
	case s.fleet.suffers(s.self.VM, turnedAway):
		return errors.New("refused")
	// A call without an answer closes the connections to the store, so the next one works.
	case s.fleet.suffers(s.self.VM, storeCut, cutOff, storeDown), !s.fleet.answers(simPair{s.self.VM, ""}, 1):
		<-ctx.Done()
		return ctx.Err()
	}
	return nil
}

func (s simStore) entry() store.Entry {
	s.fleet.mu.Lock()
	defer s.fleet.mu.Unlock()
	v := s.fleet.version
	value := s.fleet.documents[v]
	if value == nil {
		value = []byte(strconv.Itoa(int(v)))
	}
	return store.Entry{Key: "config", Value: value, Revision: store.NewRevision(1, int64(v)+1)}
}

// receive waits until an entry has come from the store, in base64.
func (s simStore) receive(ctx context.Context, e store.Entry) error {
	size := base64.StdEncoding.EncodedLen(len(e.Value))
	limit := int(store.MaxAnswer(ctx))
	tooLarge := limit > 0 && size > limit
	if tooLarge {
		size = limit
	}
	err := s.fleet.links.send(ctx, size, member.Info{VM: simStoreName, Region: "r1"}, s.self)
	if err == nil && tooLarge {
		err = &store.Error{Op: "read", Kind: store.KindTooLarge}
	}
	return err
}

// Get implements store.Store.
func (s simStore) Get(ctx context.Context, _ string) (store.Entry, error) {
	if err := s.reachWithin(ctx, simAnswerTimeout); err != nil {
		return store.Entry{}, err
	}
	e := s.entry()
	return e, s.receive(ctx, e)
}

// Watch implements store.Store by long polls that end after simWatchHold.
func (s simStore) Watch(ctx context.Context, _ string, from store.Revision, f func(store.Event)) error {
	for {
		next, err := s.poll(ctx, simWatchHold, from, f)
		if err != nil {
			return err
		}
		from = next
	}
}

// Poll implements store.Poller.
func (s simStore) Poll(ctx context.Context, _ string, from store.Revision, f func(store.Event)) error {
	if s.fleet.forgetful {
		if err := s.reachWithin(ctx, simAnswerTimeout); err != nil {
			return err
		}
		return &store.Error{Op: "watch", Kind: store.KindCompacted}
	}
	_, err := s.poll(ctx, simPollHold, from, f)
	return err
}

// poll makes one watch request, which the store holds for a time.
func (s simStore) poll(ctx context.Context, hold time.Duration, from store.Revision, f func(store.Event)) (store.Revision, error) {
	e, err := s.awaitChange(ctx, hold, from)
	if err != nil {
		return 0, err
	}
	if e.Revision > from {
		if err := s.receive(ctx, e); err != nil {
			return 0, err
		}
		f(store.Event{Entry: e})
	}
	f(store.Event{Progress: true, Entry: store.Entry{StoreRevision: e.Revision}})
	return e.Revision, nil
}

func (s simStore) awaitChange(ctx context.Context, hold time.Duration, from store.Revision) (store.Entry, error) {
	ctx, cancel := context.WithTimeout(ctx, hold+simAnswerMargin)
	defer cancel()
	if err := s.reach(ctx); err != nil {
		return store.Entry{}, err
	}
	s.fleet.mu.Lock()
	changed := s.fleet.changed
	s.fleet.mu.Unlock()
	if e := s.entry(); e.Revision <= from {
		select {
		case <-changed:
		case <-time.After(hold):
		case <-ctx.Done():
			return store.Entry{}, ctx.Err()
		}
	}
	e := s.entry()
	return e, s.reach(ctx)
}

// simPeers is a VM's access to other VMs.
type simPeers struct {
	fleet *simFleet
	self  member.Info
}

// Client implements follow.Peers.
func (p simPeers) Client(address string) (peerpb.PeerClient, error) {
	for _, m := range p.fleet.live {
		if m.Address == address {
			return simClient{fleet: p.fleet, from: p.self, to: m}, nil
		}
	}
	return nil, errors.New("no such VM")
}

// simClient calls a VM.
type simClient struct {
	peerpb.PeerClient
	fleet    *simFleet
	from, to member.Info
}

func (c simClient) reach(ctx context.Context) error {
	delay := simZoneDelay
	if c.from.Region != c.to.Region {
		delay = simRegionDelay
	}
	time.Sleep(delay)
	if c.fleet.suffers(c.from.VM, cutOff, apart) || c.fleet.suffers(c.to.VM, cutOff, apart) || !c.fleet.answers(simPair{c.from.VM, c.to.VM}, simReplaced) {
		<-ctx.Done()
	}
	return ctx.Err()
}

// request waits until a message has come to the VM that is called, reply until one has come
// back.
func (c simClient) request(ctx context.Context, m proto.Message) error {
	if err := c.reach(ctx); err != nil {
		return err
	}
	return c.fleet.links.send(ctx, proto.Size(m), c.from, c.to)
}

func (c simClient) reply(ctx context.Context, m proto.Message) error {
	if err := c.reach(ctx); err != nil {
		return err
	}
	return c.fleet.links.send(ctx, proto.Size(m), c.to, c.from)
}

func (c simClient) PushCatalogue(ctx context.Context, r *peerpb.PushCatalogueRequest, _ ...grpc.CallOption) (*peerpb.PushCatalogueReply, error) {
	if err := c.request(ctx, r); err != nil {
		return nil, err
	}
	reply, err := c.fleet.followers[c.to.Address].PushCatalogue(ctx, r)
	if err != nil {
		return nil, err
	}
	return reply, c.reply(ctx, reply)
}

func (c simClient) GetCatalogue(ctx context.Context, r *peerpb.GetCatalogueRequest, _ ...grpc.CallOption) (*peerpb.GetCatalogueReply, error) {
	if err := c.request(ctx, r); err != nil {
		return nil, err
	}
	reply, err := c.fleet.followers[c.to.Address].GetCatalogue(ctx, r)
	if err != nil {
		return nil, err
	}
	return reply, c.reply(ctx, reply)
}
