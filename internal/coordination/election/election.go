// Package election elects the cluster leader.
package election

import (
	"pipitlatch/internal/micros"
	"pipitlatch/internal/storage"
)

const (
	// requestTimeout limits the wait for the reply to a request.
	requestTimeout = 2 * micros.Second
	// retryInterval is the minimum time between a reply and the next campaign. It gives the change
	// stream time to deliver the result of the election.
	retryInterval = 300 * micros.Millisecond
)

// Environment is the part of the core that an election depends on.
type Environment interface {
	// Now returns the monotonic time of this step.
	Now() micros.Time
	// CallStore sends a request to the key-value store. If the request budget does not
	// allow it at present, it returns false and never calls done.
	CallStore(r *storage.Request, urgency storage.Urgency, timeout micros.Time, done func(*storage.Reply)) bool
}

// Member provides the lease to which the leadership is attached.
type Member interface {
	// LeaseID returns the ID of the member lease, or 0 if there is none.
	LeaseID() uint64
	// LeaseNotFound reports to the member that its lease does not exist in the key-value store.
	LeaseNotFound()
}

// Election is one controller's participation in the election of the cluster leader.
type Election struct {
	environment Environment
	member      Member
	process     storage.Process
	key         string
	inFlight    bool
	retryAt     micros.Time
}

// New returns the participation of a process in the election.
func New(environment Environment, member Member, process storage.Process, keys storage.Keys) *Election {
	return &Election{environment: environment, member: member, process: process, key: keys.ClusterLeader()}
}

// Campaign tries to become the cluster leader if there is none according to the cache.
func (e *Election) Campaign(cache *storage.Cache) {
	if e.member.LeaseID() == 0 || e.inFlight || e.environment.Now() < e.retryAt || !cache.Live(e.process) {
		return
	}
	// A leader whose member has been restarted is known to be dead, but its key remains until its
	// member lease expires. The key can be taken over immediately.
	if leader := cache.ClusterLeader; leader.ModRevision != 0 && !cache.Dead(leader.Value) {
		return
	}
	request := &storage.Request{
		Kind:     storage.Txn,
		Compares: []storage.Compare{e.Compare(cache)},
		Puts:     []storage.Put{{Key: e.key, Value: storage.Encode(e.process), Lease: e.member.LeaseID()}},
	}
	e.inFlight = e.environment.CallStore(request, storage.Urgent, requestTimeout, func(r *storage.Reply) {
		e.inFlight = false
		e.retryAt = e.environment.Now() + retryInterval
		if r.Outcome == storage.LeaseNotFound {
			e.member.LeaseNotFound()
		}
	})
}

// IsLeader reports whether the process is the cluster leader according to the cache, which may be
// outdated.
func (e *Election) IsLeader(cache *storage.Cache) bool {
	return cache.ClusterLeader.ModRevision != 0 && cache.ClusterLeader.Value == e.process
}

// Compare returns a condition that the cluster leadership is unchanged since the cache. The
// leader's transactions must include it, as they may be applied after another leader was elected.
func (e *Election) Compare(cache *storage.Cache) storage.Compare {
	return storage.Compare{Key: e.key, ModRevision: cache.ClusterLeader.ModRevision}
}
