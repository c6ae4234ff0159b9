package coordination

import (
	"pipitlatch/internal/coordination/messages"
	"pipitlatch/internal/micros"
	"pipitlatch/internal/workload"
)

const (
	// statusInterval is the regular interval between status messages to peers.
	statusInterval = 500 * micros.Millisecond
	// earlyStatusInterval is the minimum interval between two status messages. It applies when the
	// next message contains information that a peer is waiting for.
	earlyStatusInterval = 100 * micros.Millisecond
)

// statusSchedule paces the status messages to peers.
type statusSchedule struct {
	sentAt micros.Time
	soon   bool // send the next one soon
}

// markSentIfDue reports whether a status message is due, and if so records it as sent.
func (s *statusSchedule) markSentIfDue(now micros.Time) bool {
	interval := statusInterval
	if s.soon {
		interval = earlyStatusInterval
	}
	if now-s.sentAt < interval {
		return false
	}
	s.sentAt, s.soon = now, false
	return true
}

// sendStatus sends the status of this controller to its peers when it is due, and processes the same
// status itself.
func (c *Core) sendStatus() {
	if !c.status.markSentIfDue(c.now) {
		return
	}
	status := c.composeStatus()
	for _, peer := range c.config.Peers {
		message := *status
		message.Transfers = c.leader.PendingTransfers(peer.Member)
		message.Cancelled, message.CancelledUpTo = c.cancellations.NoticesFor(c.lastStatus(peer.Member))
		c.output.PeerMessages = append(c.output.PeerMessages, messages.PeerMessage{To: peer.Member, Status: &message})
	}
	for _, transfer := range c.leader.PendingTransfers(c.process.Member) {
		c.transferMachine(transfer)
	}
	c.leader.ClearPendingTransfers()
	c.receiveStatus(status)
}

// composeStatus returns the part of the status message that is the same for all peers.
func (c *Core) composeStatus() *messages.PeerStatus {
	status := &messages.PeerStatus{
		From:           c.process,
		Revision:       c.cache.Revision,
		StoreReachable: c.storeReachable(),
		Usage:          c.storeLimiter.RecentUsage(),
		Reachability:   c.reachability.Report(),
	}
	c.storeLimiter.SetPeerUsage(c.peers.StoreUsage(c.now))
	for _, n := range sortedKeys(c.partitions) {
		p := c.partitions[n]
		status.Partitions = append(status.Partitions, p.status())
		status.Progress = append(status.Progress, p.jobProgress()...)
	}
	status.TerminatedMachines = c.leader.RecentlyTerminated(c.now)
	status.CancellationAcks = c.cancellations.Acks()
	status.Demand = c.demandForPeers()
	return status
}

// receiveStatus processes a status message, which may be this controller's own. The state of records
// in the store is taken only from the change stream, never from a status. The exception is that
// a machine was terminated, since this cannot be undone.
func (c *Core) receiveStatus(status *messages.PeerStatus) {
	c.peers.Receive(c.now, status)
	c.receiveCancellationNotices(status)
	c.receiveDemand(status)
	for _, machine := range status.TerminatedMachines {
		for _, p := range c.partitions {
			p.removeMachine(machine)
		}
	}
	if status.From != c.process {
		for _, transfer := range status.Transfers {
			c.transferMachine(transfer)
		}
	}
	c.progress.prune(c.jobActive)
	c.progress.update(status.Progress)
}

// jobActive reports whether a job is active according to the cache.
func (c *Core) jobActive(id string) bool {
	entry := c.cache.Jobs[id]
	return entry != nil && entry.Job.Phase == workload.Active
}
