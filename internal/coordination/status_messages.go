package coordination

import (
	"pipitlatch/internal/coordination/messages"
	"pipitlatch/internal/micros"
	"pipitlatch/internal/workload"
)

const (
	// statusInterval is how often peers are told how things stand.
	statusInterval = 500 * micros.Millisecond
	// earlyStatusInterval is the least time between two status messages, where the next has
	// something that a peer waits for.
	earlyStatusInterval = 100 * micros.Millisecond
)

// statusSchedule paces the status messages to peers.
type statusSchedule struct {
	sentAt micros.Time
	soon   bool // send the next one soon
}

// begin tells whether a status message is due, and counts it as sent if it is.
func (s *statusSchedule) begin(now micros.Time) bool {
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

// sendStatus tells the peers how things stand, and takes the same status itself.
func (c *Core) sendStatus() {
	if !c.status.begin(c.now) {
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

// composeStatus is how things stand here, as all peers are told.
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

// receiveStatus takes a status, our own included. Nothing in it is believed that the change
// stream must tell, except that a machine is gone: that is a fact which nothing makes untrue.
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

// jobActive tells whether a job is active as far as the cache tells.
func (c *Core) jobActive(id string) bool {
	entry := c.cache.Jobs[id]
	return entry != nil && entry.Job.Phase == workload.Active
}
