package coordination

import (
	"fmt"
	"testing"

	"pipitlatch/internal/coordination/messages"
)

func TestLastProgressOfAJobIsKept(t *testing.T) {
	table := newProgressTable()
	table.update([]messages.JobProgress{{ID: "a", Done: 1}, {ID: "b", Done: 2}})
	table.update([]messages.JobProgress{{ID: "a", Done: 3, Running: 4}})
	for id, want := range map[string]messages.JobProgress{
		"a": {ID: "a", Done: 3, Running: 4}, "b": {ID: "b", Done: 2}, "c": {},
	} {
		if got := table.get(id); got != want {
			t.Errorf("progress of %s is %+v, want %+v", id, got, want)
		}
	}
}

func TestProgressIsPruned(t *testing.T) {
	observe := func(table *progressTable, prefix string, count int) {
		for i := range count {
			table.update([]messages.JobProgress{{ID: fmt.Sprint(prefix, i), Done: 1}})
		}
	}
	const least = minProgressEntries
	active := func(id string) bool { return id[0] == 'a' }
	for name, test := range map[string]struct {
		active, over int
		kept         int // after the first pruning
		limit        int // how many may then be observed before the next
	}{
		"few entries are kept, even of ended jobs":      {10, least - 10, least, least},
		"of many entries those of active jobs are kept": {10, least, 10, least},
		"all of many active jobs are kept":              {least + 9, 0, least + 9, 2*least + 18},
		"half of the kept entries may be of ended jobs": {least, 1, least, 2 * least},
	} {
		t.Run(name, func(t *testing.T) {
			table := newProgressTable()
			observe(table, "a", test.active)
			observe(table, "over", test.over)
			table.prune(active)
			if len(table.entries) != test.kept {
				t.Fatalf("%d entries kept, want %d", len(table.entries), test.kept)
			}
			observe(table, "other", test.limit-test.kept)
			table.prune(active)
			if len(table.entries) != test.limit {
				t.Fatalf("%d entries kept, want all %d", len(table.entries), test.limit)
			}
			observe(table, "one more", 1)
			table.prune(active)
			if len(table.entries) != test.active {
				t.Errorf("%d entries kept, want only those of %d active jobs", len(table.entries), test.active)
			}
		})
	}
}
