package coordination

import "pipitlatch/internal/coordination/messages"

// minProgressEntries is the table size up to which entries of ended jobs are never pruned.
const minProgressEntries = 4096

// progressTable holds the progress of jobs as last reported by their partition leaders, for display.
type progressTable struct {
	entries map[string]messages.JobProgress
	// keptWhenPruned is the number of entries left by the last pruning.
	keptWhenPruned int
}

func newProgressTable() *progressTable {
	return &progressTable{entries: map[string]messages.JobProgress{}}
}

// get returns the last reported progress of a job; zero if there is none.
func (t *progressTable) get(id string) messages.JobProgress { return t.entries[id] }

// update stores progress reported by a partition leader.
func (t *progressTable) update(progress []messages.JobProgress) {
	for _, p := range progress {
		t.entries[p.ID] = p
	}
}

// prune removes the entries of jobs that are not active, once the table exceeds minProgressEntries
// and twice the size that the last pruning left. Entries of active jobs are always kept.
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
