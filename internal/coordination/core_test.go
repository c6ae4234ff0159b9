package coordination

import (
	"slices"
	"testing"

	"pipitlatch/internal/config"
	"pipitlatch/internal/config/configtest"
	"pipitlatch/internal/coordination/messages"
	"pipitlatch/internal/micros"
	"pipitlatch/internal/storage"
)

// newTestCore returns a core that has not made its first step.
func newTestCore(t *testing.T) *Core {
	t.Helper()
	cfg, err := config.Parse(configtest.Default().Platform(), nil)
	if err != nil {
		t.Fatal(err)
	}
	return New(cfg, "1")
}

// storeRequests returns the kinds of the requests to the key-value store.
func storeRequests(out *messages.Output) (kinds []storage.RequestKind) {
	for _, call := range out.StoreCalls {
		kinds = append(kinds, call.Request.Kind)
	}
	return kinds
}

// TestFirstStepRequestOrder: the first step requests the member lease before the snapshot. Without
// a snapshot the member neither registers nor starts a watch.
func TestFirstStepRequestOrder(t *testing.T) {
	c := newTestCore(t)
	out := c.Step(micros.Second, micros.Second)
	if got, want := storeRequests(out), []storage.RequestKind{storage.LeaseGrant, storage.List}; !slices.Equal(got, want) {
		t.Errorf("requests %v, want %v", got, want)
	}
	if len(out.CloudCalls) != 1 || out.CloudCalls[0].Operation != messages.CloudCatalog {
		t.Errorf("calls to the cloud %+v, want one for the catalog", out.CloudCalls)
	}
}

// TestTickRateIsLimited: inputs in quick succession do not run the timers each time.
func TestTickRateIsLimited(t *testing.T) {
	c := newTestCore(t)
	start := micros.Second
	for _, test := range []struct {
		at   micros.Time
		next micros.Time
	}{
		{start, start + tickInterval},
		{start + 1, start + minTickInterval},
		{start + minTickInterval - 1, start + minTickInterval},
		{start + minTickInterval, start + minTickInterval + tickInterval},
	} {
		if out := c.Step(test.at, test.at, &messages.LoadShed{}); out.NextTick != test.next {
			t.Errorf("step at %d µs: next tick at %d, want %d", test.at, out.NextTick, test.next)
		}
	}
}

func TestSteadyTimeIsMonotonic(t *testing.T) {
	c := newTestCore(t)
	c.Step(2*micros.Second, 9*micros.Second)
	c.Step(micros.Second, 8*micros.Second)
	if c.now != 2*micros.Second || c.wall != 8*micros.Second {
		t.Errorf("now %d, wall %d", c.now, c.wall)
	}
	c.Step(3*micros.Second, 10*micros.Second)
	if c.now != 3*micros.Second || c.startedAt != 2*micros.Second {
		t.Errorf("now %d, started at %d", c.now, c.startedAt)
	}
}

// TestMemberJoins: a member registers and starts a watch only once it has both a lease and
// a snapshot, and campaigns only once it is registered.
func TestMemberJoins(t *testing.T) {
	c := newTestCore(t)
	now := micros.Second
	reply := func(out *messages.Output, kind storage.RequestKind, reply storage.Reply) {
		t.Helper()
		i := slices.IndexFunc(out.StoreCalls, func(call messages.StoreCall) bool { return call.Request.Kind == kind })
		if i < 0 {
			t.Fatalf("requests %v, want one of kind %d", storeRequests(out), kind)
		}
		c.Step(now, now, &messages.StoreCompletion{Call: out.StoreCalls[i].Call, Reply: &reply})
	}
	out := c.Step(now, now)
	reply(out, storage.LeaseGrant, storage.Reply{Outcome: storage.OK, Lease: 7})
	now += tickInterval
	if early := c.Step(now, now); len(early.StoreCalls) != 0 {
		t.Fatalf("requests %v before there is a snapshot, want none", storeRequests(early))
	}
	reply(out, storage.List, storage.Reply{Outcome: storage.OK, Revision: 20})
	now += tickInterval
	out = c.Step(now, now)
	if got, want := storeRequests(out), []storage.RequestKind{storage.Watch, storage.Txn}; !slices.Equal(got, want) {
		t.Fatalf("requests %v, want %v", got, want)
	}
	put := out.StoreCalls[1].Request.Puts[0]
	if put.Key != c.keys.Member("n0") {
		t.Errorf("put %q, want the registration", put.Key)
	}
	registered := storage.Item{Key: put.Key, Value: put.Value, ModRevision: 21}
	reply(out, storage.Watch, storage.Reply{Outcome: storage.OK, Revision: 21, Items: []storage.Item{registered}})
	now += tickInterval
	out = c.Step(now, now)
	i := slices.IndexFunc(out.StoreCalls, func(call messages.StoreCall) bool { return call.Request.Kind == storage.Txn })
	if i < 0 || out.StoreCalls[i].Request.Puts[0].Key != c.keys.ClusterLeader() {
		t.Errorf("requests %v, want a campaign", storeRequests(out))
	}
}
