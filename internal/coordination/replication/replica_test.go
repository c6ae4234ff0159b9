package replication

import (
	"fmt"
	"slices"
	"testing"

	"pipitlatch/internal/coordination/storetest"
	"pipitlatch/internal/micros"
	"pipitlatch/internal/storage"
	"pipitlatch/internal/workload"
)

const (
	testTerm     = 5 * micros.Second
	testInterval = 300 * micros.Millisecond
)

var (
	testKeys = storage.Keys{Prefix: "test/"}
	leader   = storage.Process{Member: "n1", Incarnation: "x"}
)

// replicaTest is a replica that records the notifications to its observer in order.
type replicaTest struct {
	*Replica
	environment *storetest.Environment
	events      []string
	previous    *storage.Cache
}

func (r *replicaTest) SnapshotInstalled(previous *storage.Cache, sent micros.Time) {
	r.previous = previous
	r.events = append(r.events, fmt.Sprintf("snapshot %d sent at %d", r.Cache().Revision, sent/micros.Millisecond))
}

func (r *replicaTest) Changed(change storage.Change, item storage.Item) {
	r.events = append(r.events, fmt.Sprintf("%s %s at %d", change.Kind, change.ID, item.ModRevision))
}

func (r *replicaTest) AdmissionChanged(sent micros.Time) {
	r.events = append(r.events, fmt.Sprintf("admission sent at %d", sent/micros.Millisecond))
}

func (r *replicaTest) ChangesApplied() { r.events = append(r.events, "applied") }

// newReplicaTest returns a replica with an empty cache, at a time of 10 s.
func newReplicaTest() *replicaTest {
	r := &replicaTest{environment: &storetest.Environment{Time: 10 * micros.Second}}
	r.Replica = New(r.environment, r, Settings{Keys: testKeys, TermLength: testTerm, WatchInterval: testInterval})
	return r
}

// newSyncedReplicaTest returns a replica that has just loaded revision 20, at a time of 10 s.
func newSyncedReplicaTest(t *testing.T) *replicaTest {
	t.Helper()
	r := newReplicaTest()
	r.loadSnapshot()
	r.environment.Take(t, storage.List).Reply(storage.Reply{Outcome: storage.OK, Revision: 20})
	r.events = nil
	return r
}

func (r *replicaTest) requireEvents(t *testing.T, want ...string) {
	t.Helper()
	if !slices.Equal(r.events, want) {
		t.Fatalf("events %q, want %q", r.events, want)
	}
	r.events = nil
}

func member(name string, revision uint64) storage.Item {
	process := storage.Process{Member: name, Incarnation: "x"}
	value := storage.Encode(storage.Registration{Process: process, Format: storage.Format})
	return storage.Item{Key: testKeys.Member(name), Value: value, ModRevision: revision}
}

func undecodable(revision uint64) storage.Item {
	return storage.Item{Key: testKeys.ClusterLeader(), Value: []byte("{"), ModRevision: revision}
}

func TestSnapshotIsLoadedPageByPage(t *testing.T) {
	r := newReplicaTest()
	empty := r.Cache()
	r.Refresh()
	first := r.environment.Take(t, storage.List)
	if first.Request.Key != "test/" || first.Request.After != "" || first.Urgency != storage.Urgent {
		t.Errorf("first page: %+v of urgency %d", first.Request, first.Urgency)
	}
	r.Refresh()
	r.environment.RequireNoCall(t) // one load at a time
	first.Reply(storage.Reply{
		Outcome: storage.OK, Revision: 20, More: true, Items: []storage.Item{member("n1", 3), member("n2", 4)},
	})
	r.requireEvents(t)
	if r.Synced() {
		t.Error("synced after the first page of two")
	}
	r.environment.Time += 70 * micros.Millisecond
	second := r.environment.Take(t, storage.List)
	if second.Request.After != testKeys.Member("n2") {
		t.Errorf("second page after %q", second.Request.After)
	}
	second.Reply(storage.Reply{Outcome: storage.OK, Revision: 25, Items: []storage.Item{undecodable(24), member("n3", 5)}})
	// The stream starts at the revision of the first page: later pages may lack changes made since.
	r.requireEvents(t, "snapshot 20 sent at 10000")
	if !r.Synced() || len(r.Cache().Members) != 3 || r.previous != empty {
		t.Errorf("synced %v with %d members", r.Synced(), len(r.Cache().Members))
	}
	if want := []string{"undecodable record", "snapshot loaded"}; !slices.Equal(r.environment.Messages, want) {
		t.Errorf("log records %q, want %q", r.environment.Messages, want)
	}
}

// TestSnapshotEndsAtTheArchive checks that a snapshot stops at the first key of the archive: its
// keys sort last, and it may be large.
func TestSnapshotEndsAtTheArchive(t *testing.T) {
	r := newReplicaTest()
	r.Refresh()
	archived := storage.Item{Key: testKeys.ArchivedJob("j"), Value: []byte("{}"), ModRevision: 7}
	r.environment.Take(t, storage.List).Reply(storage.Reply{
		Outcome: storage.OK, Revision: 20, More: true, Items: []storage.Item{member("n1", 3), archived, undecodable(8)},
	})
	r.environment.RequireNoCall(t)
	r.requireEvents(t, "snapshot 20 sent at 10000")
	if want := []string{"snapshot loaded"}; !slices.Equal(r.environment.Messages, want) {
		t.Errorf("log records %q, want %q: the page was read beyond the archive's first key", r.environment.Messages, want)
	}
}

// TestSnapshotDropsSegmentsWithoutAJob checks that completed-task segments of a deleted job are
// not attributed to a later job of the same name.
func TestSnapshotDropsSegmentsWithoutAJob(t *testing.T) {
	r := newReplicaTest()
	r.Refresh()
	segment := storage.Item{Key: testKeys.CompletedSegment("j", 0), Value: []byte(`"0-1"`), ModRevision: 3}
	r.environment.Take(t, storage.List).Reply(
		storage.Reply{Outcome: storage.OK, Revision: 20, Items: []storage.Item{segment}})
	r.Refresh()
	job := storage.Item{Key: testKeys.Job("j"), Value: storage.Encode(&workload.Job{ID: "j", Tasks: 4}), ModRevision: 21}
	r.environment.Take(t, storage.Watch).Reply(
		storage.Reply{Outcome: storage.OK, Revision: 21, Items: []storage.Item{job}})
	if e := r.Cache().Jobs["j"]; e == nil || e.Completed != nil {
		t.Errorf("job %+v, want one without completed tasks", e)
	}
}

// TestSnapshotLeavesNoAffectedJobs checks that no affected jobs remain after a snapshot, as the
// observer has examined all jobs when it was notified.
func TestSnapshotLeavesNoAffectedJobs(t *testing.T) {
	r := newReplicaTest()
	cache := storage.NewCache(testKeys)
	for revision, job := range []*workload.Job{
		{ID: "second", Tasks: 1, DependsOn: []string{"first"}},
		{ID: "first", Tasks: 1, Phase: workload.Cancelled},
	} {
		item := storage.Item{Key: testKeys.Job(job.ID), Value: storage.Encode(job), ModRevision: uint64(revision + 3)}
		if _, _, err := cache.Apply(item); err != nil {
			t.Fatal(err)
		}
	}
	r.Install(cache, r.environment.Time)
	if affected := cache.TakeAffected(); len(affected) > 0 {
		t.Errorf("affected jobs %q are left", affected)
	}
}

func TestSnapshotIsRestartedAfterAFailure(t *testing.T) {
	page := storage.Reply{Outcome: storage.OK, Revision: 20, More: true, Items: []storage.Item{member("n1", 3)}}
	for name, replies := range map[string][]storage.Reply{
		"first page unavailable":             {{Outcome: storage.Unavailable}},
		"outcome of the second page unknown": {page, {Outcome: storage.OutcomeUnknown}},
		"an empty page with more to come":    {page, {Outcome: storage.OK, Revision: 20, More: true}},
	} {
		t.Run(name, func(t *testing.T) {
			r := newReplicaTest()
			r.Refresh()
			for _, reply := range replies {
				r.environment.Take(t, storage.List).Reply(reply)
			}
			r.requireEvents(t)
			r.environment.Time += snapshotRetryInterval - 1
			r.Refresh()
			r.environment.RequireNoCall(t)
			r.environment.Time++
			r.Refresh()
			if call := r.environment.Take(t, storage.List); call.Request.After != "" {
				t.Errorf("restarted after key %q, want from the start", call.Request.After)
			}
		})
	}
	t.Run("request budget spent", func(t *testing.T) {
		r := newReplicaTest()
		r.environment.OverBudget = true
		r.Refresh()
		r.environment.OverBudget = false
		r.Refresh()
		r.environment.RequireNoCall(t)
		r.environment.Time += snapshotRetryInterval
		r.Refresh()
		r.environment.Take(t, storage.List)
	})
}

// TestSnapshotEndsTheTerm checks that a leader does not act after a snapshot, before which changes
// may have been missed, until the change stream has confirmed its lease again.
func TestSnapshotEndsTheTerm(t *testing.T) {
	r := newReplicaTest()
	r.Term().Confirm(r.environment.Time)
	r.Install(storage.NewCache(testKeys), r.environment.Time)
	if r.Term().Valid(r.environment.Time) || r.Current() || !r.Stale() {
		t.Error("the term is still valid after a snapshot")
	}
}

func TestWatchConfirmsTheTermFromItsSending(t *testing.T) {
	r := newSyncedReplicaTest(t)
	r.Refresh()
	call := r.environment.Take(t, storage.Watch)
	if call.Request.Revision != 20 || call.Request.Key != "test/" || call.Timeout <= call.Request.Wait {
		t.Errorf("sent %+v with a timeout of %d µs", call.Request, call.Timeout)
	}
	sent := r.environment.Time
	r.environment.Time += micros.Second
	call.Reply(storage.Reply{Outcome: storage.OK, Revision: 20})
	if got := r.Term().SinceConfirmed(r.environment.Time); got != micros.Second {
		t.Errorf("confirmed %d µs ago, want 1 s: when the watch was sent", got)
	}
	for _, age := range []struct {
		time    micros.Time
		current bool
	}{{staleAfter - 1, true}, {staleAfter, false}} {
		r.environment.Time = sent + age.time
		if r.Current() != age.current || r.Stale() == age.current {
			t.Errorf("after %d µs: current %v, stale %v", age.time, r.Current(), r.Stale())
		}
	}
}

func TestChangesAreReportedInOrder(t *testing.T) {
	r := newSyncedReplicaTest(t)
	r.Refresh()
	call := r.environment.Take(t, storage.Watch)
	r.environment.Time += 40 * micros.Millisecond
	epoch := storage.Item{Key: testKeys.Admission(), Value: []byte("{}"), ModRevision: 22}
	call.Reply(storage.Reply{Outcome: storage.OK, Revision: 25, Items: []storage.Item{
		member("n2", 21), epoch, undecodable(23), member("n2", 21), member("n1", 24),
	}})
	// Undecodable records and changes that are already in the cache are not reported.
	r.requireEvents(t, "node n2 at 21", "admission  at 22", "node n1 at 24", "admission sent at 10000", "applied")
	if r.Revision() != 25 || !r.Cache().Live(leader) {
		t.Errorf("at revision %d with members %v", r.Revision(), r.Cache().Members)
	}
	if want := "undecodable record"; !slices.Contains(r.environment.Messages, want) {
		t.Errorf("log records %q lack %q", r.environment.Messages, want)
	}
	r.environment.Time += testInterval
	r.Refresh()
	if next := r.environment.Take(t, storage.Watch); next.Request.Revision != 25 {
		t.Errorf("the next watch is from revision %d, want 25", next.Request.Revision)
	}
}

func TestRevisionNeverDecreases(t *testing.T) {
	r := newSyncedReplicaTest(t)
	r.Refresh()
	r.environment.Take(t, storage.Watch).Reply(storage.Reply{Outcome: storage.OK, Revision: 5})
	if r.Revision() != 20 {
		t.Errorf("at revision %d, want 20", r.Revision())
	}
	r.requireEvents(t, "applied")
}

func TestWatchRateIsLimited(t *testing.T) {
	r := newSyncedReplicaTest(t)
	r.environment.OverBudget = true
	r.Refresh()
	r.environment.OverBudget = false
	r.Refresh() // a watch that was not sent does not delay the next one
	call := r.environment.Take(t, storage.Watch)
	r.environment.Time += testInterval
	r.Refresh()
	r.environment.RequireNoCall(t) // one at a time
	r.environment.Time--
	call.Reply(storage.Reply{Outcome: storage.OK, Revision: 20})
	r.Refresh()
	r.environment.RequireNoCall(t)
	r.environment.Time++
	r.Refresh()
	r.environment.Take(t, storage.Watch)
}

func TestFailedWatchIsSentAgain(t *testing.T) {
	r := newSyncedReplicaTest(t)
	r.Refresh()
	call := r.environment.Take(t, storage.Watch)
	r.environment.Time += testInterval
	call.Reply(storage.Reply{Outcome: storage.OutcomeUnknown, Revision: 30, Items: []storage.Item{member("n2", 21)}})
	r.requireEvents(t)
	if r.Term().Valid(r.environment.Time) || r.Revision() != 20 || !r.Synced() {
		t.Error("a failed watch confirmed the term or changed the cache")
	}
	r.environment.Time += watchRetryInterval - 1
	r.Refresh()
	r.environment.RequireNoCall(t)
	r.environment.Time++
	r.Refresh()
	r.environment.Take(t, storage.Watch)
}

func TestCompactedStreamNeedsANewSnapshot(t *testing.T) {
	r := newSyncedReplicaTest(t)
	r.Term().Confirm(r.environment.Time)
	r.Refresh()
	r.environment.Take(t, storage.Watch).Reply(storage.Reply{Outcome: storage.Compacted})
	if r.Synced() || r.Current() {
		t.Error("synced or current although changes were lost")
	}
	old := r.Cache()
	r.environment.Time += testInterval
	r.Refresh()
	r.environment.Take(t, storage.List).Reply(storage.Reply{Outcome: storage.OK, Revision: 90})
	r.requireEvents(t, "snapshot 90 sent at 10300")
	if r.previous != old || r.Cache() == old || !r.Synced() {
		t.Error("the old cache was not replaced")
	}
}

func TestPreviousWatch(t *testing.T) {
	r := newSyncedReplicaTest(t)
	first := r.environment.Time
	for i := range 3 {
		r.environment.Time = first + micros.Time(i)*testInterval
		r.Refresh()
		call := r.environment.Take(t, storage.Watch)
		if want := []micros.Time{0, first, first + testInterval}[i]; r.PreviousWatchSentAt() != want {
			t.Errorf("before the reply to watch %d the previous was sent at %d, want %d", i, r.PreviousWatchSentAt(), want)
		}
		call.Reply(storage.Reply{Outcome: storage.OK, Revision: 20})
	}
}

// TestReadIsReleasedByTheWatch checks that a linearizable read succeeds once the cache has reached
// its revision, before PreviousWatchSentAt advances to the watch that returned that revision.
func TestReadIsReleasedByTheWatch(t *testing.T) {
	r := newSyncedReplicaTest(t)
	r.Refresh()
	r.environment.Take(t, storage.Watch).Reply(storage.Reply{Outcome: storage.OK, Revision: 20})
	var results []bool
	first := r.environment.Time
	r.LinearizableRead(func(ok bool) {
		results = append(results, ok)
		if r.Revision() != 21 || !r.Cache().Live(leader) || r.PreviousWatchSentAt() != first {
			t.Errorf("released at revision %d, the previous watch at %d", r.Revision(), r.PreviousWatchSentAt())
		}
	})
	r.environment.Take(t, storage.Get).Reply(notFound(21))
	r.environment.Time += testInterval
	r.Refresh()
	call := r.environment.Take(t, storage.Watch)
	r.AdvanceReads()
	if len(results) != 0 {
		t.Fatal("released before the stream reached its revision")
	}
	call.Reply(storage.Reply{Outcome: storage.OK, Revision: 21, Items: []storage.Item{member("n1", 21)}})
	if !slices.Equal(results, []bool{true}) {
		t.Fatalf("results %v, want one success", results)
	}
}
