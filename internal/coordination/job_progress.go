package coordination

import "pipitlatch/internal/coordination/messages"

// minProgressEntries is how many jobs' progress is kept at least.
const minProgressEntries = 4096

// progressTable is how far jobs are, as their partition leaders last said, for display.
type progressTable struct {
	entries map[string]messages.JobProgress
	// keptWhenPruned is how many entries were left when they were last pruned.
	keptWhenPruned int
}

func newProgressTable() *progressTable {
	return &progressTable{entries: map[string]messages.JobProgress{}}
}

// get is how far a job is; zero if nobody said.
func (t *progressTable) get(id string) messages.JobProgress { return t.entries[id] }

// update takes what a partition leader said.
func (t *progressTable) update(progress []messages.JobProgress) {
	for _, p := range progress {
		t.entries[p.ID] = p
	}
}

// prune forgets the progress of jobs that are over, once there is much of it: with more active
// jobs than that all of theirs is kept.
func (t *progressTable) prune(active func(id string) bool) {
	if len(t.entries) <= max(minProgressEntries, 2*t.keptWhenPruned) {
		return
	}
	for id := range t.entries {
		if !active(id) {
			delete(t.entries, id)
		}
	}
	t.keptWhenPruned = len(t.entries)
}
