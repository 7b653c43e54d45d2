package e2e

import (
	"fmt"
	"math/rand/v2"
	"strconv"
	"sync"
	"testing"
	"time"

	"github.com/jackc/pgx/v5"
	"github.com/matryer/is"

	"chervilspan.example/pkg/ident"
	"chervilspan.example/standin/target"
)

// TestChaos guards against an order that is lost or duplicated, and against a
// session that does not see its own order, while connections fail, become silent
// or lose answers, replicas lag and the primary changes. Callers repeat an order
// with its idempotency key until it succeeds.
func TestChaos(t *testing.T) {
	for seed := range uint64(4) {
		t.Run(strconv.FormatUint(seed, 10), func(t *testing.T) {
			withFixture(t, target.Config{Lag: 20 * time.Millisecond}, func(t *testing.T, is *is.I, fx *fixture) {
				rng := rand.New(rand.NewPCG(seed, 1))
				var wg sync.WaitGroup
				for caller := range 5 {
					wg.Go(func() { fx.placeOrders(caller) })
				}
				stop := make(chan struct{})
				var faults sync.WaitGroup
				faults.Go(func() { fx.injectFaults(rng, stop) })
				wg.Wait()
				close(stop)
				faults.Wait()
				counts := fx.countByID(is)
				is.Equal(len(counts), 5*ordersPerCaller)
				for id, n := range counts {
					if n != 1 {
						t.Errorf("order %s is stored %d times", id, n)
					}
				}
			})
		})
	}
}

const ordersPerCaller = 25

// placeOrders inserts orders one after another and reads each back.
func (fx *fixture) placeOrders(caller int) {
	c := fx.connect()
	for i := range ordersPerCaller {
		id := fmt.Sprintf("%d-%d", caller, i)
		for try := 0; fx.placeOrder(c, id) != nil; try++ {
			if try == 50 {
				fx.t.Errorf("order %s never succeeded", id)
				return
			}
		}
		var n int64
		err := c.QueryRow(fx.t.Context(), "SELECT count(*) FROM orders WHERE id = $1", id).Scan(&n)
		if err == nil && n != 1 {
			fx.t.Errorf("session does not see its own order %s", id)
		}
	}
}

func (fx *fixture) placeOrder(c *pgx.Conn, id string) error {
	if _, err := c.Exec(fx.t.Context(), "SET chervil.idempotency_key = '"+id+"'"); err != nil {
		return err
	}
	_, err := c.Exec(fx.t.Context(), "INSERT INTO orders VALUES ($1, 1)", id)
	return err
}

// injectFaults sets faults until stop is closed. A majority stays reachable.
func (fx *fixture) injectFaults(rng *rand.Rand, stop chan struct{}) {
	names := []string{target.FaultSilence, target.FaultDisconnect, target.FaultDropCommit, target.FaultDelay, target.FaultSplit}
	term, primary := 1, 0
	for {
		select {
		case <-stop:
			return
		case <-time.After(time.Duration(rng.IntN(300)) * time.Millisecond):
		}
		if rng.IntN(8) == 0 {
			term++
			primary = (primary + 1) % 3
			fx.elect(ident.Term(term), primary, (primary+1)%3, (primary+2)%3)
			continue
		}
		name := names[rng.IntN(len(names))]
		value := map[string]int{target.FaultDropCommit: 1, target.FaultDisconnect: 3, target.FaultDelay: rng.IntN(30), target.FaultSplit: rng.IntN(20)}[name]
		fx.setFault(rng.IntN(3), name, strconv.Itoa(value))
	}
}
