package admission

import (
	"fmt"
	"testing"

	"pipitlatch/internal/micros"
)

// TestDemandCountsReferencesOnce checks that repeated submissions of a job, at one controller or at
// several, count as one job.
func TestDemandCountsReferencesOnce(t *testing.T) {
	f := Flow{"alpha", "short"}
	var all []Demand
	for range 3 {
		tracker := NewTracker(2)
		for i := range 1000 {
			for range 4 {
				tracker.Asked(micros.Second, f, fmt.Sprintf("wk-%06d", i))
			}
		}
		all = append(all, tracker.Demand(2*micros.Second))
	}
	d := Merge(all)
	if n := d.Flows[0].Waiting(); len(d.Flows) != 1 || n < 900 || n > 1100 {
		t.Errorf("%d flows, %d waiting", len(d.Flows), n)
	}
	raw, err := EncodeSketch(d.Flows[0].Asked)
	if err != nil || len(raw) > 1100 {
		t.Fatal(len(raw), err)
	}
	if got, err := DecodeSketch(raw); err != nil || got.Estimate() != d.Flows[0].Asked.Estimate() {
		t.Error(err)
	}
	if _, err := DecodeSketch(raw[:len(raw)/2]); err == nil {
		t.Error("a truncated sketch was decoded without an error")
	}
	tracker := NewTracker(2)
	tracker.Asked(micros.Second, f, "wk-000001")
	if n := len(tracker.Demand(100 * micros.Second).Flows); n != 0 {
		t.Errorf("%d flows after all generations expired, want 0", n)
	}
}

// TestMadeUpClassesAreBounded checks that a team that submits jobs with any number of invented classes
// takes no entries from other teams and uses a bounded amount of memory.
func TestMadeUpClassesAreBounded(t *testing.T) {
	for _, teams := range []int{2, 300} {
		tracker := NewTracker(teams)
		for i := range 5000 {
			tracker.Asked(micros.Second, Flow{"alpha", fmt.Sprint("made-up-", i)}, fmt.Sprintf("wk-%06d", i))
		}
		for i := 1; i < teams; i++ {
			tracker.Asked(micros.Second, Flow{fmt.Sprint("team-", i), "short"}, fmt.Sprintf("wk-1%05d", i))
		}
		d := tracker.Demand(2 * micros.Second)
		if len(d.Flows) > MaxFlows {
			t.Errorf("%d teams: %d flows", teams, len(d.Flows))
		}
		found := false
		for _, f := range d.Flows {
			found = found || f.Flow == Flow{"team-1", "short"}
		}
		if !found {
			t.Errorf("%d teams: the flow of another team has no entry of its own", teams)
		}
	}
}
