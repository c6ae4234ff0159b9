package coordination

import (
	"fmt"
	"testing"

	"pipitlatch/internal/admission"
	"pipitlatch/internal/config"
	"pipitlatch/internal/config/configtest"
	"pipitlatch/internal/coordination/messages"
	"pipitlatch/internal/micros"
	"pipitlatch/internal/storage"
	"pipitlatch/internal/workload"
)

// newFairAdmissionCore returns a core that can serve users, with fair admission enabled and an epoch
// in force that admits almost nothing.
func newFairAdmissionCore(t *testing.T) *Core {
	t.Helper()
	cfg, err := config.Parse(configtest.Default().Platform(), []byte("fair_admission { enabled: true }"))
	if err != nil {
		t.Fatal(err)
	}
	c := New(cfg, "1")
	c.catalog.Adopt(workload.Catalog{
		"m": {Name: "m", Zones: []string{"a"}, Capacity: workload.Resources{CPU: 8000, Mem: 32_000}},
	})
	c.now, c.wall, c.output = micros.Second, micros.Second, &messages.Output{}
	snapshot := storage.NewCache(c.keys)
	snapshot.Revision = 10
	epoch := testEpoch(3, micros.Second, admission.Window{Start: 0, Width: 1})
	item := storage.Item{Key: c.keys.Admission(), Value: storage.Encode(epoch), ModRevision: 9}
	if _, _, err := snapshot.Apply(item); err != nil {
		t.Fatal(err)
	}
	c.replica.Install(snapshot, micros.Second)
	c.term.Confirm(c.now)
	return c
}

// testEpoch returns an epoch written by the cluster leader with fencing token 2, in which all flows
// have the same window.
func testEpoch(number uint64, written micros.Time, rest admission.Window) *admission.Epoch {
	return &admission.Epoch{
		Number:   number,
		Leader:   2,
		Written:  written,
		Length:   4 * micros.Second,
		Validity: 12 * micros.Second,
		Rest:     rest,
	}
}

func testJob(n int) *workload.Job {
	return &workload.Job{
		ID:        fmt.Sprintf("wk-%06d", n),
		Class:     "c",
		Team:      "alpha",
		Tasks:     1,
		Resources: workload.Resources{CPU: 1000, Mem: 1000},
	}
}

// submitAndComplete submits a job and completes the resulting store requests at the same time.
// A request for which complete returns nil stays without a reply.
func submitAndComplete(
	c *Core, at micros.Time, job *workload.Job, complete func(*storage.Request) *storage.Reply,
) []messages.Response {
	out := c.Step(at, at, &messages.Submit{Request: 1, ID: job.ID, Job: job})
	responses := out.Responses
	for calls := out.StoreCalls; len(calls) > 0; {
		call := calls[0]
		calls = calls[1:]
		if r := complete(call.Request); r != nil {
			out := c.Step(at, at, &messages.StoreCompletion{Call: call.Call, Reply: r})
			responses, calls = append(responses, out.Responses...), append(calls, out.StoreCalls...)
		}
	}
	return responses
}

// writesKey reports whether a request is a transaction whose first put has the key.
func writesKey(r *storage.Request, key string) bool {
	return r.Kind == storage.Txn && len(r.Puts) > 0 && r.Puts[0].Key == key
}

// TestLookupPrecedesRefusal: a job that the epoch does not admit is looked up before it is refused.
// A job in the archive is answered with its state, an unknown job is told when to retry, and a failed
// lookup is answered with 503.
func TestLookupPrecedesRefusal(t *testing.T) {
	known := testJob(7)
	done := storage.Encode(known.Tombstone(workload.Done))
	for name, test := range map[string]struct {
		archived bool
		barrier  storage.Outcome
		want     messages.ResponseKind
	}{
		"not known":       {want: messages.Overloaded, barrier: storage.NotFound},
		"in the archive":  {want: messages.JobFound, barrier: storage.NotFound, archived: true},
		"cannot be found": {want: messages.ServiceUnavailable, barrier: storage.OutcomeUnknown},
	} {
		t.Run(name, func(t *testing.T) {
			core := newFairAdmissionCore(t)
			core.cache.HasArchivedJobs = true
			responses := submitAndComplete(core, 2*micros.Second, known, func(r *storage.Request) *storage.Reply {
				switch {
				case r.Kind == storage.Get && r.Key == core.keys.ReadBarrier():
					return &storage.Reply{Outcome: test.barrier, Revision: 10}
				case r.Kind == storage.Get && test.archived:
					item := storage.Item{Key: r.Key, ModRevision: 5, Value: done}
					return &storage.Reply{Outcome: storage.OK, Items: []storage.Item{item}}
				case r.Kind == storage.Get:
					return &storage.Reply{Outcome: storage.NotFound, Revision: 10}
				case writesKey(r, core.keys.Job(known.ID)):
					t.Error("job was stored although the epoch does not admit it")
				}
				return nil
			})
			if len(responses) != 1 || responses[0].Kind != test.want {
				t.Fatalf("responses %+v, want one of kind %d", responses, test.want)
			}
			after := responses[0].RetryAfter
			if test.want == messages.Overloaded && (after < micros.Second || after > admission.MaxRetryDelay) {
				t.Errorf("retry after %d µs, want %d to %d", after, micros.Second, admission.MaxRetryDelay)
			}
		})
	}
}

// TestNoRefusalWithoutEpoch: jobs are stored once the epoch has expired, and also while fair
// admission is disabled, even if the store has a record of an epoch.
func TestNoRefusalWithoutEpoch(t *testing.T) {
	for name, change := range map[string]func(c *Core){
		"expired":  func(c *Core) { c.now += 13 * micros.Second; c.term.Confirm(c.now) },
		"disabled": func(c *Core) { c.fairAdmission = nil },
	} {
		t.Run(name, func(t *testing.T) {
			c := newFairAdmissionCore(t)
			change(c)
			stored := false
			submitAndComplete(c, c.now, testJob(7), func(r *storage.Request) *storage.Reply {
				stored = stored || writesKey(r, c.keys.Job("wk-000007"))
				return nil
			})
			if !stored {
				t.Error("job was not stored")
			}
		})
	}
}

// TestCancellationBypassesAdmission: cancellations are not subject to admission.
func TestCancellationBypassesAdmission(t *testing.T) {
	c := newFairAdmissionCore(t)
	job := testJob(8)
	cacheJob(t, c, job, 11)
	out := c.Step(c.now, c.now, &messages.Cancel{Request: 1, ID: job.ID})
	cancelled := false
	for _, call := range out.StoreCalls {
		cancelled = cancelled || writesKey(call.Request, c.keys.Job(job.ID))
	}
	if !cancelled {
		t.Errorf("output %+v, want a write of the job's record", out)
	}
}

// TestNewLeaderInheritsLags: a new partition leader adopts the lags that the previous leader
// last sent, unless they are older than lagTTL.
func TestNewLeaderInheritsLags(t *testing.T) {
	flow := admission.Flow{Team: "alpha", Class: "low"}
	lag := admission.Lag{Team: 40 * micros.Second, Class: 50 * micros.Second}
	status := &messages.PeerStatus{
		From: storage.Process{Member: "n1", Incarnation: "x"},
		Partitions: []messages.PartitionStatus{
			{Partition: 0, Lags: []admission.FlowLag{{Flow: flow, Lag: lag}}},
		},
	}
	for name, test := range map[string]struct {
		age  micros.Time
		want admission.Lag
	}{
		"recent": {age: 3 * micros.Second, want: lag},
		"old":    {age: lagTTL + micros.Second},
	} {
		t.Run(name, func(t *testing.T) {
			c := newFairAdmissionCore(t)
			c.now += 100 * micros.Second
			c.peers.Receive(c.now-test.age, status)
			p := newPartitionLeader(c, 0, storage.Versioned[storage.PartitionRecord]{ModRevision: 20})
			if got := p.fairShares.queue.Lag(flow); got != test.want {
				t.Errorf("lag %+v, want %+v", got, test.want)
			}
		})
	}
}

// TestFullyAdmittedFlowOverdrawsBudget: when the request budget is exhausted for prompt requests,
// the job of a flow whose whole demand is admitted is still stored.
func TestFullyAdmittedFlowOverdrawsBudget(t *testing.T) {
	for name, test := range map[string]struct {
		width uint32
		want  bool
	}{
		"whole demand admitted": {width: admission.Points, want: true},
		"part admitted":         {width: admission.Points - 1},
	} {
		t.Run(name, func(t *testing.T) {
			c := newFairAdmissionCore(t)
			epoch := testEpoch(4, c.wall, admission.Window{Width: test.width})
			item := storage.Item{Key: c.keys.Admission(), Value: storage.Encode(epoch), ModRevision: 12}
			if _, _, err := c.cache.Apply(item); err != nil {
				t.Fatal(err)
			}
			c.admissionChanged(c.now)
			for c.storeLimiter.Allow(c.now, 1, storage.Prompt) { // until only urgent requests are allowed
			}
			stored := false
			responses := submitAndComplete(c, c.now, testJob(7), func(r *storage.Request) *storage.Reply {
				stored = stored || writesKey(r, c.keys.Job("wk-000007"))
				return nil
			})
			if stored != test.want {
				t.Errorf("stored %v, want %v", stored, test.want)
			}
			if !test.want && (len(responses) != 1 || responses[0].Kind != messages.Overloaded) {
				t.Errorf("responses %+v, want one of kind %d", responses, messages.Overloaded)
			}
		})
	}
}
