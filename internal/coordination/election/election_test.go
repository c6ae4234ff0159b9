package election

import (
	"testing"

	"pipitlatch/internal/coordination/storetest"
	"pipitlatch/internal/micros"
	"pipitlatch/internal/storage"
)

var (
	testKeys      = storage.Keys{Prefix: "test/"}
	self          = storage.Process{Member: "n1", Incarnation: "new"}
	previousSelf  = storage.Process{Member: "n1", Incarnation: "old"}
	other         = storage.Process{Member: "n2", Incarnation: "new"}
	previousOther = storage.Process{Member: "n2", Incarnation: "old"}
)

type fakeMember struct{ lease uint64 }

func (m *fakeMember) LeaseID() uint64 { return m.lease }
func (m *fakeMember) LeaseNotFound()  { m.lease = 0 }

// electionTest is an election in which this process and that of member n2 are registered.
type electionTest struct {
	*Election
	environment *storetest.Environment
	member      *fakeMember
	cache       *storage.Cache
}

func newElectionTest() *electionTest {
	e := &electionTest{
		environment: &storetest.Environment{Time: 10 * micros.Second},
		member:      &fakeMember{lease: 7},
		cache:       storage.NewCache(testKeys),
	}
	e.Election = New(e.environment, e.member, self, testKeys)
	e.cache.Members["n1"] = storage.Versioned[storage.Process]{Value: self, ModRevision: 3}
	e.cache.Members["n2"] = storage.Versioned[storage.Process]{Value: other, ModRevision: 4}
	return e
}

func (e *electionTest) elect(leader storage.Process, revision uint64) {
	e.cache.ClusterLeader = storage.Versioned[storage.Process]{Value: leader, ModRevision: revision}
}

func TestCampaign(t *testing.T) {
	for name, test := range map[string]struct {
		prepare  func(*electionTest)
		campaign bool
		revision uint64 // mod revision of the leadership that is replaced; 0: none
	}{
		"there is no leader": {
			prepare: func(*electionTest) {}, campaign: true,
		},
		"another process leads": {
			prepare: func(e *electionTest) { e.elect(other, 9) },
		},
		"this process leads": {
			prepare: func(e *electionTest) { e.elect(self, 9) },
		},
		"the leader's member runs a newer process": {
			prepare: func(e *electionTest) { e.elect(previousOther, 9) }, campaign: true, revision: 9,
		},
		"this member's previous process leads": {
			prepare: func(e *electionTest) { e.elect(previousSelf, 9) }, campaign: true, revision: 9,
		},
		"the leader is not registered: it may be alive": {
			prepare: func(e *electionTest) {
				e.elect(other, 9)
				delete(e.cache.Members, "n2")
			},
		},
		"this process has no lease": {
			prepare: func(e *electionTest) { e.member.lease = 0 },
		},
		"this process is not registered": {
			prepare: func(e *electionTest) { delete(e.cache.Members, "n1") },
		},
	} {
		t.Run(name, func(t *testing.T) {
			e := newElectionTest()
			test.prepare(e)
			e.Campaign(e.cache)
			if !test.campaign {
				e.environment.RequireNoCall(t)
				return
			}
			requireCampaign(t, e.environment.Take(t, storage.Txn), test.revision)
		})
	}
}

// requireCampaign fails the test unless a call replaces the leadership with a given mod revision.
func requireCampaign(t *testing.T, call *storetest.Call, revision uint64) {
	t.Helper()
	compare := storage.Compare{Key: "test/leader", ModRevision: revision}
	if compares := call.Request.Compares; len(compares) != 1 || compares[0] != compare {
		t.Errorf("compares %+v, want %+v", compares, compare)
	}
	puts := call.Request.Puts
	if len(puts) != 1 || puts[0].Key != compare.Key || puts[0].Lease != 7 ||
		string(puts[0].Value) != string(storage.Encode(self)) {
		t.Errorf("puts %+v, want this process attached to lease 7", puts)
	}
	if call.Urgency != storage.Urgent {
		t.Errorf("urgency %d", call.Urgency)
	}
}

func TestCampaignRateIsLimited(t *testing.T) {
	e := newElectionTest()
	e.environment.OverBudget = true
	e.Campaign(e.cache)
	e.environment.OverBudget = false
	e.Campaign(e.cache) // a request that was not sent does not delay the next one
	call := e.environment.Take(t, storage.Txn)
	e.environment.Time += micros.Second
	e.Campaign(e.cache)
	e.environment.RequireNoCall(t) // one at a time
	call.Reply(storage.Reply{Outcome: storage.Conflict})
	e.environment.Time += retryInterval - 1
	e.Campaign(e.cache)
	e.environment.RequireNoCall(t)
	e.environment.Time++
	e.Campaign(e.cache)
	e.environment.Take(t, storage.Txn)
}

func TestCampaignReportsALostLease(t *testing.T) {
	for outcome, lease := range map[storage.Outcome]uint64{
		storage.OK: 7, storage.Conflict: 7, storage.OutcomeUnknown: 7, storage.LeaseNotFound: 0,
	} {
		e := newElectionTest()
		e.Campaign(e.cache)
		e.environment.Take(t, storage.Txn).Reply(storage.Reply{Outcome: outcome})
		if e.member.lease != lease {
			t.Errorf("outcome %d: lease %d, want %d", outcome, e.member.lease, lease)
		}
	}
}

func TestIsLeader(t *testing.T) {
	for name, test := range map[string]struct {
		leader   storage.Process
		revision uint64
		want     bool
	}{
		"this process":                   {self, 9, true},
		"another process":                {other, 9, false},
		"this member's previous process": {previousSelf, 9, false},
		"no leader":                      {storage.Process{}, 0, false},
		"this process, since removed":    {self, 0, false},
	} {
		t.Run(name, func(t *testing.T) {
			e := newElectionTest()
			e.elect(test.leader, test.revision)
			if got := e.IsLeader(e.cache); got != test.want {
				t.Errorf("IsLeader = %v, want %v", got, test.want)
			}
			if got := e.Compare(e.cache); got != (storage.Compare{Key: "test/leader", ModRevision: test.revision}) {
				t.Errorf("compare %+v", got)
			}
		})
	}
}
