package lead_test

import (
	"context"
	"errors"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"chervilspan.example/internal/dbpool"
	"chervilspan.example/internal/lead"
	"chervilspan.example/internal/linktest"
	"chervilspan.example/pkg/dbop"
	"chervilspan.example/pkg/ident"
	"chervilspan.example/pkg/roster"
	"chervilspan.example/pkg/store"
)

var errKilled = errors.New("the VM was killed")

// soakVM is a VM whose calls fail from the moment at which it is killed.
type soakVM struct {
	killed atomic.Bool
	table  *roster.Table
	// sendsTo is the database to which the VM would send a commit, "" for none.
	sendsTo atomic.Pointer[ident.Target]
	// cut has until when databases are cut off from the VM, by id.
	cut sync.Map
}

// reaches returns an error if the VM can't reach a database, after the wait for an answer.
func (vm *soakVM) reaches(id ident.Target, deadline time.Time) error {
	if vm.killed.Load() {
		return errKilled
	}
	until, ok := vm.cut.Load(id)
	if !ok || !time.Now().Before(until.(time.Time)) {
		return nil
	}
	time.Sleep(time.Until(deadline))
	return linktest.ErrNoAnswer
}

// soakStore is the store as one VM reaches it.
type soakStore struct {
	*linktest.Store
	vm *soakVM
}

func (s soakStore) Put(ctx context.Context, w store.Write) (store.Result, error) {
	if s.vm.killed.Load() {
		return store.Result{}, &store.Error{Op: "put", Kind: store.KindUnavailable, Err: errKilled}
	}
	return s.Store.Put(ctx, w)
}

func (s soakStore) RevokeLease(ctx context.Context, id store.LeaseID) error {
	if s.vm.killed.Load() {
		return errKilled
	}
	return s.Store.RevokeLease(ctx, id)
}

// soakDialer are the databases as one VM reaches them.
type soakDialer struct {
	*linktest.Cluster
	vm *soakVM
	// delay is how long a control statement or its answer takes.
	delay time.Duration
}

type soakLink struct {
	dbpool.Link
	vm    *soakVM
	id    ident.Target
	delay time.Duration
}

func (d soakDialer) Dial(deadline time.Time, m *roster.Member, ws ident.Workspace) (dbpool.Link, dbop.Answer, error) {
	if err := d.vm.reaches(m.ID, deadline); err != nil {
		return nil, dbop.Answer{}, err
	}
	l, a, err := d.Cluster.Dial(deadline, m, ws)
	if l != nil {
		l = soakLink{l, d.vm, m.ID, d.delay}
	}
	return l, a, err
}

func (l soakLink) Control(deadline time.Time, st dbop.Statement) (dbpool.Status, dbop.Answer, error) {
	if err := l.vm.reaches(l.id, deadline); err != nil {
		return dbpool.Status{}, dbop.Answer{}, err
	}
	time.Sleep(l.delay)
	defer time.Sleep(l.delay)
	return l.Link.Control(deadline, st)
}

func (l soakLink) Exchange(deadline time.Time, sts ...dbop.Statement) ([]dbop.Answer, error) {
	if err := l.vm.reaches(l.id, deadline); err != nil {
		return nil, err
	}
	return l.Link.Exchange(deadline, sts...)
}

func (s *soak) startSoakVM() {
	vm := &soakVM{table: &roster.Table{}}
	s.vms = append(s.vms, vm)
	dialer := soakDialer{Cluster: s.cluster, vm: vm}
	if s.far {
		dialer.delay = linkDelay
	}
	s.dialer, s.vmStore = dialer, soakStore{s.store, vm}
	s.startVM(vm.table)
	i := len(s.vms) - 1
	mon, pools := s.monitors[i], s.pools[i]
	if !s.writers {
		s.running.Go(func() { s.decide(vm, mon) })
		return
	}
	rnd := rand.New(rand.NewPCG(s.rnd.Uint64(), 0))
	s.running.Go(func() { s.write(vm, mon, pools, rnd) })
}

// isSentTo reports whether a VM would send a commit to a database.
func (s *soak) isSentTo(id ident.Target) bool {
	return slices.ContainsFunc(s.vms, func(vm *soakVM) bool {
		to := vm.sendsTo.Load()
		return !vm.killed.Load() && to != nil && *to == id
	})
}

// decide keeps sendsTo, until the VM is killed or the play ends.
func (s *soak) decide(vm *soakVM, mon *lead.Monitor) {
	for s.ctx.Err() == nil && !vm.killed.Load() {
		var to ident.Target
		if m, ok := mon.Await(time.Now().Add(soakStep), "g"); ok && mon.AllowCommit(time.Now().Add(soakStep), &m) {
			to = m.ID
		}
		vm.sendsTo.Store(&to)
		time.Sleep(soakStep)
	}
}
