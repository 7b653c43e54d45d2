package node

import "strconv"

// updateQueueGauges reports the queues of statements that wait for databases through
// this VM.
func (n *Node) updateQueueGauges() {
	for _, q := range n.lender.QueueStates() {
		target := map[string]string{"target": string(q.Target)}
		n.metrics.Scope.Tagged(target).Gauge("statements_waiting").Update(float64(q.Waiting))
		for i := 0; i+1 < len(q.Delays); i += 2 {
			tags := map[string]string{"target": string(q.Target), "weight": strconv.FormatUint(uint64(q.Delays[i]), 10)}
			n.metrics.Scope.Tagged(tags).Gauge("queue_delay_ms").Update(float64(q.Delays[i+1]))
		}
	}
}
