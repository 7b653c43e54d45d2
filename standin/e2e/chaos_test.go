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

// TestChaos guards against an order that is lost or doubled, and against a
// session that misses its own order, while connections are cut, go silent or
// lose answers, replicas lag and the primary changes. Callers repeat an order
// under its key until they are told that it is done.
func TestChaos(t *testing.T) {
	for seed := range uint64(4) {
		t.Run(strconv.FormatUint(seed, 10), func(t *testing.T) {
			bubble(t, target.Config{Lag: 20 * time.Millisecond}, func(t *testing.T, is *is.I, k *kit) {
				random := rand.New(rand.NewPCG(seed, 1))
				var wg sync.WaitGroup
				for w := range 5 {
					wg.Go(func() { k.shop(w) })
				}
				stop := make(chan struct{})
				var faults sync.WaitGroup
				faults.Go(func() { k.disturb(random, stop) })
				wg.Wait()
				close(stop)
				faults.Wait()
				there := k.orders(is)
				is.Equal(len(there), 5*ordersPerShop)
				for id, n := range there {
					if n != 1 {
						t.Errorf("order %s is there %d times", id, n)
					}
				}
			})
		})
	}
}

const ordersPerShop = 25

// shop places orders one after the other and reads each back.
func (k *kit) shop(w int) {
	c := k.connect()
	for i := range ordersPerShop {
		id := fmt.Sprintf("%d-%d", w, i)
		for try := 0; k.order(c, id) != nil; try++ {
			if try == 50 {
				k.t.Errorf("order %s never succeeded", id)
				return
			}
		}
		var n int64
		err := c.QueryRow(k.t.Context(), "SELECT count(*) FROM orders WHERE id = $1", id).Scan(&n)
		if err == nil && n != 1 {
			k.t.Errorf("order %s is missing for its own session", id)
		}
	}
}

func (k *kit) order(c *pgx.Conn, id string) error {
	if _, err := c.Exec(k.t.Context(), "SET chervil.idempotency_key = '"+id+"'"); err != nil {
		return err
	}
	_, err := c.Exec(k.t.Context(), "INSERT INTO orders VALUES ($1, 1)", id)
	return err
}

// disturb sets faults until stop is closed. A majority stays reachable.
func (k *kit) disturb(random *rand.Rand, stop chan struct{}) {
	names := []string{target.FaultSilence, target.FaultDisconnect, target.FaultDropCommit, target.FaultDelay, target.FaultSplit}
	term, primary := 1, 0
	for {
		select {
		case <-stop:
			return
		case <-time.After(time.Duration(random.IntN(300)) * time.Millisecond):
		}
		if random.IntN(8) == 0 {
			term++
			primary = (primary + 1) % 3
			k.elect(ident.Term(term), primary, (primary+1)%3, (primary+2)%3)
			continue
		}
		name := names[random.IntN(len(names))]
		value := map[string]int{target.FaultDropCommit: 1, target.FaultDisconnect: 3, target.FaultDelay: random.IntN(30), target.FaultSplit: random.IntN(20)}[name]
		k.fault(random.IntN(3), name, strconv.Itoa(value))
	}
}
