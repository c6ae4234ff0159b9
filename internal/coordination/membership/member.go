// Package membership is a controller's standing among the controllers of its cluster: its
// member lease and registration in the key-value store, what it hears of its peers, and
// whether it should be sent users' requests.
package membership

import (
	"pipitlatch/internal/coordination/messages"
	"pipitlatch/internal/micros"
	"pipitlatch/internal/storage"
)

const (
	// requestTimeout is how long a reply to a request is waited for.
	requestTimeout = 2 * micros.Second
	// grantRetryInterval is how long after a lease was not granted it is asked for again.
	grantRetryInterval = 200 * micros.Millisecond
	// keepaliveRetryInterval is how long after a keepalive without an answer the next is sent.
	keepaliveRetryInterval = 100 * micros.Millisecond
	// registerRetryInterval is how long after a registration it may be written again: until
	// then the change stream has brought it.
	registerRetryInterval = 300 * micros.Millisecond
)

// Environment is what a member needs of the core.
type Environment interface {
	// Now is the steady time of this step.
	Now() micros.Time
	// Log adds a record to the log; attributes are keys and values in turn.
	Log(level int, message string, attributes ...any)
	// CallStore sends a request to the key-value store. It returns false, and done is never
	// called, if the request budget does not allow it now.
	CallStore(r *storage.Request, urgency storage.Urgency, timeout micros.Time, done func(*storage.Reply)) bool
}

// Member keeps the lease and the registration of one controller process. What is attached to
// the lease, its registration and its cluster leadership, ends with it.
type Member struct {
	environment Environment
	process     storage.Process
	keys        storage.Keys
	ttl         micros.Time

	leaseID       uint64 // 0: none
	leaseInFlight bool
	renewedAt     micros.Time // when the last grant or keepalive that succeeded was sent
	leaseRetryAt  micros.Time

	registerInFlight bool
	registerRetryAt  micros.Time
}

// NewMember returns a member without a lease.
func NewMember(environment Environment, process storage.Process, keys storage.Keys, ttl micros.Time) *Member {
	return &Member{environment: environment, process: process, keys: keys, ttl: ttl}
}

// LeaseID names the member lease; it is 0 while there is none.
func (m *Member) LeaseID() uint64 { return m.leaseID }

// LeaseNotFound takes that the key-value store does not know the member lease.
func (m *Member) LeaseNotFound() { m.leaseID = 0 }

// RenewLease asks for a lease if there is none, and keeps the present one alive.
func (m *Member) RenewLease() {
	now := m.environment.Now()
	switch {
	case m.leaseInFlight || now < m.leaseRetryAt:
	case m.leaseID == 0:
		m.requestLease(now)
	case now-m.renewedAt >= m.ttl/4:
		m.keepLeaseAlive(now)
	}
}

func (m *Member) requestLease(sent micros.Time) {
	request := &storage.Request{Kind: storage.LeaseGrant, TTL: m.ttl}
	m.leaseInFlight = m.environment.CallStore(request, storage.Urgent, requestTimeout, func(r *storage.Reply) {
		m.leaseInFlight = false
		if r.Outcome == storage.OK && r.Lease != 0 {
			m.leaseID, m.renewedAt = r.Lease, sent
			return
		}
		m.leaseRetryAt = m.environment.Now() + grantRetryInterval
	})
}

func (m *Member) keepLeaseAlive(sent micros.Time) {
	request := &storage.Request{Kind: storage.LeaseKeepAlive, Lease: m.leaseID}
	m.leaseInFlight = m.environment.CallStore(request, storage.Urgent, m.ttl/3, func(r *storage.Reply) {
		m.leaseInFlight = false
		switch r.Outcome {
		case storage.OK:
			m.renewedAt = sent
		case storage.NotFound, storage.LeaseNotFound:
			m.leaseID = 0
			m.environment.Log(messages.LevelWarn, "member lease expired")
		case storage.Conflict, storage.Compacted, storage.Unavailable, storage.Invalid, storage.OutcomeUnknown:
			m.leaseRetryAt = m.environment.Now() + keepaliveRetryInterval
		}
	})
}

// Register writes the registration, attached to the lease, unless the cache has it.
func (m *Member) Register(cache *storage.Cache) {
	now := m.environment.Now()
	if m.leaseID == 0 || m.registerInFlight || now < m.registerRetryAt || cache.Live(m.process) {
		return
	}
	key := m.keys.Member(m.process.Member)
	registration := storage.Encode(storage.Registration{Process: m.process, Format: storage.Format})
	request := &storage.Request{
		Kind: storage.Txn,
		// The compare keeps a late copy of an older process's registration from replacing
		// that of its successor.
		Compares: []storage.Compare{{Key: key, ModRevision: cache.Members[m.process.Member].ModRevision}},
		Puts:     []storage.Put{{Key: key, Value: registration, Lease: m.leaseID}},
	}
	m.registerInFlight = m.environment.CallStore(request, storage.Urgent, requestTimeout, func(r *storage.Reply) {
		m.registerInFlight = false
		m.registerRetryAt = m.environment.Now() + registerRetryInterval
		if r.Outcome == storage.LeaseNotFound {
			m.LeaseNotFound()
		}
	})
}
