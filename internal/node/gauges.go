package node

import (
	"context"
	"strconv"
	"strings"
	"time"

	"chervilspan.example/internal/evlog"
	"chervilspan.example/internal/follow"
	"chervilspan.example/internal/guard"
	"chervilspan.example/pkg/store"
)

// countsLogInterval is how often the numbers of calls to the store, of bytes and of
// refusals because of evacuations are logged.
const countsLogInterval = 10 * time.Second

// reportRestorations logs when the store has been restored from an older copy.
func (n *Node) reportRestorations(ctx context.Context) {
	s, ok := n.adapters.Store.(store.Restorable)
	for ok {
		restored := s.Restored()
		select {
		case <-ctx.Done():
			return
		case <-restored:
		}
		r := s.LastRestoration()
		evlog.At(n.log, evlog.StoreRestored).Int64("before", int64(r.Before)).Int64("after", int64(r.After)).
			Int64("last_before", r.LastBefore.Counter()).Int64("first_after", r.FirstAfter.Counter()).Send()
	}
}

// updateGauges reports totals that other packages count.
func (n *Node) updateGauges() {
	n.metrics.Scope.Gauge("target_dials").Update(float64(n.pools.Dials.Load()))
	n.metrics.Scope.Gauge("vms").Update(float64(len(n.fleet.Live())))
	n.metrics.Scope.Gauge("lent_connections").Update(float64(n.lender.LentCount()))
	n.updateCatalogueGauges()
	n.updateQueueGauges()
	n.metrics.Scope.Gauge("panics").Update(float64(guard.Count()))
	n.metrics.Scope.Gauge("sessions").Update(float64(n.engine.Sessions()))
	if s, ok := n.adapters.Store.(store.Restorable); ok {
		n.metrics.Scope.Gauge("store_epoch").Update(float64(s.Epoch()))
	}
	n.reportSpeeds()
	log := time.Since(n.countsLoggedAt) >= countsLogInterval
	n.reportEvacuation(log)
	n.reportCounts(log)
}

// updateCatalogueGauges reports the version of the catalogue in force, and how long ago it
// was last known to be the newest. The tag tells whether this VM or another one read that
// from the store.
func (n *Node) updateCatalogueGauges() {
	c := n.follower.Confirmation()
	n.metrics.Scope.Gauge("catalogue_version").Update(float64(c.Version))
	for _, own := range []bool{true, false} {
		age := 0.0
		if own == (c.From == follow.FromStore) {
			age = c.Age.Seconds()
		}
		n.metrics.Scope.Tagged(map[string]string{"own_read": strconv.FormatBool(own)}).Gauge("catalogue_age_seconds").Update(age)
	}
}

// reportCounts reports the calls to the store and the bytes sent and received, as
// metrics and, if log is set, in the log.
func (n *Node) reportCounts(log bool) {
	if log {
		n.countsLoggedAt = time.Now()
	}
	if n.adapters.StoreCounts != nil {
		calls, failures := n.adapters.StoreCounts()
		for op, count := range calls {
			n.metrics.Scope.Tagged(map[string]string{"op": strings.ReplaceAll(op, " ", "_")}).Gauge("store_calls").Update(float64(count))
		}
		n.metrics.Scope.Gauge("store_failures").Update(float64(failures))
		if log {
			evlog.At(n.log, evlog.StoreCalls).Interface("calls", calls).Uint64("failures", failures).Send()
		}
	}
	if n.adapters.Usage == nil {
		return
	}
	bytes := map[string][2]uint64{}
	for _, row := range n.adapters.Usage.Rows() {
		n.metrics.Scope.Tagged(map[string]string{"mechanism": string(row.Mechanism), "border": row.Border.String()}).Gauge("bytes").Update(float64(row.Bytes))
		bytes[string(row.Mechanism)+" "+row.Border.String()] = [2]uint64{row.Bytes, row.Messages}
	}
	if log {
		evlog.At(n.log, evlog.BytesUsed).Interface("bytes", bytes).Send()
	}
}
