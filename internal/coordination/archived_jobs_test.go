package coordination

import (
	"fmt"
	"testing"

	"pipitlatch/internal/coordination/messages"
	"pipitlatch/internal/storage"
	"pipitlatch/internal/workload"
)

// lookup is what was found by a look-up.
type lookup struct {
	done, found, ok bool
}

// startLookup looks a job up, and returns what becomes of it.
func startLookup(c *Core, id string) *lookup {
	var l lookup
	c.lookupArchived(id, func(e *storage.JobEntry, ok bool) { l = lookup{true, e != nil, ok} })
	return &l
}

// newArchiveCore is a core whose store has archived jobs.
func newArchiveCore(t *testing.T) *Core {
	t.Helper()
	c := New(testConfig(t), "1")
	c.output = &messages.Output{}
	c.cache.Archived = true
	return c
}

func TestLookupArchivedReadsTheStore(t *testing.T) {
	job := &workload.Job{ID: "wk-000001", Team: "alpha", Class: "c", Tasks: 1, Phase: workload.Done}
	record := storage.Item{Key: "p/~over/wk-000001", Value: storage.Encode(job), ModRevision: 3}
	undecodable := storage.Item{Key: record.Key, Value: []byte("{"), ModRevision: 3}
	tests := []struct {
		name  string
		reply storage.Reply
		want  lookup
	}{
		{"a job that is there", storage.Reply{Outcome: storage.OK, Items: []storage.Item{record}}, lookup{true, true, true}},
		{"a job that is not there", storage.Reply{Outcome: storage.NotFound}, lookup{true, false, true}},
		{"a record that cannot be decoded", storage.Reply{Outcome: storage.OK, Items: []storage.Item{undecodable}},
			lookup{true, false, false}},
		{"a reply without a record", storage.Reply{Outcome: storage.OK}, lookup{true, false, false}},
		{"no reply", storage.Reply{Outcome: storage.OutcomeUnknown}, lookup{true, false, false}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := newArchiveCore(t)
			got := startLookup(c, "wk-000001")
			if got.done || len(c.output.StoreCalls) != 1 {
				t.Fatalf("done: %v, with %d requests", got.done, len(c.output.StoreCalls))
			}
			call := c.output.StoreCalls[0]
			if call.Request.Kind != storage.Get || call.Request.Key != c.keys.Archive("wk-000001") {
				t.Errorf("request %+v, want the job's record in the archive", call.Request)
			}
			c.Step(1, 1, &messages.StoreCompletion{Call: call.Call, Reply: &test.reply})
			if *got != test.want {
				t.Errorf("found %+v, want %+v", *got, test.want)
			}
			again := startLookup(c, "wk-000001")
			if again.done != test.want.found {
				t.Errorf("answered at once when asked again: %v, want %v", again.done, test.want.found)
			}
		})
	}
}

func TestLookupArchivedReadsNothingWhereNothingWasMoved(t *testing.T) {
	c := newArchiveCore(t)
	c.cache.Archived = false
	if got := startLookup(c, "wk-000001"); *got != (lookup{true, false, true}) || len(c.output.StoreCalls) > 0 {
		t.Errorf("found %+v with %d requests", *got, len(c.output.StoreCalls))
	}
}

func TestKeepArchivedBoundsTheRecords(t *testing.T) {
	c := newArchiveCore(t)
	for i := range maxArchivedCache + 1 {
		c.keepArchived(fmt.Sprintf("wk-%06d", i), &storage.JobEntry{})
	}
	if got := len(c.archivedJobs); got != 1 {
		t.Errorf("%d records are kept, want the last only", got)
	}
}
