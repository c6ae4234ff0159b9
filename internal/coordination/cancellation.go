package coordination

import (
	"pipitlatch/internal/config"
	"pipitlatch/internal/coordination/messages"
	"pipitlatch/internal/micros"
)

// This file has what follows from a cancellation once it is committed, besides the kills (kill.go):
// the users' requests are in cancel_request.go, the messages between controllers in package
// cancellation.

// cancellationNoticeTTL is how long a cancellation may matter to a controller that has not heard of
// it: within cancel_s, the leases that it holds have expired by themselves.
func cancellationNoticeTTL(cfg *config.Config) micros.Time {
	return 2 * micros.FromSeconds(cfg.Settings.Workers.CancelS)
}

// noteOwnCancellation notes a cancellation that this controller committed, before it tells its user.
func (c *Core) noteOwnCancellation(id string, modRevision uint64) {
	if c.cancellations.Committed(c.now, id, modRevision) {
		c.status.soon = true // the partition leader is to hear of it at once
		c.requestCancel(id)
	}
}

// receiveCancellationNotices stops the jobs that a peer knows to be cancelled.
func (c *Core) receiveCancellationNotices(status *messages.PeerStatus) {
	jobs, newAck := c.cancellations.Receive(c.now, status)
	if newAck {
		c.status.soon = true
	}
	for _, id := range jobs {
		c.requestCancel(id)
	}
}

// requestCancel stops all work of a job that is known to be cancelled, before the change stream
// shows it.
func (c *Core) requestCancel(id string) {
	for _, n := range sortedKeys(c.partitions) {
		if j := c.partitions[n].jobs[id]; j != nil {
			c.partitions[n].requestCancel(j)
		}
	}
}

// isCancelled tells whether a job is cancelled as far as the change stream shows.
func (c *Core) isCancelled(id string) bool {
	entry := c.cache.Jobs[id]
	return entry != nil && entry.Cancelled()
}
