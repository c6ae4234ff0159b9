package coordination

import (
	"pipitlatch/internal/coordination/messages"
	"pipitlatch/internal/micros"
	"pipitlatch/internal/storage"
)

const (
	// renewalCheckInterval is the interval between checks whether attempts wait for a new fencing token.
	renewalCheckInterval = micros.Second
	// renewalsPerAgentLease limits renewals. Each is one write, and agents report a new token at once, though
	// at most twice in an agent lease.
	renewalsPerAgentLease = 4
)

// tokenRenewal paces the renewals of a partition's fencing token. An agent may forget an attempt only once it
// rejects every copy of its start command, so exited attempts wait for a token higher than that of their start.
type tokenRenewal struct {
	inFlight     bool
	nextAt       micros.Time
	waitingSince micros.Time // 0: no attempt waits
}

// awaitsFencing reports whether the attempt is over except that a copy of its start command may be executed:
// it exited, or it was stopped before the agent ever reported it.
func (a *attempt) awaitsFencing() bool {
	return a.state == messages.Exited || (a.stop.ordered && !a.start.reported && a.start.unanswered > 0)
}

// attemptAwaitsRenewal reports whether any attempt waits for a fencing token higher than the current one.
func (p *partitionLeader) attemptAwaitsRenewal() bool {
	for _, m := range p.machines {
		if m.decommissioned() {
			continue
		}
		for _, a := range m.attempts {
			if a.awaitsFencing() && !a.start.fencedBy(p.lease.fencingToken) {
				return true
			}
		}
	}
	return false
}

// requestTokenRenewal renews the partition's fencing token if attempts wait for that. The new token takes
// effect when the change stream delivers it.
func (p *partitionLeader) requestTokenRenewal() {
	now, r := p.core.now, &p.renewal
	if r.inFlight || now < r.nextAt {
		return
	}
	r.nextAt = now + renewalCheckInterval
	if !p.attemptAwaitsRenewal() {
		r.waitingSince = 0
		return
	}
	if r.waitingSince == 0 {
		r.waitingSince = now
	}
	interval := p.core.config.AgentLease() / renewalsPerAgentLease
	urgency := storage.Deferrable
	if now-r.waitingSince > interval {
		urgency = storage.Urgent
	}
	r.inFlight = p.core.callStore(p.renewalRequest(), urgency, storeTimeout, func(reply *storage.Reply) {
		r.inFlight = false
		if reply.Outcome == storage.OK {
			r.waitingSince = 0
			r.nextAt = p.core.now + interval
		}
	})
}

// renewalRequest returns the transaction that writes the partition's record again, which changes its mod
// revision. It fails if the record has changed, so a copy that is carried out late has no effect.
func (p *partitionLeader) renewalRequest() *storage.Request {
	key := p.core.keys.Partition(p.partition)
	return &storage.Request{
		Kind:     storage.Txn,
		Compares: []storage.Compare{{Key: key, ModRevision: p.lease.fencingToken}},
		Puts:     []storage.Put{{Key: key, Value: storage.Encode(p.leaseRecord())}},
	}
}

// leaseRecord returns the partition's record for a write that keeps the lease.
func (p *partitionLeader) leaseRecord() storage.PartitionRecord {
	record := p.core.cache.Partitions[p.partition].Value
	record.AcquiredRevision = p.lease.acquiredToken
	return record
}
