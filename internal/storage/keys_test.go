package storage

import (
	"testing"

	"pipitlatch/internal/workload"
)

// TestKeysStayAsStored guards against a rename in the code changing the stored keys, which would
// make existing data unreadable.
func TestKeysStayAsStored(t *testing.T) {
	k := Keys{Prefix: "pl/"}
	for got, want := range map[string]string{
		k.ClusterLeader():                "pl/leader",
		k.Member("node-1"):               "pl/node/node-1",
		k.Partition(3):                   "pl/queue/3",
		k.Block("c7-1"):                  "pl/block/c7-1",
		k.Job("wk-1"):                    "pl/job/wk-1",
		k.ArchivedJob("wk-1"):            "pl/~over/wk-1",
		k.CompletedSegment("wk-1", 2):    "pl/fin/wk-1/2",
		k.DependencyPart("wk-1", "a", 0): "pl/wait/wk-1/a/0",
		k.Catalog():                      "pl/catalog",
		k.CatalogPart(1):                 "pl/types/1",
		k.Admission():                    "pl/admission",
		k.Format():                       "pl/format",
		k.ReadBarrier():                  "pl/barrier",
		k.CompletedSegment("wk-1", workload.FirstSmallSegment+2): "pl/fin/wk-1/p2",
	} {
		if got != want {
			t.Errorf("key %q, want %q", got, want)
		}
	}
}

func TestParseCompletedSegment(t *testing.T) {
	tests := map[string]struct {
		job     string
		segment int
		invalid bool
	}{
		"wk-1/0":  {job: "wk-1", segment: 0},
		"wk-1/12": {job: "wk-1", segment: 12},
		"wk-1/p3": {job: "wk-1", segment: workload.FirstSmallSegment + 3},
		"wk-1":    {invalid: true},
		"wk-1/x":  {invalid: true},
	}
	for id, want := range tests {
		t.Run(id, func(t *testing.T) {
			job, segment, err := parseCompletedSegment(id)
			if (err != nil) != want.invalid {
				t.Fatalf("error %v, want one: %v", err, want.invalid)
			}
			if err == nil && (job != want.job || segment != want.segment) {
				t.Errorf("job %q, segment %d, want %q, %d", job, segment, want.job, want.segment)
			}
		})
	}
}
