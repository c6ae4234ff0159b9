// Package cancellation keeps what controllers tell each other of cancelled jobs.
//
// A cancellation binds from its commit: from then on any controller may tell it to a user, and the
// time within which the job's tasks must end runs. The partition leader learns of it from the change
// stream, or sooner from a peer's notice; should it learn of it in neither way, its leadership term
// ends, after which it replies to no agent, so that the agent leases expire. Each of the three is
// enough without the others.
package cancellation

import (
	"maps"
	"slices"

	"pipitlatch/internal/coordination/messages"
	"pipitlatch/internal/micros"
	"pipitlatch/internal/storage"
)

const (
	// maxNotices bounds the notices that are kept to be sent, and the received ones.
	maxNotices = 8192
	// maxNoticesPerMessage bounds those in one message.
	maxNoticesPerMessage = 500
	// expiryInterval is how often expired notices are looked for.
	expiryInterval = micros.Second
)

// notice is a cancellation that is a fact: committed by this process, or shown by the change stream.
type notice struct {
	job         string
	sequence    uint64 // counts the notices of this process
	modRevision uint64 // at which the cancellation was committed
	notedAt     micros.Time
}

// Exchange is what a controller tells its peers of cancellations, and hears from them. Whoever knows
// of a cancellation tells the others, since the controller that committed it may end right after its
// response.
//
// What peers tell is believed for stopping only: nobody is told that a job is cancelled, and no term
// gets longer, before the change stream shows it. So a late or repeated notice does no harm.
type Exchange struct {
	self storage.Process
	// ttl is how long a cancellation may matter to a controller that has not heard of it.
	ttl micros.Time

	notices      []notice // oldest first
	lastSequence uint64
	committed    map[string]bool        // jobs of the notices
	requested    map[string]micros.Time // jobs that a peer's notice named, and when it came first
	acks         map[string]messages.CancellationAck
	expiredAt    micros.Time
}

// NewExchange returns the exchange of a process. Notices expire after the ttl.
func NewExchange(self storage.Process, ttl micros.Time) *Exchange {
	return &Exchange{
		self:      self,
		ttl:       ttl,
		committed: map[string]bool{},
		requested: map[string]micros.Time{},
		acks:      map[string]messages.CancellationAck{},
	}
}

// Committed notes that a job's cancellation was committed at a revision, and tells whether that is
// new. When there are too many notices, the oldest goes.
func (e *Exchange) Committed(now micros.Time, job string, modRevision uint64) bool {
	if e.committed[job] {
		return false
	}
	e.committed[job] = true
	e.lastSequence++
	e.notices = append(e.notices, notice{
		job: job, sequence: e.lastSequence, modRevision: modRevision, notedAt: now,
	})
	if len(e.notices) > maxNotices {
		e.dropOldest()
	}
	return true
}

func (e *Exchange) dropOldest() {
	delete(e.committed, e.notices[0].job)
	e.notices = e.notices[1:]
}

// Known tells whether a job is known to be cancelled, by a commit or by a peer's notice.
func (e *Exchange) Known(job string) bool {
	_, requested := e.requested[job]
	return requested || e.committed[job]
}

// NoticesFor returns the cancelled jobs that a peer may not know of, oldest first, and the sequence
// number of the last: as its last status says, its change stream had not come that far, and it has
// not acknowledged them. A peer that was never heard, nil, may know of none.
func (e *Exchange) NoticesFor(peer *messages.PeerStatus) (jobs []string, upTo uint64) {
	var acked, revision uint64
	if peer != nil {
		acked, revision = e.ackedBy(peer), peer.Revision
	}
	for _, n := range e.notices {
		if n.sequence <= acked || n.modRevision <= revision {
			continue
		}
		if len(jobs) == maxNoticesPerMessage {
			break
		}
		jobs, upTo = append(jobs, n.job), n.sequence
	}
	return jobs, upTo
}

// ackedBy is up to which sequence number a peer acknowledged the notices of this process. What it
// acknowledged to an earlier process of the same member does not count.
func (e *Exchange) ackedBy(peer *messages.PeerStatus) uint64 {
	var upTo uint64
	for _, ack := range peer.CancellationAcks {
		if ack.From == e.self {
			upTo = ack.UpTo
		}
	}
	return upTo
}

// Receive takes the notices in a peer's status. It returns the jobs that are to be stopped now, and
// whether there is something new to be acknowledged.
func (e *Exchange) Receive(now micros.Time, status *messages.PeerStatus) (jobs []string, newAck bool) {
	if len(status.Cancelled) == 0 || status.From == e.self {
		return nil, false
	}
	member := status.From.Member
	if ack := e.acks[member]; ack.From != status.From || ack.UpTo < status.CancelledUpTo {
		e.acks[member] = messages.CancellationAck{From: status.From, UpTo: status.CancelledUpTo}
		newAck = true
	}
	for _, job := range status.Cancelled {
		if _, ok := e.requested[job]; ok || len(e.requested) >= maxNotices {
			continue
		}
		e.requested[job] = now
		jobs = append(jobs, job)
	}
	return jobs, newAck
}

// Acks are the acknowledgements of the peers' notices, in order of the members.
func (e *Exchange) Acks() []messages.CancellationAck {
	var acks []messages.CancellationAck
	for _, member := range slices.Sorted(maps.Keys(e.acks)) {
		acks = append(acks, e.acks[member])
	}
	return acks
}

// Expire forgets, now and then, the notices that matter to nobody any more.
func (e *Exchange) Expire(now micros.Time) {
	if now-e.expiredAt < expiryInterval {
		return
	}
	e.expiredAt = now
	for len(e.notices) > 0 && now-e.notices[0].notedAt > e.ttl {
		e.dropOldest()
	}
	for job, requestedAt := range e.requested {
		if now-requestedAt > e.ttl {
			delete(e.requested, job)
		}
	}
}
