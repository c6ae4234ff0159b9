// Package election campaigns for the leadership of the cluster.
package election

import (
	"pipitlatch/internal/micros"
	"pipitlatch/internal/storage"
)

const (
	// requestTimeout is how long a reply to a request is waited for.
	requestTimeout = 2 * micros.Second
	// retryInterval is how long after a reply the next campaign may begin: until then the
	// change stream has brought who was elected.
	retryInterval = 300 * micros.Millisecond
)

// Environment is what an election needs of the core.
type Environment interface {
	// Now is the steady time of this step.
	Now() micros.Time
	// CallStore sends a request to the key-value store. It returns false, and done is never
	// called, if the request budget does not allow it now.
	CallStore(r *storage.Request, urgency storage.Urgency, timeout micros.Time, done func(*storage.Reply)) bool
}

// Member has the lease that the leadership is attached to.
type Member interface {
	// LeaseID names the member lease; it is 0 while there is none.
	LeaseID() uint64
	// LeaseNotFound takes that the key-value store does not know the member lease.
	LeaseNotFound()
}

// Election is one controller's part in electing the cluster leader.
type Election struct {
	environment Environment
	member      Member
	process     storage.Process
	key         string
	inFlight    bool
	retryAt     micros.Time
}

// New returns the part of a process in the election.
func New(environment Environment, member Member, process storage.Process, keys storage.Keys) *Election {
	return &Election{environment: environment, member: member, process: process, key: keys.ClusterLeader()}
}

// Campaign tries to become the cluster leader if, by the cache, there is none.
func (e *Election) Campaign(cache *storage.Cache) {
	if e.member.LeaseID() == 0 || e.inFlight || e.environment.Now() < e.retryAt || !cache.Live(e.process) {
		return
	}
	// The key of a leader whose member runs a newer process stays until its member lease
	// ends: that process is surely dead, so its key can be taken over at once.
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

// Leads tells whether the process is the cluster leader by the cache, which may be old.
func (e *Election) Leads(cache *storage.Cache) bool {
	return cache.ClusterLeader.ModRevision != 0 && cache.ClusterLeader.Value == e.process
}

// Compare requires that the cluster leadership is still as in the cache. The leader's
// transactions need it, as they may be applied late.
func (e *Election) Compare(cache *storage.Cache) storage.Compare {
	return storage.Compare{Key: e.key, ModRevision: cache.ClusterLeader.ModRevision}
}
