package storage

import (
	"encoding/json"
	"fmt"
	"slices"
	"strconv"
	"strings"

	"pipitlatch/internal/workload"
)

// dependencyGraph tracks the dependencies between active jobs. A job's dependencies never change,
// so whether it may start and whether it is cancelled by a dependency depend only on the records,
// not on the order in which they arrive.
type dependencyGraph struct {
	// Dependents maps a job ID to the active jobs that depend on that job.
	Dependents map[string]map[string]bool
	// ArchivedPhases maps dependencies whose records were archived to their final phases.
	ArchivedPhases map[string]workload.Phase

	unresolved      map[string]bool                   // dependencies with neither a cached record nor a known phase
	dependencyParts map[string]map[int]dependencyPart // by job ID and list name, then by part number
	affected        []string                          // jobs whose state changed because of another job
}

// dependencyPart is one part of a dependency list that did not fit into its job's record.
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

// TakeAffected returns and clears the jobs whose state changed because of another job since the
// last call: they may be ready to start, or are cancelled.
func (c *Cache) TakeAffected() []string {
	affected := c.affected
	c.affected = nil
	return affected
}

// trackDependencies updates the graph after a job's record or a part of its dependency list has
// arrived.
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

// assembleDependencies builds a job's dependency list from its record or from the parts in which
// it is stored. It returns false while parts are missing.
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

// untrackDependencies removes a job that has ended from the graph.
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

// notifyDependents propagates the completion or cancellation of a job to its dependents.
func (c *Cache) notifyDependents(id string, cancelled bool) {
	for dependent := range c.Dependents[id] {
		if cancelled {
			c.cancelWithDependents(dependent)
		} else {
			c.affected = append(c.affected, dependent)
		}
	}
}

// cancelWithDependents marks a job and its direct and indirect dependents as cancelled by a
// dependency. It is iterative, because dependency chains can be long.
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

// trackRemovedJob updates the graph after a job's record was moved to the archive. The job's final phase
// is kept while an unfinished job depends on it.
func (c *Cache) trackRemovedJob(id string, entry *JobEntry) {
	c.untrackDependencies(id, entry)
	if len(c.Dependents[id]) > 0 && entry.Job.Phase != workload.Active {
		c.ArchivedPhases[id] = entry.Job.Phase
	}
}

// ResolveDependency sets the final phase of a dependency that is not cached, as read from its archived
// record.
func (c *Cache) ResolveDependency(id string, phase workload.Phase) {
	if len(c.Dependents[id]) == 0 || phase == workload.Active {
		return
	}
	c.ArchivedPhases[id] = phase
	delete(c.unresolved, id)
	c.notifyDependents(id, phase == workload.Cancelled)
}

// Blocked reports whether a job has to wait for its dependencies. If the phase of a dependency is
// not known to this controller, it returns that dependency's ID as unresolved.
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

// UnresolvedDependencies returns the direct and indirect dependencies of a job whose records were archived
// before this controller learned their phases. Until their archived records are read, it is unknown
// whether one of them cancels the job.
func (c *Cache) UnresolvedDependencies(id string) []string {
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

// applyDependencyPart applies one part of a job's dependency list. Parts are written before the
// job's record, but follow it in a snapshot.
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

// parseDependencyPart splits the part of a dependency part's key after the kind into the list, which
// consists of job ID and list name, and the part number.
func parseDependencyPart(id string) (list string, n int, err error) {
	at := strings.LastIndexByte(id, '/')
	if at < 0 {
		return "", 0, fmt.Errorf("no part of a list of dependencies: %q", id)
	}
	n, err = strconv.Atoi(id[at+1:])
	return id[:at], n, err
}

// OrphanedDependencyParts returns the keys of up to limit dependency parts that belong to no
// unfinished job and are not newer than a revision. They are left by jobs that have ended and by
// interrupted submissions.
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
	// The first part of a list is deleted before the others or together with them. The transaction
	// that writes a job's record requires the first part, so that a late write can't refer to an
	// incomplete list.
	slices.Sort(keys)
	return keys[:min(limit, len(keys))]
}
