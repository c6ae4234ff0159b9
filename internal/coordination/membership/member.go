// Package membership manages a controller's membership in its cluster: its member lease and
// registration in the key-value store, the status messages of its peers, and whether it should
// receive users' requests.
package membership

import (
	"pipitlatch/internal/coordination/messages"
	"pipitlatch/internal/micros"
	"pipitlatch/internal/storage"
)

const (
	// requestTimeout limits the wait for the reply to a request.
	requestTimeout = 2 * micros.Second
	// grantRetryInterval is the delay before a lease is requested again after a failed request.
	grantRetryInterval = 200 * micros.Millisecond
	// keepaliveRetryInterval is the delay before the next keepalive after a failed one.
	keepaliveRetryInterval = 100 * micros.Millisecond
	// registerRetryInterval is the minimum time before a registration is written again. It gives
	// the change stream time to deliver the previous one.
	registerRetryInterval = 300 * micros.Millisecond
)

// Environment is the part of the core that a member depends on.
type Environment interface {
	// Now returns the monotonic time of this step.
	Now() micros.Time
	// Log writes a log record; attributes are alternating keys and values.
	Log(level int, message string, attributes ...any)
	// CallStore sends a request to the key-value store. If the request budget does not
	// allow it at present, it returns false and never calls done.
	CallStore(r *storage.Request, urgency storage.Urgency, timeout micros.Time, done func(*storage.Reply)) bool
}

// Member maintains the lease and the registration of one controller process. The registration
// and the cluster leadership are attached to the lease, and are deleted when it expires.
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

// LeaseID returns the ID of the member lease, or 0 if there is none.
func (m *Member) LeaseID() uint64 { return m.leaseID }

// LeaseNotFound must be called when the key-value store reports that the member lease does not
// exist.
func (m *Member) LeaseNotFound() { m.leaseID = 0 }

// RenewLease requests a lease if there is none, and otherwise renews the present one when due.
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

// Register writes the registration, attached to the lease, unless the cache already contains it.
func (m *Member) Register(cache *storage.Cache) {
	now := m.environment.Now()
	if m.leaseID == 0 || m.registerInFlight || now < m.registerRetryAt || cache.Live(m.process) {
		return
	}
	key := m.keys.Member(m.process.Member)
	registration := storage.Encode(storage.Registration{Process: m.process, Format: storage.Format})
	request := &storage.Request{
		Kind: storage.Txn,
		// The compare prevents a delayed registration of an older process from overwriting
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
