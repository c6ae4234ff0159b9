package coordination

import (
	"fmt"
	"slices"
	"testing"

	"pipitlatch/internal/admission"
	"pipitlatch/internal/coordination/messages"
	"pipitlatch/internal/micros"
	"pipitlatch/internal/storage"
)

// TestMalformedRecordLogIsRateLimited: malformed records of the epoch do not flood the log, and the
// previous epoch stays in force.
func TestMalformedRecordLogIsRateLimited(t *testing.T) {
	c := newFairAdmissionCore(t)
	lines := 0
	for i := range 100 {
		c.now += 50 * micros.Millisecond
		c.output = &messages.Output{}
		item := storage.Item{Key: c.keys.Admission(), Value: []byte(`{"n":`), ModRevision: uint64(20 + i)}
		if _, _, err := c.cache.Apply(item); err != nil {
			t.Fatal(err)
		}
		c.admissionChanged(c.now)
		for _, record := range c.output.LogRecords {
			if record.Level >= messages.LevelWarn {
				lines++
			}
		}
	}
	if lines < 1 || lines > 2 {
		t.Errorf("%d log records in 5 s, want 1 or 2", lines)
	}
	if e := c.fairAdmission.view.Current(c.now); e == nil || e.Number != 3 {
		t.Error("the previous epoch is not in force")
	}
}

// leadUnderOverload makes the core the cluster leader with a fencing token, at a time when the previous
// epoch has expired and submissions are refused.
func leadUnderOverload(c *Core, fencingToken uint64) {
	c.cache.ClusterLeader = storage.Versioned[storage.Process]{Value: c.process, ModRevision: fencingToken}
	c.leader.StartTerm(fencingToken)
	c.now += 20 * micros.Second
	for i := range 3000 {
		c.fairAdmission.tracker.Asked(c.now, admission.Flow{Team: "alpha", Class: "c"}, fmt.Sprintf("wk-%06d", i))
		c.fairAdmission.tracker.Refused(c.now)
	}
}

// tickEpoch runs the admission timer at a time. It returns the request that writes an epoch and that
// epoch, or nil if none is written.
func tickEpoch(t *testing.T, c *Core, now micros.Time) (*storage.Request, *admission.Epoch) {
	t.Helper()
	c.now, c.output = now, &messages.Output{}
	c.tickAdmission()
	switch len(c.output.StoreCalls) {
	case 0:
		return nil, nil
	case 1:
	default:
		t.Fatalf("%d store requests, want at most 1", len(c.output.StoreCalls))
	}
	r := c.output.StoreCalls[0].Request
	epoch, err := admission.Parse(r.Puts[0].Value)
	if err != nil {
		t.Fatal(err)
	}
	return r, epoch
}

// TestEpochWriteIsFenced: the write of an epoch has no effect if the cluster leader was replaced or
// the epoch's record has changed. No other write is sent while it is in flight.
func TestEpochWriteIsFenced(t *testing.T) {
	c := newFairAdmissionCore(t)
	leadUnderOverload(c, 4)
	r, epoch := tickEpoch(t, c, c.now)
	if epoch == nil || epoch.Number != 4 || epoch.Leader != 4 {
		t.Fatalf("epoch %+v, want number 4 of leader 4", epoch)
	}
	want := []storage.Compare{
		{Key: c.keys.ClusterLeader(), ModRevision: 4},
		{Key: c.keys.Admission(), ModRevision: 9},
	}
	if !slices.Equal(r.Compares, want) {
		t.Errorf("compares %+v, want %+v", r.Compares, want)
	}
	if _, again := tickEpoch(t, c, c.now); again != nil {
		t.Error("epoch was written again while the write is in flight")
	}
}

// TestOneEpochWriteInFlight: an epoch that is due waits for the reply to the previous write. A write
// that was refused is retried at the next check.
func TestOneEpochWriteInFlight(t *testing.T) {
	for name, test := range map[string]struct {
		inFlight bool
		want     bool
	}{
		"no reply yet": {inFlight: true},
		"refused":      {want: true},
	} {
		t.Run(name, func(t *testing.T) {
			c := newFairAdmissionCore(t)
			leadUnderOverload(c, 4)
			_, epoch := tickEpoch(t, c, c.now)
			if epoch == nil {
				t.Fatal("no epoch")
			}
			wait := epoch.Length
			if !test.inFlight {
				c.calls.CompleteStore(c.now, c.output.StoreCalls[0].Call, &storage.Reply{Outcome: storage.Unavailable})
				wait = epochCheckInterval
			}
			_, next := tickEpoch(t, c, c.now+wait)
			if got := next != nil; got != test.want {
				t.Errorf("written %v, want %v", got, test.want)
			}
		})
	}
}

// TestNewFencingTokenResetsPlanner: an epoch that was written under an earlier fencing token does not
// delay the next one.
func TestNewFencingTokenResetsPlanner(t *testing.T) {
	for name, test := range map[string]struct {
		fencingToken uint64
		want         bool
	}{
		"same leadership":    {fencingToken: 4},
		"another leadership": {fencingToken: 5, want: true},
	} {
		t.Run(name, func(t *testing.T) {
			c := newFairAdmissionCore(t)
			leadUnderOverload(c, 4)
			if _, epoch := tickEpoch(t, c, c.now); epoch == nil {
				t.Fatal("no epoch")
			}
			c.calls.CompleteStore(c.now, c.output.StoreCalls[0].Call, &storage.Reply{Outcome: storage.OK})
			c.leader.StartTerm(test.fencingToken)
			_, next := tickEpoch(t, c, c.now+epochCheckInterval)
			if got := next != nil; got != test.want {
				t.Errorf("written %v, want %v", got, test.want)
			}
		})
	}
}
