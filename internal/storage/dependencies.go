package storage

import (
	"encoding/json"
	"fmt"
	"slices"
	"strconv"
	"strings"

	"pipitlatch/internal/workload"
)

// dependencyGraph is which active jobs depend on which. What a job depends on never changes, so
// that whether it may start, and whether it is cancelled with a dependency, are functions of the
// records, whatever the order in which they come.
type dependencyGraph struct {
	// Dependents are the active jobs that depend on a job, by the id of that job.
	Dependents map[string]map[string]bool
	// ArchivedPhases is what became of dependencies whose records were moved to the archive.
	ArchivedPhases map[string]workload.Phase

	unresolved      map[string]bool                   // dependencies with neither a record nor a known outcome
	dependencyParts map[string]map[int]dependencyPart // by job and name of the list, then by number
	affected        []string                          // jobs for which another job changed something
}

// dependencyPart is a part of a list of dependencies that did not fit the record of its job.
type dependencyPart struct {
	ids         []string
	modRevision uint64
}

func newDependencyGraph() dependencyGraph {
	return dependencyGraph{
		Dependents:      map[string]map[string]bool{},
		ArchivedPhases:  map[string]workload.Phase{},
		unresolved:      map[string]bool{},
		dependencyParts: map[string]map[int]dependencyPart{},
	}
}

// TakeAffected returns the jobs for which, since the last call, something changed because another
// job did: they may start now, or are cancelled.
func (c *Cache) TakeAffected() []string {
	affected := c.affected
	c.affected = nil
	return affected
}

// trackDependencies updates the graph after a job's record, or a part of its list, has come.
func (c *Cache) trackDependencies(id string, entry *JobEntry) {
	if entry.Job.Phase != workload.Active {
		c.untrackDependencies(id, entry)
		c.notifyDependents(id, entry.Cancelled())
		return
	}
	if !entry.Job.HasDependencies() || len(entry.Dependencies) > 0 {
		return
	}
	if !c.assembleDependencies(id, entry) {
		return
	}
	for _, dependency := range entry.Dependencies {
		if c.Dependents[dependency] == nil {
			c.Dependents[dependency] = map[string]bool{}
		}
		c.Dependents[dependency][id] = true
		if c.Jobs[dependency] == nil && c.ArchivedPhases[dependency] == workload.Active {
			c.unresolved[dependency] = true
		}
	}
	if slices.ContainsFunc(entry.Dependencies, c.isCancelled) {
		c.cancelWithDependents(id)
	}
}

// assembleDependencies puts a job's list of dependencies together from its record or from the
// parts it was stored in. It returns false while parts are missing.
func (c *Cache) assembleDependencies(id string, entry *JobEntry) bool {
	entry.Dependencies, entry.DependenciesIncomplete = entry.Job.DependsOn, false
	count := entry.Job.DependencyParts
	if count == 0 {
		return true
	}
	parts := c.dependencyParts[id+"/"+entry.Job.DependencyListName]
	if len(parts) < count {
		entry.Dependencies, entry.DependenciesIncomplete = nil, true
		return false
	}
	for i := range count {
		entry.Dependencies = append(entry.Dependencies, parts[i].ids...)
	}
	return true
}

// untrackDependencies takes a job that ended out of the graph.
func (c *Cache) untrackDependencies(id string, entry *JobEntry) {
	for _, dependency := range entry.Dependencies {
		delete(c.Dependents[dependency], id)
		if len(c.Dependents[dependency]) == 0 {
			delete(c.Dependents, dependency)
			delete(c.ArchivedPhases, dependency)
			delete(c.unresolved, dependency)
		}
	}
	entry.Dependencies, entry.DependenciesIncomplete = nil, false
	if entry.Job.Phase == workload.Done {
		entry.CancelledByDependency = false
	}
}

// notifyDependents passes on to the jobs that depend on a job that it is done or cancelled.
func (c *Cache) notifyDependents(id string, cancelled bool) {
	for dependent := range c.Dependents[id] {
		if cancelled {
			c.cancelWithDependents(dependent)
		} else {
			c.affected = append(c.affected, dependent)
		}
	}
}

// cancelWithDependents marks a job as cancelled with a dependency, and all that depend on it.
func (c *Cache) cancelWithDependents(id string) {
	pending := []string{id}
	for len(pending) > 0 {
		last := len(pending) - 1
		id, pending = pending[last], pending[:last]
		entry := c.Jobs[id]
		if entry == nil || entry.CancelledByDependency || entry.Job.Phase != workload.Active {
			continue
		}
		entry.CancelledByDependency = true
		c.affected = append(c.affected, id)
		for dependent := range c.Dependents[id] {
			pending = append(pending, dependent)
		}
	}
}

func (c *Cache) isCancelled(id string) bool {
	if entry := c.Jobs[id]; entry != nil {
		return entry.Cancelled()
	}
	return c.ArchivedPhases[id] == workload.Cancelled
}

// jobRemoved notes that a job's record was moved to the archive: what became of the job stays
// known while an unfinished job depends on it.
func (c *Cache) jobRemoved(id string, entry *JobEntry) {
	c.untrackDependencies(id, entry)
	if len(c.Dependents[id]) > 0 && entry.Job.Phase != workload.Active {
		c.ArchivedPhases[id] = entry.Job.Phase
	}
}

// Resolve tells what became of a dependency that is not cached, as its archived record says.
func (c *Cache) Resolve(id string, phase workload.Phase) {
	if len(c.Dependents[id]) == 0 || phase == workload.Active {
		return
	}
	c.ArchivedPhases[id] = phase
	delete(c.unresolved, id)
	c.notifyDependents(id, phase == workload.Cancelled)
}

// Blocked tells whether a job has to wait for dependencies, and names one whose outcome is not
// known here, if there is one.
func (c *Cache) Blocked(entry *JobEntry) (blocked bool, unresolved string) {
	if entry.DependenciesIncomplete {
		return true, ""
	}
	for _, id := range entry.Dependencies {
		phase := c.ArchivedPhases[id]
		dependency := c.Jobs[id]
		if dependency != nil {
			phase = dependency.Job.Phase
		}
		switch {
		case phase == workload.Done:
		case dependency != nil || phase == workload.Cancelled:
			blocked = true
		default:
			return true, id
		}
	}
	return blocked, ""
}

// Unresolved lists the dependencies of a job, direct or not, whose records were archived before
// this controller learned what became of them. Until they are read nobody can tell whether the
// job is cancelled with one of them.
func (c *Cache) Unresolved(id string) []string {
	if len(c.unresolved) == 0 {
		return nil
	}
	var unresolved []string
	seen := map[string]bool{id: true}
	for pending := []string{id}; len(pending) > 0; {
		last := len(pending) - 1
		id, pending = pending[last], pending[:last]
		if c.unresolved[id] {
			unresolved = append(unresolved, id)
		}
		entry := c.Jobs[id]
		if entry == nil || entry.Job.Phase != workload.Active {
			continue
		}
		for _, dependency := range entry.Dependencies {
			if !seen[dependency] {
				seen[dependency] = true
				pending = append(pending, dependency)
			}
		}
	}
	slices.Sort(unresolved)
	return unresolved
}

// applyDependencyPart takes a part of a job's list of dependencies. It is written before the
// job's record; in a snapshot it comes after.
func (c *Cache) applyDependencyPart(id string, item Item) (changed bool, err error) {
	list, n, err := parseDependencyPart(id)
	if err != nil {
		return false, err
	}
	if item.Deleted {
		if delete(c.dependencyParts[list], n); len(c.dependencyParts[list]) == 0 {
			delete(c.dependencyParts, list)
		}
		return false, nil
	}
	var ids []string
	if err := json.Unmarshal(item.Value, &ids); err != nil {
		return false, err
	}
	if c.dependencyParts[list] == nil {
		c.dependencyParts[list] = map[int]dependencyPart{}
	}
	c.dependencyParts[list][n] = dependencyPart{ids: ids, modRevision: item.ModRevision}
	job, _, _ := strings.Cut(list, "/")
	if entry := c.Jobs[job]; entry != nil && entry.DependenciesIncomplete {
		c.trackDependencies(job, entry)
		c.affected = append(c.affected, job)
	}
	return true, nil
}

// parseDependencyPart splits what follows the kind in the key of a part of a list into the list,
// which is the job's id and the list's name, and the number of the part.
func parseDependencyPart(id string) (list string, n int, err error) {
	at := strings.LastIndexByte(id, '/')
	if at < 0 {
		return "", 0, fmt.Errorf("no part of a list of dependencies: %q", id)
	}
	n, err = strconv.Atoi(id[at+1:])
	return id[:at], n, err
}

// OrphanedDependencyParts are the keys of parts of lists that no unfinished job has, and that are
// not newer than a revision: those of a job that ended, or of a submission that was cut off.
func (c *Cache) OrphanedDependencyParts(revision uint64, limit int) []string {
	var keys []string
	for list, parts := range c.dependencyParts {
		job, name, _ := strings.Cut(list, "/")
		entry := c.Jobs[job]
		if entry != nil && entry.Job.Phase == workload.Active && entry.Job.DependencyListName == name {
			continue
		}
		for n, part := range parts {
			if part.modRevision <= revision {
				keys = append(keys, c.Keys.DependencyPart(job, name, n))
			}
		}
	}
	// The first part of a list goes before the others, or with them. A job's record requires it,
	// so that one which is written late can't refer to a list with a gap.
	slices.Sort(keys)
	return keys[:min(limit, len(keys))]
}
