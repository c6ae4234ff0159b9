package coordination

import (
	"fmt"
	"slices"
	"testing"

	"pipitlatch/internal/coordination/messages"

	"pipitlatch/internal/admission"
	"pipitlatch/internal/config"
	"pipitlatch/internal/micros"
	"pipitlatch/internal/storage"
	"pipitlatch/internal/workload"
)

// newFair is a core that serves, with fair admission, and one epoch in force that admits
// nothing but a sliver.
func newFair(t *testing.T) *Core {
	t.Helper()
	cfg, err := config.Parse([]byte(benchSettings), []byte("fair_admission { enabled: true }"))
	if err != nil {
		t.Fatal(err)
	}
	c := New(cfg, "1")
	c.catalog = workload.Catalog{"m": {Name: "m", Zones: []string{"a"}, Capacity: workload.Resources{CPU: 8000, Mem: 32_000}}}
	c.now, c.wall, c.output = micros.Second, micros.Second, &messages.Output{}
	r := storage.NewCache(c.keys)
	r.Revision = 10
	epoch := &admission.Epoch{Number: 3, Leader: 2, Written: micros.Second, Length: 4 * micros.Second, Validity: 12 * micros.Second,
		Rest: admission.Window{Start: 0, Width: 1}}
	if _, _, err := r.Apply(storage.Item{Key: c.keys.Admission(), Value: storage.Encode(epoch), ModRevision: 9}); err != nil {
		t.Fatal(err)
	}
	c.replica.Install(r, micros.Second)
	c.term.Confirm(c.now)
	return c
}

func testJob(n int) *workload.Job {
	return &workload.Job{ID: fmt.Sprintf("wk-%06d", n), Class: "c", Team: "alpha", Tasks: 1, Resources: workload.Resources{CPU: 1000, Mem: 1000}}
}

// ask submits a job and completes the reads of the state service that follow.
func ask(c *Core, at micros.Time, job *workload.Job, complete func(*storage.Request) *storage.Reply) []messages.Response {
	out := c.Step(at, at, &messages.Submit{Request: 1, ID: job.ID, Job: job})
	answers := out.Responses
	for calls := out.StoreCalls; len(calls) > 0; {
		call := calls[0]
		calls = calls[1:]
		if r := complete(call.Request); r != nil {
			out := c.Step(at, at, &messages.StoreCompletion{Call: call.Call, Reply: r})
			answers, calls = append(answers, out.Responses...), append(calls, out.StoreCalls...)
		}
	}
	return answers
}

// TestRefusalIsLookedUpFirst: a job that another controller just took, or that was moved to
// the archive, is answered as known though the epoch does not admit it; what is not known
// gets its turn; and when that can't be found out, 503.
func TestRefusalIsLookedUpFirst(t *testing.T) {
	known := testJob(7)
	for name, c := range map[string]struct {
		archived bool
		barrier  storage.Outcome
		want     messages.ResponseKind
	}{
		"not known":       {want: messages.Overloaded, barrier: storage.NotFound},
		"in the archive":  {want: messages.JobFound, barrier: storage.NotFound, archived: true},
		"cannot be found": {want: messages.ServiceUnavailable, barrier: storage.OutcomeUnknown},
	} {
		core := newFair(t)
		core.cache.Archived = true
		answers := ask(core, 2*micros.Second, known, func(r *storage.Request) *storage.Reply {
			switch {
			case r.Kind == storage.Get && r.Key == core.keys.ReadBarrier():
				return &storage.Reply{Outcome: c.barrier, Revision: 10}
			case r.Kind == storage.Get && c.archived:
				return &storage.Reply{Outcome: storage.OK, Items: []storage.Item{{Key: r.Key, ModRevision: 5, Value: storage.Encode(known.Tombstone(workload.Done))}}}
			case r.Kind == storage.Get:
				return &storage.Reply{Outcome: storage.NotFound, Revision: 10}
			case r.Kind == storage.Txn && len(r.Puts) > 0 && r.Puts[0].Key == core.keys.Job(known.ID):
				t.Errorf("%s: it is stored though it is not admitted", name)
			}
			return nil
		})
		if len(answers) != 1 || answers[0].Kind != c.want {
			t.Errorf("%s: %+v", name, answers)
			continue
		}
		if a := answers[0]; a.Kind == messages.Overloaded && (a.RetryAfter < micros.Second || a.RetryAfter > admission.MaxTurn) {
			t.Errorf("%s: come back after %d", name, a.RetryAfter)
		}
	}
}

// TestNoEpochNoRefusal: once the epoch has ended by itself, jobs are stored as ever; and so
// they are while fair admission is off, whatever is stored.
func TestNoEpochNoRefusal(t *testing.T) {
	for name, change := range map[string]func(c *Core){
		"it ended": func(c *Core) { c.now += 13 * micros.Second; c.term.Confirm(c.now) },
		"off":      func(c *Core) { c.fair = nil },
	} {
		c := newFair(t)
		change(c)
		stored := false
		ask(c, c.now, testJob(7), func(r *storage.Request) *storage.Reply {
			stored = stored || (r.Kind == storage.Txn && len(r.Puts) > 0 && r.Puts[0].Key == c.keys.Job("wk-000007"))
			return nil
		})
		if !stored {
			t.Errorf("%s: not stored", name)
		}
	}
}

// TestCancellationsAreNotJudged: cancellations and questions never meet a verdict.
func TestCancellationsAreNotJudged(t *testing.T) {
	c := newFair(t)
	job := testJob(8)
	if _, _, err := c.cache.Apply(storage.Item{Key: c.keys.Job(job.ID), Value: storage.Encode(job), ModRevision: 11}); err != nil {
		t.Fatal(err)
	}
	out := c.Step(c.now, c.now, &messages.Cancel{Request: 1, ID: job.ID})
	cancelled := false
	for _, call := range out.StoreCalls {
		cancelled = cancelled || (call.Request.Kind == storage.Txn && len(call.Request.Puts) > 0 && call.Request.Puts[0].Key == c.keys.Job(job.ID))
	}
	if !cancelled {
		t.Errorf("%+v", out)
	}
}

// TestBadRecordsAreLoggedRarely: whoever writes nonsense there fills no log.
func TestBadRecordsAreLoggedRarely(t *testing.T) {
	c := newFair(t)
	lines := 0
	for i := range 100 {
		c.now += 50 * micros.Millisecond
		c.output = &messages.Output{}
		item := storage.Item{Key: c.keys.Admission(), Value: []byte(`{"n":`), ModRevision: uint64(20 + i)}
		if _, _, err := c.cache.Apply(item); err != nil {
			t.Fatal(err)
		}
		c.admissionChanged(c.now)
		for _, l := range c.output.LogRecords {
			if l.Level >= messages.LevelWarn {
				lines++
			}
		}
	}
	if lines < 1 || lines > 2 {
		t.Errorf("%d lines in 5 s", lines)
	}
	if e := c.fair.view.Current(c.now); e == nil || e.Number != 3 {
		t.Error("the epoch before is not in force")
	}
}

// TestEpochIsWrittenAsLeader: carried out late, or by a leader that was replaced, or over a
// newer epoch, the write has no effect.
func TestEpochIsWrittenAsLeader(t *testing.T) {
	c := newFair(t)
	c.cache.ClusterLeader = storage.Versioned[storage.Process]{Value: c.process, ModRevision: 4}
	c.leader.revision = 4
	c.now += 20 * micros.Second // the epoch that was there has ended
	for i := range 3000 {
		c.fair.tracker.Asked(c.now, admission.Flow{Team: "alpha", Class: "c"}, fmt.Sprintf("wk-%06d", i))
		c.fair.tracker.Refused(c.now)
	}
	c.output = &messages.Output{}
	c.tickAdmission()
	if len(c.output.StoreCalls) != 1 {
		t.Fatalf("%d requests", len(c.output.StoreCalls))
	}
	r := c.output.StoreCalls[0].Request
	want := []storage.Compare{{Key: c.keys.ClusterLeader(), ModRevision: 4}, {Key: c.keys.Admission(), ModRevision: 9}}
	if !slices.Equal(r.Compares, want) {
		t.Errorf("conditions %+v, want %+v", r.Compares, want)
	}
	e, err := admission.Parse(r.Puts[0].Value)
	if err != nil || e.Number != 4 || e.Leader != 4 {
		t.Errorf("%+v, %v", e, err)
	}
	c.output = &messages.Output{}
	c.tickAdmission()
	if len(c.output.StoreCalls) != 0 {
		t.Error("written again while the write is out")
	}
}

// TestLagsGoOnWithTheNextHolder: as long as what the last one told is not old.
func TestLagsGoOnWithTheNextHolder(t *testing.T) {
	flow := admission.Flow{Team: "alpha", Class: "low"}
	told := &messages.PeerStatus{From: storage.Process{Member: "n1", Incarnation: "x"}, Partitions: []messages.PartitionStatus{{Partition: 0,
		Lags: []admission.FlowLag{{Flow: flow, Lag: admission.Lag{Team: 40 * micros.Second, Class: 50 * micros.Second}}}}}}
	for age, want := range map[micros.Time]admission.Lag{
		3 * micros.Second:      {Team: 40 * micros.Second, Class: 50 * micros.Second},
		lagTTL + micros.Second: {},
	} {
		c := newFair(t)
		c.now += 100 * micros.Second
		c.peers.Receive(c.now-age, told)
		h := newPartitionLeader(c, 0, storage.Versioned[storage.PartitionRecord]{ModRevision: 20})
		if got := h.fairShares.queue.Lag(flow); got != want {
			t.Errorf("told %d before: %+v", age, got)
		}
	}
}

// TestWholeFlowsOverdraw: where the budget has no more room for most, the job of a flow that
// is given all it asks for is stored all the same.
func TestWholeFlowsOverdraw(t *testing.T) {
	for width, want := range map[uint32]bool{admission.Points: true, admission.Points - 1: false} {
		c := newFair(t)
		epoch := &admission.Epoch{Number: 4, Leader: 2, Written: c.wall, Length: 4 * micros.Second, Validity: 12 * micros.Second,
			Rest: admission.Window{Width: width}}
		if _, _, err := c.cache.Apply(storage.Item{Key: c.keys.Admission(), Value: storage.Encode(epoch), ModRevision: 12}); err != nil {
			t.Fatal(err)
		}
		c.admissionChanged(c.now)
		for c.storeLimiter.Allow(c.now, 1, storage.Prompt) { // until there is room for urgent ones only
		}
		stored := false
		answers := ask(c, c.now, testJob(7), func(r *storage.Request) *storage.Reply {
			stored = stored || (r.Kind == storage.Txn && len(r.Puts) > 0 && r.Puts[0].Key == c.keys.Job("wk-000007"))
			return nil
		})
		if stored != want || (!want && (len(answers) != 1 || answers[0].Kind != messages.Overloaded)) {
			t.Errorf("width %d: stored %v, %+v", width, stored, answers)
		}
	}
}
