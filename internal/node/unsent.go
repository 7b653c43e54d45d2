package node

import (
	"errors"
	"time"

	"chervilspan.example/internal/dbpool"
	"chervilspan.example/internal/evlog"
	"chervilspan.example/pkg/dbop"
	"chervilspan.example/pkg/ident"
	"chervilspan.example/pkg/roster"
)

// recordNotSent implements dbpool.Pools.NotSent.
func (n *Node) recordNotSent(m *roster.Member, ws ident.Workspace, err error) {
	reason := dbop.Malformed
	if errors.Is(err, dbpool.ErrTooLarge) {
		reason = dbop.TooLarge
	}
	n.metrics.Scope.Tagged(map[string]string{"reason": reason.String()}).Counter("messages_not_sent").Inc(1)
	count := n.notSent.Add(time.Now())
	if count == 0 {
		return
	}
	evlog.At(n.log, evlog.MessageNotSent).Str("reason", reason.String()).Str("target", string(m.ID)).
		Str("workspace", string(ws)).Int("count", count).Err(err).Send()
}
