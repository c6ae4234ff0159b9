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

// newServing is a core that serves users, without fair admission.
func newServing(t *testing.T) *Core {
	t.Helper()
	c := newFair(t)
	c.fair = nil
	c.cache.Format = storage.Format
	return c
}

// cacheJob puts a job's record into the core's cache.
func cacheJob(t *testing.T, c *Core, job *workload.Job, modRevision uint64) {
	t.Helper()
	item := storage.Item{Key: c.keys.Job(job.ID), Value: storage.Encode(job), ModRevision: modRevision}
	if _, _, err := c.cache.Apply(item); err != nil {
		t.Fatal(err)
	}
}

// emptyStore responses reads of a store that has nothing but what is cached, and carries transactions
// out. It keeps the transactions.
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

// written is the record of a job as the first transaction with it wrote it; nil: none did.
func (s *emptyStore) written(t *testing.T, key string) *workload.Job {
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

// submitAndWait submits a job and waits for the response.
func submitAndWait(c *Core, job *workload.Job, reply func(*storage.Request) *storage.Reply) []messages.Response {
	return requestAndWait(c, &messages.Submit{Request: 1, ID: job.ID, Job: job}, reply)
}

// requestAndWait takes a user's request, completes the requests to the store that follow, and lets
// time pass until there is a response.
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

func TestSubmissionsThatCanNeverRunAreRefusedWithTheReason(t *testing.T) {
	tests := []struct {
		name   string
		change func(j *workload.Job)
		want   string
	}{
		{name: "quota", change: func(j *workload.Job) { j.Team = "limited" }, want: "needs more than the team's limit"},
		{name: "team", change: func(j *workload.Job) { j.Team = "nobody" }, want: "unknown team"},
		{name: "instance types", change: func(j *workload.Job) { j.Resources.CPU = 9000 },
			want: "a task fits no allowed machine type"},
		{name: "record", change: func(j *workload.Job) { j.Image = strings.Repeat("i", 20<<10) },
			want: "its description is too long to be kept"},
		{name: "itself", change: func(j *workload.Job) { j.DependsOn = []string{j.ID} }, want: "it waits on itself"},
		{name: "unknown dependency", change: func(j *workload.Job) { j.DependsOn = []string{"wk-000001", "wk-000099"} },
			want: "it waits on a job that was never accepted: wk-000099"},
		{name: "service as dependency", change: func(j *workload.Job) { j.DependsOn = []string{"wk-000002"} },
			want: "it waits on a service: wk-000002"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c, store := newServing(t), &emptyStore{}
			cacheJob(t, c, testJob(1), 11)
			c.teams["limited"] = &workload.Team{LimitCPU: 500, LimitGPU: -1}
			service := testJob(2)
			service.Kind = workload.Service
			cacheJob(t, c, service, 12)
			job := testJob(7)
			test.change(job)
			responses := submitAndWait(c, job, store.reply)
			if len(responses) != 1 || responses[0].Kind != messages.JobUnschedulable || responses[0].Reason != test.want {
				t.Errorf("%+v, want %q", responses, test.want)
			}
			if record := store.written(t, c.keys.Job(job.ID)); record != nil {
				t.Errorf("written: %+v", record)
			}
		})
	}
}

func TestRefusedDuplicateIsAnsweredWithItsState(t *testing.T) {
	c := newServing(t)
	job := testJob(7)
	c.cache.Archived = true
	known := storage.Item{Key: c.keys.Archive(job.ID), ModRevision: 5, Value: storage.Encode(job.Tombstone(workload.Done))}
	repeated := testJob(7)
	repeated.Team = "nobody"
	responses := submitAndWait(c, repeated, func(r *storage.Request) *storage.Reply {
		if r.Key == known.Key {
			return &storage.Reply{Outcome: storage.OK, Items: []storage.Item{known}}
		}
		return (&emptyStore{}).reply(r)
	})
	if len(responses) != 1 || responses[0].Kind != messages.JobFound || responses[0].Job.Phase != workload.Done {
		t.Errorf("%+v", responses)
	}
}

func TestAcceptedRecordNamesUnfinishedDependenciesOnly(t *testing.T) {
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
			c, store := newServing(t), &emptyStore{}
			cacheJob(t, c, testJob(1), 11)
			cacheJob(t, c, testJob(2).Tombstone(workload.Done), 12)
			cacheJob(t, c, testJob(3).Tombstone(workload.Cancelled), 13)
			job := testJob(7)
			job.DependsOn = test.dependencies
			responses := submitAndWait(c, job, store.reply)
			if len(responses) != 1 || responses[0].Kind != messages.JobAccepted || responses[0].Job.Phase != test.wantPhase {
				t.Errorf("%+v", responses)
			}
			record := store.written(t, c.keys.Job(job.ID))
			if record == nil {
				t.Fatal("no record was written")
			}
			if record.Phase != test.wantPhase || !slices.Equal(record.DependsOn, test.want) {
				t.Errorf("record in phase %d with %v, want %d with %v", record.Phase, record.DependsOn, test.wantPhase, test.want)
			}
		})
	}
}

func TestDependenciesWaitForTheLastOlderMember(t *testing.T) {
	c, store := newServing(t), &emptyStore{}
	cacheJob(t, c, testJob(1), 11)
	c.cache.Format = storage.Format - 1
	job := testJob(7)
	job.DependsOn = []string{"wk-000001"}
	responses := submitAndWait(c, job, store.reply)
	const want = "an older version is still running"
	if len(responses) != 1 || responses[0].Kind != messages.ServiceUnavailable || responses[0].Reason != want {
		t.Errorf("%+v", responses)
	}
	if record := store.written(t, c.keys.Job(job.ID)); record != nil {
		t.Errorf("written: %+v", record)
	}
}

func TestSubmissionOfAnotherControllerAtTheSameTimeIsTriedAgain(t *testing.T) {
	c, store := newServing(t), &emptyStore{}
	responses := submitAndWait(c, testJob(7), func(r *storage.Request) *storage.Reply {
		if r.Kind == storage.Txn {
			return &storage.Reply{Outcome: storage.Conflict}
		}
		return store.reply(r)
	})
	if len(responses) != 1 || responses[0].Kind != messages.ServiceUnavailable || responses[0].Reason != "try again" {
		t.Errorf("%+v", responses)
	}
}

func TestPartsPerTransaction(t *testing.T) {
	part := func(size int) storage.Put { return storage.Put{Value: make([]byte, size)} }
	tests := []struct {
		name  string
		parts []storage.Put
		most  int
		want  int
	}{
		{name: "all", parts: []storage.Put{part(10), part(10)}, most: 12, want: 2},
		{name: "as many as operations", parts: []storage.Put{part(10), part(10), part(10)}, most: 2, want: 2},
		{name: "as many as bytes", parts: []storage.Put{part(maxPartTxnBytes), part(1)}, most: 12, want: 1},
		{name: "one at least", parts: []storage.Put{part(maxPartTxnBytes + 1), part(1)}, most: 12, want: 1},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			if got := partsPerTransaction(test.parts, test.most); got != test.want {
				t.Errorf("%d, want %d", got, test.want)
			}
		})
	}
}
