package coordination

import (
	"pipitlatch/internal/config"
	"pipitlatch/internal/coordination/messages"
	"pipitlatch/internal/micros"
)

// This file handles committed cancellations, except for killing the tasks (kill.go). Users' requests
// are handled in cancel_request.go, and notices between controllers in package cancellation.

// cancellationNoticeTTL returns how long a cancellation notice remains relevant to a controller that
// has not received it. The leases that such a controller holds expire within cancel_s.
func cancellationNoticeTTL(cfg *config.Config) micros.Time {
	return 2 * micros.FromSeconds(cfg.Settings.Workers.CancelS)
}

// recordOwnCancellation records a cancellation that this controller committed. It is called before the
// user's request is answered.
func (c *Core) recordOwnCancellation(id string, modRevision uint64) {
	if c.cancellations.RecordCommitted(c.now, id, modRevision) {
		c.status.soon = true // notifies the partition leader without delay
		c.requestCancel(id)
	}
}

// receiveCancellationNotices stops the jobs that a peer's status lists as cancelled.
func (c *Core) receiveCancellationNotices(status *messages.PeerStatus) {
	jobs, newAck := c.cancellations.Receive(c.now, status)
	if newAck {
		c.status.soon = true
	}
	for _, id := range jobs {
		c.requestCancel(id)
	}
}

// requestCancel kills all attempts of a job that is known to be cancelled, without waiting for the
// change stream to deliver the cancellation.
func (c *Core) requestCancel(id string) {
	for _, n := range sortedKeys(c.partitions) {
		if j := c.partitions[n].jobs[id]; j != nil {
			c.partitions[n].requestCancel(j)
		}
	}
}

// isCancelled reports whether a job is cancelled according to the change stream.
func (c *Core) isCancelled(id string) bool {
	entry := c.cache.Jobs[id]
	return entry != nil && entry.Cancelled()
}
