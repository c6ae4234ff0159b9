package membership

import (
	"testing"

	"pipitlatch/internal/coordination/storetest"
	"pipitlatch/internal/micros"
	"pipitlatch/internal/storage"
)

const (
	ms      = micros.Millisecond
	testTTL = 1500 * ms
)

var (
	testKeys    = storage.Keys{Prefix: "test/"}
	testProcess = storage.Process{Member: "n1", Incarnation: "new"}
)

// newMember returns a member without a lease, at a time of 1 s.
func newMember() (*Member, *storetest.Environment) {
	environment := &storetest.Environment{Time: micros.Second}
	return NewMember(environment, testProcess, testKeys, testTTL), environment
}

// newLeasedMember returns a member whose lease was granted at a time of 1 s.
func newLeasedMember(t *testing.T) (*Member, *storetest.Environment) {
	t.Helper()
	m, environment := newMember()
	m.RenewLease()
	environment.Take(t, storage.LeaseGrant).Reply(storage.Reply{Outcome: storage.OK, Lease: 7})
	return m, environment
}

func requireLease(t *testing.T, m *Member, want uint64) {
	t.Helper()
	if got := m.LeaseID(); got != want {
		t.Fatalf("lease %d, want %d", got, want)
	}
}

func TestLeaseIsGranted(t *testing.T) {
	m, environment := newMember()
	m.RenewLease()
	call := environment.Take(t, storage.LeaseGrant)
	if call.Request.TTL != testTTL || call.Urgency != storage.Urgent || call.Timeout != requestTimeout {
		t.Errorf("sent %+v of urgency %d with a timeout of %d µs", call.Request, call.Urgency, call.Timeout)
	}
	m.RenewLease()
	environment.RequireNoCall(t) // one at a time
	requireLease(t, m, 0)
	call.Reply(storage.Reply{Outcome: storage.OK, Lease: 7})
	requireLease(t, m, 7)
}

func TestLeaseIsRequestedAgain(t *testing.T) {
	for name, reply := range map[string]storage.Reply{
		"store unavailable":     {Outcome: storage.Unavailable},
		"outcome unknown":       {Outcome: storage.OutcomeUnknown},
		"granted without an ID": {Outcome: storage.OK},
	} {
		t.Run(name, func(t *testing.T) {
			m, environment := newMember()
			m.RenewLease()
			environment.Take(t, storage.LeaseGrant).Reply(reply)
			requireLease(t, m, 0)
			environment.Time += grantRetryInterval - 1
			m.RenewLease()
			environment.RequireNoCall(t)
			environment.Time++
			m.RenewLease()
			environment.Take(t, storage.LeaseGrant)
		})
	}
	t.Run("request budget spent", func(t *testing.T) {
		m, environment := newMember()
		environment.OverBudget = true
		m.RenewLease()
		environment.OverBudget = false
		m.RenewLease()
		environment.Take(t, storage.LeaseGrant)
	})
}

// TestKeepaliveCountsFromWhenItWasSent checks that the lease is renewed as of the time at which the
// keepalive was sent: the store may have processed it as early as that.
func TestKeepaliveCountsFromWhenItWasSent(t *testing.T) {
	m, environment := newLeasedMember(t)
	environment.Time += testTTL/4 - 1
	m.RenewLease()
	environment.RequireNoCall(t)
	environment.Time++
	m.RenewLease()
	call := environment.Take(t, storage.LeaseKeepAlive)
	if call.Request.Lease != 7 || call.Timeout != testTTL/3 {
		t.Errorf("sent %+v with a timeout of %d µs", call.Request, call.Timeout)
	}
	environment.Time += 300 * ms // until the reply
	call.Reply(storage.Reply{Outcome: storage.OK})
	environment.Time += testTTL/4 - 300*ms - 1
	m.RenewLease()
	environment.RequireNoCall(t)
	environment.Time++
	m.RenewLease()
	environment.Take(t, storage.LeaseKeepAlive)
}

func TestKeepaliveOutcomes(t *testing.T) {
	for name, test := range map[string]struct {
		outcome storage.Outcome
		lease   uint64
		records int
		retry   micros.Time
		next    storage.RequestKind
	}{
		"key not found: the lease expired":   {storage.NotFound, 0, 1, 0, storage.LeaseGrant},
		"lease not found: the lease expired": {storage.LeaseNotFound, 0, 1, 0, storage.LeaseGrant},
		"unavailable: sent again":            {storage.Unavailable, 7, 0, keepaliveRetryInterval, storage.LeaseKeepAlive},
		"outcome unknown: sent again":        {storage.OutcomeUnknown, 7, 0, keepaliveRetryInterval, storage.LeaseKeepAlive},
	} {
		t.Run(name, func(t *testing.T) {
			m, environment := newLeasedMember(t)
			environment.Time += testTTL / 4
			m.RenewLease()
			environment.Take(t, storage.LeaseKeepAlive).Reply(storage.Reply{Outcome: test.outcome})
			requireLease(t, m, test.lease)
			if len(environment.Messages) != test.records {
				t.Errorf("log records %q, want %d", environment.Messages, test.records)
			}
			if test.retry > 0 {
				environment.Time += test.retry - 1
				m.RenewLease()
				environment.RequireNoCall(t)
				environment.Time++
			}
			m.RenewLease()
			environment.Take(t, test.next)
		})
	}
}

// register applies the registration of a process to a cache.
func register(t *testing.T, cache *storage.Cache, process storage.Process, revision uint64) {
	t.Helper()
	record := storage.Registration{Process: process, Format: storage.Format}
	item := storage.Item{Key: testKeys.Member(process.Member), Value: storage.Encode(record), ModRevision: revision}
	if _, _, err := cache.Apply(item); err != nil {
		t.Fatal(err)
	}
}

func TestRegistrationGuardsAgainstOtherProcesses(t *testing.T) {
	for name, test := range map[string]struct {
		registered *storage.Process
		revision   uint64
	}{
		"first process: the key must not exist":                   {nil, 0},
		"successor: the key of its predecessor must be unchanged": {&storage.Process{Member: "n1", Incarnation: "old"}, 12},
	} {
		t.Run(name, func(t *testing.T) {
			m, environment := newLeasedMember(t)
			cache := storage.NewCache(testKeys)
			if test.registered != nil {
				register(t, cache, *test.registered, test.revision)
			}
			m.Register(cache)
			request := environment.Take(t, storage.Txn).Request
			want := storage.Compare{Key: "test/node/n1", ModRevision: test.revision}
			if len(request.Compares) != 1 || request.Compares[0] != want {
				t.Errorf("compares %+v, want %+v", request.Compares, want)
			}
			if len(request.Puts) != 1 || request.Puts[0].Key != want.Key || request.Puts[0].Lease != 7 {
				t.Errorf("puts %+v, want one of %q attached to lease 7", request.Puts, want.Key)
			}
		})
	}
}

func TestRegistrationWaits(t *testing.T) {
	t.Run("for a lease", func(t *testing.T) {
		m, environment := newMember()
		m.Register(storage.NewCache(testKeys))
		environment.RequireNoCall(t)
	})
	t.Run("while this process is registered", func(t *testing.T) {
		m, environment := newLeasedMember(t)
		cache := storage.NewCache(testKeys)
		register(t, cache, testProcess, 12)
		m.Register(cache)
		environment.RequireNoCall(t)
	})
	t.Run("for the reply, and then for the change stream", func(t *testing.T) {
		m, environment := newLeasedMember(t)
		cache := storage.NewCache(testKeys)
		m.Register(cache)
		call := environment.Take(t, storage.Txn)
		m.Register(cache)
		environment.RequireNoCall(t)
		call.Reply(storage.Reply{Outcome: storage.OK})
		environment.Time += registerRetryInterval - 1
		m.Register(cache)
		environment.RequireNoCall(t)
		environment.Time++
		m.Register(cache)
		environment.Take(t, storage.Txn)
	})
}

func TestRegistrationDetectsALostLease(t *testing.T) {
	m, environment := newLeasedMember(t)
	m.Register(storage.NewCache(testKeys))
	environment.Take(t, storage.Txn).Reply(storage.Reply{Outcome: storage.LeaseNotFound})
	requireLease(t, m, 0)
	m.RenewLease()
	environment.Take(t, storage.LeaseGrant)
}
