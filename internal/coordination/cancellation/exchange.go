// Package cancellation exchanges notices of cancelled jobs between controllers.
//
// A cancellation takes effect when it is committed: from then on any controller may report it to a
// user, and the time within which the job's tasks must end is running. The partition leader learns of
// it from the change stream, or earlier from a peer's notice. If both fail, its leadership term ends;
// it then stops replying to agents, so the agent leases expire. Each of the three mechanisms is
// sufficient on its own.
package cancellation

import (
	"maps"
	"slices"

	"pipitlatch/internal/coordination/messages"
	"pipitlatch/internal/micros"
	"pipitlatch/internal/storage"
)

const (
	// maxNotices limits the stored notices of committed cancellations, and separately the jobs named in
	// received notices.
	maxNotices = 8192
	// maxNoticesPerMessage limits the notices in one message.
	maxNoticesPerMessage = 500
	// expiryInterval is the minimum time between two removals of expired notices.
	expiryInterval = micros.Second
)

// notice is a cancellation that is known to be committed: by this process itself, or from the change
// stream.
type notice struct {
	job         string
	sequence    uint64 // consecutive number among the notices of this process
	modRevision uint64 // revision at which the cancellation was committed
	notedAt     micros.Time
}

// Exchange holds the cancellation notices that a controller sends to its peers and receives from them.
// Every controller that knows of a committed cancellation notifies the others, since the one that
// committed it may crash right after answering the user.
//
// A received notice is only used to stop tasks. Until the change stream delivers the cancellation, it
// is not reported to users and no leadership term is extended because of it. Late or repeated notices
// are therefore harmless.
type Exchange struct {
	self storage.Process
	// ttl is how long a notice remains relevant to a controller that has not received it.
	ttl micros.Time

	notices      []notice // oldest first
	lastSequence uint64
	committed    map[string]bool                     // jobs of the notices
	notified     map[string]micros.Time              // jobs named in peers' notices, by time of first receipt
	acks         map[string]messages.CancellationAck // acknowledgements to send, by member
	expiredAt    micros.Time                         // last removal of expired notices
}

// NewExchange returns an empty exchange of a process. Notices expire after ttl.
func NewExchange(self storage.Process, ttl micros.Time) *Exchange {
	return &Exchange{
		self:      self,
		ttl:       ttl,
		committed: map[string]bool{},
		notified:  map[string]micros.Time{},
		acks:      map[string]messages.CancellationAck{},
	}
}

// RecordCommitted records that a job's cancellation was committed at a revision, and reports whether it was
// not recorded before. Beyond maxNotices, the oldest notice is dropped.
func (e *Exchange) RecordCommitted(now micros.Time, job string, modRevision uint64) bool {
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

// Known reports whether a job is known to be cancelled, from a commit or from a peer's notice.
func (e *Exchange) Known(job string) bool {
	_, notified := e.notified[job]
	return notified || e.committed[job]
}

// NoticesFor returns the cancelled jobs that a peer may not know of, oldest first, and the sequence
// number of the last one. These are jobs that, according to the peer's last status, its change stream
// had not reached and it has not acknowledged. A nil status means that none was received from the
// peer, so it may not know of any.
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

// ackedBy returns the sequence number up to which a peer has acknowledged the notices of this process.
// Acknowledgements to an earlier process of the same member do not count.
func (e *Exchange) ackedBy(peer *messages.PeerStatus) uint64 {
	var upTo uint64
	for _, ack := range peer.CancellationAcks {
		if ack.From == e.self {
			upTo = ack.UpTo
		}
	}
	return upTo
}

// Receive processes the notices in a peer's status. It returns the jobs that have to be stopped now,
// and whether there is a new acknowledgement to send.
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
		if _, ok := e.notified[job]; ok || len(e.notified) >= maxNotices {
			continue
		}
		e.notified[job] = now
		jobs = append(jobs, job)
	}
	return jobs, newAck
}

// Acks returns the acknowledgements of the peers' notices, sorted by member.
func (e *Exchange) Acks() []messages.CancellationAck {
	var acks []messages.CancellationAck
	for _, member := range slices.Sorted(maps.Keys(e.acks)) {
		acks = append(acks, e.acks[member])
	}
	return acks
}

// Expire removes notices older than the ttl, at most once per expiryInterval.
func (e *Exchange) Expire(now micros.Time) {
	if now-e.expiredAt < expiryInterval {
		return
	}
	e.expiredAt = now
	for len(e.notices) > 0 && now-e.notices[0].notedAt > e.ttl {
		e.dropOldest()
	}
	for job, requestedAt := range e.notified {
		if now-requestedAt > e.ttl {
			delete(e.notified, job)
		}
	}
}
