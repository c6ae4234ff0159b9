package coordination

import (
	"testing"

	"pipitlatch/internal/coordination/messages"
	"pipitlatch/internal/storage"
	"pipitlatch/internal/workload"
)

func TestCancellationIsTriedAgainAfterAConflict(t *testing.T) {
	tests := []struct {
		name       string
		conflicts  int // until a write succeeds
		wantWrites int
		want       messages.ResponseKind
	}{
		{name: "none", wantWrites: 1, want: messages.JobFound},
		{name: "one", conflicts: 1, wantWrites: 2, want: messages.JobFound},
		{name: "as many as retries", conflicts: maxCancelRetries, wantWrites: 1 + maxCancelRetries, want: messages.JobFound},
		{name: "more than retries", conflicts: maxCancelRetries + 1, wantWrites: 1 + maxCancelRetries,
			want: messages.ServiceUnavailable},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c, store := newServing(t), &emptyStore{}
			job := testJob(7)
			cacheJob(t, c, job, 11)
			writes := 0
			responses := requestAndWait(c, &messages.Cancel{Request: 1, ID: job.ID}, func(r *storage.Request) *storage.Reply {
				if !writesKey(r, c.keys.Job(job.ID)) {
					return store.reply(r)
				}
				want := storage.Compare{Key: c.keys.Job(job.ID), ModRevision: 11}
				if len(r.Compares) != 1 || r.Compares[0] != want {
					t.Errorf("compares %+v, want %+v", r.Compares, want)
				}
				writes++
				if writes <= test.conflicts {
					return &storage.Reply{Outcome: storage.Conflict}
				}
				return &storage.Reply{Outcome: storage.OK, Revision: 50}
			})
			if len(responses) != 1 || responses[0].Kind != test.want {
				t.Fatalf("%+v, want kind %d", responses, test.want)
			}
			if test.want == messages.JobFound && responses[0].Job.Phase != workload.Cancelled {
				t.Errorf("phase %d", responses[0].Job.Phase)
			}
			if writes != test.wantWrites {
				t.Errorf("%d writes, want %d", writes, test.wantWrites)
			}
		})
	}
}

func TestUnknownJobsAreNotFound(t *testing.T) {
	tests := map[string]messages.Input{
		"looked up": &messages.Lookup{Request: 1, ID: "wk-000009"},
		"cancelled": &messages.Cancel{Request: 1, ID: "wk-000009"},
	}
	for name, request := range tests {
		t.Run(name, func(t *testing.T) {
			c, store := newServing(t), &emptyStore{}
			responses := requestAndWait(c, request, store.reply)
			if len(responses) != 1 || responses[0].Kind != messages.JobNotFound {
				t.Errorf("%+v", responses)
			}
		})
	}
}
