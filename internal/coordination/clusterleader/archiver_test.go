package clusterleader

import (
	"slices"
	"testing"

	"pipitlatch/internal/coordination/storetest"
	"pipitlatch/internal/micros"
	"pipitlatch/internal/storage"
	"pipitlatch/internal/workload"
)

// archivableRevision is the newest revision that is old enough to be archived in the tests.
const archivableRevision = 13

// newTestArchiver returns an archiver that keeps two terminal jobs cached. The cache has one active
// job and four terminal ones, of which the last is newer than archivableRevision.
func newTestArchiver(t *testing.T) (*fakeView, *archiver) {
	t.Helper()
	v := newFakeView(t, nil)
	applyJob(t, v.cache, "wk-000009", workload.Active, 10)
	applyJob(t, v.cache, "wk-000001", workload.Done, 11)
	applyJob(t, v.cache, "wk-000003", workload.Done, 13)
	applyJob(t, v.cache, "wk-000002", workload.Cancelled, 13)
	applyJob(t, v.cache, "wk-000004", workload.Done, 14)
	cfg := newTestConfig(t)
	cfg.Settings.State.RPS = 0.005 // limits the cache to what a start reads in a second: two jobs
	if kept := cfg.MaxCachedTerminalJobs(); kept != 2 {
		t.Fatalf("%d jobs are kept, want 2", kept)
	}
	a := newArchiver(v, cfg, testKeys)
	a.revisions.observe(v.Time-300*micros.Second, archivableRevision, 300*micros.Second)
	return v, a
}

func applyJob(t *testing.T, cache *storage.Cache, id string, phase workload.Phase, revision uint64,
	dependencies ...string) {
	t.Helper()
	job := &workload.Job{ID: id, Team: "alpha", Class: "c", Tasks: 1, Phase: phase, DependsOn: dependencies}
	item := storage.Item{Key: testKeys.Job(id), Value: storage.Encode(job), ModRevision: revision}
	if _, _, err := cache.Apply(item); err != nil {
		t.Fatal(err)
	}
}

// takeArchiveRequest returns the call that archives jobs, and the keys that it deletes.
func takeArchiveRequest(t *testing.T, v *fakeView) (*storetest.Call, []string) {
	t.Helper()
	call := v.Take(t, storage.Txn)
	return call, call.Request.Deletes
}

func TestArchiverMovesOldestJobsAboveTheLimit(t *testing.T) {
	v, a := newTestArchiver(t)
	a.tick()
	call, moved := takeArchiveRequest(t, v)
	if want := []string{testKeys.Job("wk-000001"), testKeys.Job("wk-000002")}; !slices.Equal(moved, want) {
		t.Errorf("moved %v, want %v", moved, want)
	}
	want := []storage.Compare{v.LeaderCompare(),
		{Key: testKeys.Job("wk-000001"), ModRevision: 11}, {Key: testKeys.Job("wk-000002"), ModRevision: 13}}
	if !slices.Equal(call.Request.Compares, want) {
		t.Errorf("comparisons %+v, want %+v", call.Request.Compares, want)
	}
	var archived []string
	for _, put := range call.Request.Puts {
		archived = append(archived, put.Key)
	}
	wantArchived := []string{testKeys.ArchivedJob("wk-000001"), testKeys.ArchivedJob("wk-000002")}
	if !slices.Equal(archived, wantArchived) {
		t.Errorf("archived %v, want %v", archived, wantArchived)
	}
	if call.Urgency != storage.Deferrable {
		t.Errorf("urgency %d, want a deferrable request", call.Urgency)
	}
}

func TestArchiverMovesAsManyJobsAsFitATransaction(t *testing.T) {
	v, a := newTestArchiver(t)
	a.config.Settings.State.TxnOps = 3 // a job takes two
	a.tick()
	if _, moved := takeArchiveRequest(t, v); !slices.Equal(moved, []string{testKeys.Job("wk-000001")}) {
		t.Errorf("moved %v, want the oldest", moved)
	}
}

func TestArchiverMovesNothing(t *testing.T) {
	tests := []struct {
		name   string
		change func(*testing.T, *fakeView, *archiver)
	}{
		{"while the store is unreachable",
			func(_ *testing.T, v *fakeView, _ *archiver) { v.unreachable = true }},
		{"before the next run is due", func(_ *testing.T, v *fakeView, a *archiver) { a.nextRunAt = v.Time + 1 }},
		{"at the beginning of a term", func(_ *testing.T, _ *fakeView, a *archiver) { a.startTerm() }},
		{"while there are few jobs", func(_ *testing.T, _ *fakeView, a *archiver) { a.config.Settings.State.RPS = 0.009 }},
		{"while all jobs above the limit are too recent",
			func(_ *testing.T, v *fakeView, a *archiver) {
				a.startTerm()
				a.revisions.observe(v.Time-300*micros.Second, 10, 300*micros.Second)
			}},
		{"while active jobs depend on the terminal jobs",
			func(t *testing.T, v *fakeView, _ *archiver) {
				applyJob(t, v.cache, "wk-000020", workload.Active, 15, "wk-000001", "wk-000002", "wk-000003")
			}},
		{"while the request budget does not allow it",
			func(_ *testing.T, v *fakeView, _ *archiver) { v.OverBudget = true }},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			v, a := newTestArchiver(t)
			test.change(t, v, a)
			a.tick()
			v.RequireNoCall(t)
		})
	}
}

func TestArchiverKeepsToItsShareOfTheWriteLimit(t *testing.T) {
	v, a := newTestArchiver(t)
	a.tick()
	call, _ := takeArchiveRequest(t, v)
	v.Time += 10 * micros.Second
	a.tick()
	v.RequireNoCall(t) // the first is in flight
	a.config.Settings.State.WriteRPS = 4
	call.Reply(storage.Reply{Outcome: storage.OK})
	v.Time += 6*micros.Second - 1 // four writes at a sixth of four per second
	a.tick()
	v.RequireNoCall(t)
	v.Time++
	a.tick()
	v.Take(t, storage.Txn)
}

func TestArchiverDeletesOrphanedPartsOfDependencyListsFirst(t *testing.T) {
	v, a := newTestArchiver(t)
	part := testKeys.DependencyPart("wk-000050", "x.1", 0)
	v.put(t, part, []string{"wk-000001"})
	a.tick()
	call := v.Take(t, storage.Txn)
	if !slices.Equal(call.Request.Deletes, []string{part}) || len(call.Request.Puts) > 0 {
		t.Errorf("request %+v, want one that deletes %s only", call.Request, part)
	}
	if want := []storage.Compare{v.LeaderCompare()}; !slices.Equal(call.Request.Compares, want) {
		t.Errorf("comparisons %+v, want %+v", call.Request.Compares, want)
	}
	call.Reply(storage.Reply{Outcome: storage.OK})
	a.tick()
	v.RequireNoCall(t) // before archiveInterval has passed
	v.Time += archiveInterval
	a.tick()
	v.Take(t, storage.Txn)
}
