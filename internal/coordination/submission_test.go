package coordination

import (
	"slices"
	"strings"
	"testing"

	"pipitlatch/internal/coordination/messages"
	"pipitlatch/internal/micros"
	"pipitlatch/internal/storage"
	"pipitlatch/internal/workload"
)

// newServingCore returns a core that serves users, without fair admission.
func newServingCore(t *testing.T) *Core {
	t.Helper()
	c := newFairAdmissionCore(t)
	c.fairAdmission = nil
	c.cache.Format = storage.Format
	return c
}

// cacheJob adds a job's record to the core's cache.
func cacheJob(t *testing.T, c *Core, job *workload.Job, modRevision uint64) {
	t.Helper()
	item := storage.Item{Key: c.keys.Job(job.ID), Value: storage.Encode(job), ModRevision: modRevision}
	if _, _, err := c.cache.Apply(item); err != nil {
		t.Fatal(err)
	}
}

// emptyStore simulates a store without any records beyond those in the cache: reads find nothing,
// transactions succeed and are recorded. Other requests get no reply.
type emptyStore struct{ transactions []*storage.Request }

func (s *emptyStore) reply(r *storage.Request) *storage.Reply {
	if r.Kind == storage.Get {
		return &storage.Reply{Outcome: storage.NotFound, Revision: 10}
	}
	if r.Kind != storage.Txn {
		return nil
	}
	s.transactions = append(s.transactions, r)
	return &storage.Reply{Outcome: storage.OK, Revision: 50}
}

// writtenRecord returns the job's record from the first transaction that wrote it, or nil if none did.
func (s *emptyStore) writtenRecord(t *testing.T, key string) *workload.Job {
	t.Helper()
	for _, r := range s.transactions {
		for _, put := range r.Puts {
			if put.Key != key {
				continue
			}
			entry, err := storage.DecodeJob(storage.Item{Key: key, Value: put.Value})
			if err != nil {
				t.Fatal(err)
			}
			return entry.Job
		}
	}
	return nil
}

// submitAndWait submits a job and returns the responses, see requestAndWait.
func submitAndWait(c *Core, job *workload.Job, reply func(*storage.Request) *storage.Reply) []messages.Response {
	return requestAndWait(c, &messages.Submit{Request: 1, ID: job.ID, Job: job}, reply)
}

// requestAndWait sends a user's request to the core, completes the resulting store calls, and advances
// time until there is a response, for at most a second.
func requestAndWait(c *Core, request messages.Input, reply func(*storage.Request) *storage.Reply) []messages.Response {
	var responses []messages.Response
	inputs := []messages.Input{request}
	for at := 2 * micros.Second; at < 3*micros.Second && len(responses) == 0; at += 50 * micros.Millisecond {
		for first := true; first || len(inputs) > 0; first = false {
			out := c.Step(at, at, inputs...)
			responses = append(responses, out.Responses...)
			inputs = nil
			for _, call := range out.StoreCalls {
				if r := reply(call.Request); r != nil {
					inputs = append(inputs, &messages.StoreCompletion{Call: call.Call, Reply: r})
				}
			}
		}
	}
	return responses
}

func TestUnschedulableSubmissionIsRejectedWithReason(t *testing.T) {
	tests := []struct {
		name   string
		change func(j *workload.Job)
		want   string
	}{
		{name: "team limit", change: func(j *workload.Job) { j.Team = "limited" }, want: "needs more than the team's limit"},
		{name: "unknown team", change: func(j *workload.Job) { j.Team = "nobody" }, want: "unknown team"},
		{name: "no fitting instance type", change: func(j *workload.Job) { j.Resources.CPU = 9000 },
			want: "a task fits no allowed machine type"},
		{name: "record too large", change: func(j *workload.Job) { j.Image = strings.Repeat("i", 20<<10) },
			want: "its description is too long to be kept"},
		{name: "self-dependency", change: func(j *workload.Job) { j.DependsOn = []string{j.ID} }, want: "it waits on itself"},
		{name: "unknown dependency", change: func(j *workload.Job) { j.DependsOn = []string{"wk-000001", "wk-000099"} },
			want: "it waits on a job that was never accepted: wk-000099"},
		{name: "service as dependency", change: func(j *workload.Job) { j.DependsOn = []string{"wk-000002"} },
			want: "it waits on a service: wk-000002"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c, store := newServingCore(t), &emptyStore{}
			cacheJob(t, c, testJob(1), 11)
			c.teams["limited"] = &workload.Team{LimitCPU: 500, LimitGPU: -1}
			service := testJob(2)
			service.Kind = workload.Service
			cacheJob(t, c, service, 12)
			job := testJob(7)
			test.change(job)
			responses := submitAndWait(c, job, store.reply)
			if len(responses) != 1 || responses[0].Kind != messages.JobUnschedulable || responses[0].Reason != test.want {
				t.Errorf("got responses %+v, want one with text %q", responses, test.want)
			}
			if record := store.writtenRecord(t, c.keys.Job(job.ID)); record != nil {
				t.Errorf("rejected job was written: %+v", record)
			}
		})
	}
}

func TestRejectedDuplicateReturnsJobStatus(t *testing.T) {
	c := newServingCore(t)
	job := testJob(7)
	c.cache.HasArchivedJobs = true
	tombstone := job.Tombstone(workload.Done)
	known := storage.Item{Key: c.keys.ArchivedJob(job.ID), ModRevision: 5, Value: storage.Encode(tombstone)}
	repeated := testJob(7)
	repeated.Team = "nobody"
	responses := submitAndWait(c, repeated, func(r *storage.Request) *storage.Reply {
		if r.Key == known.Key {
			return &storage.Reply{Outcome: storage.OK, Items: []storage.Item{known}}
		}
		return (&emptyStore{}).reply(r)
	})
	if len(responses) != 1 || responses[0].Kind != messages.JobFound || responses[0].Job.Phase != workload.Done {
		t.Errorf("got responses %+v, want one that the job is done", responses)
	}
}

func TestAcceptedRecordListsOnlyUnfinishedDependencies(t *testing.T) {
	tests := []struct {
		name         string
		dependencies []string
		wantPhase    workload.Phase
		want         []string
	}{
		{name: "done and unfinished", dependencies: []string{"wk-000001", "wk-000002"}, want: []string{"wk-000001"}},
		{name: "all done", dependencies: []string{"wk-000002"}},
		{name: "one cancelled", dependencies: []string{"wk-000001", "wk-000003"}, wantPhase: workload.Cancelled},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c, store := newServingCore(t), &emptyStore{}
			cacheJob(t, c, testJob(1), 11)
			cacheJob(t, c, testJob(2).Tombstone(workload.Done), 12)
			cacheJob(t, c, testJob(3).Tombstone(workload.Cancelled), 13)
			job := testJob(7)
			job.DependsOn = test.dependencies
			responses := submitAndWait(c, job, store.reply)
			if len(responses) != 1 || responses[0].Kind != messages.JobAccepted || responses[0].Job.Phase != test.wantPhase {
				t.Errorf("got responses %+v, want one that the job was accepted in phase %d", responses, test.wantPhase)
			}
			record := store.writtenRecord(t, c.keys.Job(job.ID))
			if record == nil {
				t.Fatal("job record was not written")
			}
			if record.Phase != test.wantPhase || !slices.Equal(record.DependsOn, test.want) {
				t.Errorf("got record in phase %d with dependencies %v, want phase %d with %v",
					record.Phase, record.DependsOn, test.wantPhase, test.want)
			}
		})
	}
}

func TestDependenciesRequireAllMembersUpgraded(t *testing.T) {
	c, store := newServingCore(t), &emptyStore{}
	cacheJob(t, c, testJob(1), 11)
	c.cache.Format = storage.Format - 1
	job := testJob(7)
	job.DependsOn = []string{"wk-000001"}
	responses := submitAndWait(c, job, store.reply)
	const want = "an older version is still running"
	if len(responses) != 1 || responses[0].Kind != messages.ServiceUnavailable || responses[0].Reason != want {
		t.Errorf("got responses %+v, want one with text %q", responses, want)
	}
	if record := store.writtenRecord(t, c.keys.Job(job.ID)); record != nil {
		t.Errorf("rejected job was written: %+v", record)
	}
}

func TestConcurrentSubmissionIsAskedToRetry(t *testing.T) {
	c, store := newServingCore(t), &emptyStore{}
	responses := submitAndWait(c, testJob(7), func(r *storage.Request) *storage.Reply {
		if r.Kind == storage.Txn {
			return &storage.Reply{Outcome: storage.Conflict}
		}
		return store.reply(r)
	})
	if len(responses) != 1 || responses[0].Kind != messages.ServiceUnavailable || responses[0].Reason != "try again" {
		t.Errorf("got responses %+v, want one with text %q", responses, "try again")
	}
}

func TestPartsPerTransaction(t *testing.T) {
	part := func(size int) storage.Put { return storage.Put{Value: make([]byte, size)} }
	tests := []struct {
		name          string
		parts         []storage.Put
		maxOperations int
		want          int
	}{
		{name: "all parts", parts: []storage.Put{part(10), part(10)}, maxOperations: 12, want: 2},
		{name: "limited by operations", parts: []storage.Put{part(10), part(10), part(10)}, maxOperations: 2, want: 2},
		{name: "limited by size", parts: []storage.Put{part(maxPartTxnBytes), part(1)}, maxOperations: 12, want: 1},
		{name: "at least one part", parts: []storage.Put{part(maxPartTxnBytes + 1), part(1)}, maxOperations: 12, want: 1},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			if got := partsPerTransaction(test.parts, test.maxOperations); got != test.want {
				t.Errorf("got %d parts, want %d", got, test.want)
			}
		})
	}
}
