package storage

import (
	"encoding/json"

	"pipitlatch/internal/workload"
)

// applyJob applies a job's record, and the job's completed segments that arrived before it.
func (c *Cache) applyJob(id string, item Item) (changed bool, err error) {
	entry := c.Jobs[id]
	if entry != nil && entry.ModRevision >= item.ModRevision {
		return false, nil
	}
	if item.Deleted {
		if entry != nil {
			c.trackRemovedJob(id, entry)
		}
		delete(c.Jobs, id)
		return entry != nil, nil
	}
	var job workload.Job
	if err := json.Unmarshal(item.Value, &job); err != nil {
		return false, err
	}
	if entry == nil {
		entry = &JobEntry{}
		c.Jobs[id] = entry
		delete(c.unresolved, id)
	}
	entry.Job, entry.ModRevision = &job, item.ModRevision
	if job.Phase != workload.Active {
		entry.Completed, entry.CompletedRevisions = nil, nil
	}
	for segment, completed := range c.completedBeforeJob[id] {
		if _, err := c.applyCompleted(id, segment, completed); err != nil {
			return true, err
		}
	}
	delete(c.completedBeforeJob, id)
	c.trackDependencies(id, entry)
	return true, nil
}

// applyCompleted applies the completed tasks of one segment of a job.
func (c *Cache) applyCompleted(id string, segment int, item Item) (changed bool, err error) {
	entry := c.Jobs[id]
	if entry == nil {
		c.bufferCompleted(id, segment, item)
		return false, nil
	}
	outdated := entry.CompletedRevisions[segment] >= item.ModRevision
	if entry.Job.Phase != workload.Active || item.Deleted || outdated {
		return false, nil
	}
	var ranges string
	if err := json.Unmarshal(item.Value, &ranges); err != nil {
		return false, err
	}
	if entry.Completed == nil {
		entry.Completed, entry.CompletedRevisions = workload.NewBitmap(entry.Job.Tasks), map[int]uint64{}
	}
	entry.CompletedRevisions[segment] = item.ModRevision
	return true, entry.Completed.AddRanges(segment, ranges)
}

// bufferCompleted buffers a completed segment until its job's record arrives: in a snapshot the keys of
// completed segments sort before those of jobs.
func (c *Cache) bufferCompleted(id string, segment int, item Item) {
	if c.completedBeforeJob[id] == nil {
		c.completedBeforeJob[id] = map[int]Item{}
	}
	if c.completedBeforeJob[id][segment].ModRevision < item.ModRevision {
		c.completedBeforeJob[id][segment] = item
	}
}
