package coordination

import (
	"fmt"
	"testing"

	"pipitlatch/internal/coordination/messages"
	"pipitlatch/internal/storage"
	"pipitlatch/internal/workload"
)

// lookupResult records the outcome of a lookup in the archive.
type lookupResult struct {
	done, found, ok bool
}

// startLookup starts looking up a job. The returned result is filled in when the lookup completes.
func startLookup(c *Core, id string) *lookupResult {
	var l lookupResult
	c.lookupArchivedJob(id, func(e *storage.JobEntry, ok bool) { l = lookupResult{true, e != nil, ok} })
	return &l
}

// newCoreWithArchive returns a core whose store holds archived jobs.
func newCoreWithArchive(t *testing.T) *Core {
	t.Helper()
	c := New(testConfig(t), "1")
	c.output = &messages.Output{}
	c.cache.HasArchivedJobs = true
	return c
}

func TestLookupArchivedJobReadsStore(t *testing.T) {
	job := &workload.Job{ID: "wk-000001", Team: "alpha", Class: "c", Tasks: 1, Phase: workload.Done}
	record := storage.Item{Key: "p/~over/wk-000001", Value: storage.Encode(job), ModRevision: 3}
	undecodable := storage.Item{Key: record.Key, Value: []byte("{"), ModRevision: 3}
	tests := []struct {
		name  string
		reply storage.Reply
		want  lookupResult
	}{
		{"existing job", storage.Reply{Outcome: storage.OK, Items: []storage.Item{record}}, lookupResult{true, true, true}},
		{"missing job", storage.Reply{Outcome: storage.NotFound}, lookupResult{true, false, true}},
		{"undecodable record", storage.Reply{Outcome: storage.OK, Items: []storage.Item{undecodable}},
			lookupResult{true, false, false}},
		{"reply without a record", storage.Reply{Outcome: storage.OK}, lookupResult{true, false, false}},
		{"no reply", storage.Reply{Outcome: storage.OutcomeUnknown}, lookupResult{true, false, false}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := newCoreWithArchive(t)
			got := startLookup(c, "wk-000001")
			if got.done || len(c.output.StoreCalls) != 1 {
				t.Fatalf("done: %v with %d store requests, want a pending lookup with one request",
					got.done, len(c.output.StoreCalls))
			}
			call := c.output.StoreCalls[0]
			if call.Request.Kind != storage.Get || call.Request.Key != c.keys.ArchivedJob("wk-000001") {
				t.Errorf("got request %+v, want a read of the job's archive record", call.Request)
			}
			c.Step(1, 1, &messages.StoreCompletion{Call: call.Call, Reply: &test.reply})
			if *got != test.want {
				t.Errorf("got result %+v, want %+v", *got, test.want)
			}
			again := startLookup(c, "wk-000001")
			if again.done != test.want.found {
				t.Errorf("second lookup answered from the cache: %v, want %v", again.done, test.want.found)
			}
		})
	}
}

func TestLookupArchivedJobSkipsStoreWhenArchiveIsEmpty(t *testing.T) {
	c := newCoreWithArchive(t)
	c.cache.HasArchivedJobs = false
	if got := startLookup(c, "wk-000001"); *got != (lookupResult{true, false, true}) || len(c.output.StoreCalls) > 0 {
		t.Errorf("got result %+v with %d store requests, want no job and no requests", *got, len(c.output.StoreCalls))
	}
}

func TestArchivedJobCacheIsBounded(t *testing.T) {
	c := newCoreWithArchive(t)
	for i := range maxCachedArchivedJobs + 1 {
		c.cacheArchivedJob(fmt.Sprintf("wk-%06d", i), &storage.JobEntry{})
	}
	if got := len(c.archivedJobs); got != 1 {
		t.Errorf("%d records are cached, want only the last one", got)
	}
}
