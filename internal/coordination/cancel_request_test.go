package coordination

import (
	"slices"
	"testing"

	"pipitlatch/internal/coordination/messages"
	"pipitlatch/internal/storage"
	"pipitlatch/internal/workload"
)

// conflictingStore rejects the first writes of a job's record as conflicts, and records the compares
// of every write.
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

func TestCancelRetriesAfterConflict(t *testing.T) {
	tests := []struct {
		name       string
		conflicts  int // number of conflicts before a write succeeds
		wantWrites int
		want       messages.ResponseKind
	}{
		{name: "no conflict", wantWrites: 1, want: messages.JobFound},
		{name: "one conflict", conflicts: 1, wantWrites: 2, want: messages.JobFound},
		{name: "as many conflicts as retries", conflicts: maxCancelRetries, wantWrites: 1 + maxCancelRetries,
			want: messages.JobFound},
		{name: "more conflicts than retries", conflicts: maxCancelRetries + 1, wantWrites: 1 + maxCancelRetries,
			want: messages.ServiceUnavailable},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c, job := newServingCore(t), testJob(7)
			cacheJob(t, c, job, 11)
			store := &conflictingStore{key: c.keys.Job(job.ID), conflicts: test.conflicts}
			responses := requestAndWait(c, &messages.Cancel{Request: 1, ID: job.ID}, store.reply)
			if len(responses) != 1 || responses[0].Kind != test.want {
				t.Fatalf("got responses %+v, want one of kind %d", responses, test.want)
			}
			if test.want == messages.JobFound && responses[0].Job.Phase != workload.Cancelled {
				t.Errorf("got phase %d, want %d", responses[0].Job.Phase, workload.Cancelled)
			}
			if len(store.writes) != test.wantWrites {
				t.Errorf("got %d writes, want %d", len(store.writes), test.wantWrites)
			}
			want := []storage.Compare{{Key: store.key, ModRevision: 11}}
			for _, compares := range store.writes {
				if !slices.Equal(compares, want) {
					t.Errorf("got compares %+v, want %+v", compares, want)
				}
			}
		})
	}
}

func TestUnknownJobsAreNotFound(t *testing.T) {
	tests := map[string]messages.Input{
		"lookup": &messages.Lookup{Request: 1, ID: "wk-000009"},
		"cancel": &messages.Cancel{Request: 1, ID: "wk-000009"},
	}
	for name, request := range tests {
		t.Run(name, func(t *testing.T) {
			c, store := newServingCore(t), &emptyStore{}
			responses := requestAndWait(c, request, store.reply)
			if len(responses) != 1 || responses[0].Kind != messages.JobNotFound {
				t.Errorf("got responses %+v, want one of kind %d", responses, messages.JobNotFound)
			}
		})
	}
}
