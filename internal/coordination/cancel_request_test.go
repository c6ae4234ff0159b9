package coordination

import (
	"slices"
	"testing"

	"pipitlatch/internal/coordination/messages"
	"pipitlatch/internal/storage"
	"pipitlatch/internal/workload"
)

// conflictingStore refuses the first writes of a job as conflicts. It keeps the compares of all.
type conflictingStore struct {
	emptyStore
	key       string
	conflicts int
	writes    [][]storage.Compare
}

func (s *conflictingStore) reply(r *storage.Request) *storage.Reply {
	if !writesKey(r, s.key) {
		return s.emptyStore.reply(r)
	}
	s.writes = append(s.writes, r.Compares)
	if len(s.writes) <= s.conflicts {
		return &storage.Reply{Outcome: storage.Conflict}
	}
	return &storage.Reply{Outcome: storage.OK, Revision: 50}
}

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
			c, job := newServing(t), testJob(7)
			cacheJob(t, c, job, 11)
			store := &conflictingStore{key: c.keys.Job(job.ID), conflicts: test.conflicts}
			responses := requestAndWait(c, &messages.Cancel{Request: 1, ID: job.ID}, store.reply)
			if len(responses) != 1 || responses[0].Kind != test.want {
				t.Fatalf("%+v, want kind %d", responses, test.want)
			}
			if test.want == messages.JobFound && responses[0].Job.Phase != workload.Cancelled {
				t.Errorf("phase %d", responses[0].Job.Phase)
			}
			if len(store.writes) != test.wantWrites {
				t.Errorf("%d writes, want %d", len(store.writes), test.wantWrites)
			}
			want := []storage.Compare{{Key: store.key, ModRevision: 11}}
			for _, compares := range store.writes {
				if !slices.Equal(compares, want) {
					t.Errorf("compares %+v, want %+v", compares, want)
				}
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
