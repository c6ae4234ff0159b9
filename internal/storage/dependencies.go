package storage

import (
	"encoding/json"
	"fmt"
	"slices"
	"strconv"
	"strings"

	"pipitlatch/internal/workload"
)

// Format is what this version writes: from 2 on, jobs that wait on others, finished
// ranges in parts and a catalog in parts. A new form is written only once every member
// of the settings was registered with a version that reads it (Keys.Format).
const Format = 2

// Registration is a member's record: its process, and what its version writes, which is
// 0 for those that do not say.
type Registration struct {
	Process
	Format int `json:"v,omitempty"`
}

// dependencyGraph is which jobs wait on which.
type dependencyGraph struct {
	Dependents      map[string]map[string]bool        // active jobs that name a job
	ArchivedPhases  map[string]workload.Phase         // of needed jobs that were moved away
	unresolved      map[string]bool                   // needed jobs with neither a record nor an outcome known here
	dependencyParts map[string]map[int]dependencyPart // by job and name
	affected        []string
	catalogParts    map[string]Versioned[workload.Catalog]
}

type dependencyPart struct {
	refs    []string
	version uint64
}

func newDependencyGraph() dependencyGraph {
	return dependencyGraph{Dependents: map[string]map[string]bool{}, ArchivedPhases: map[string]workload.Phase{}, unresolved: map[string]bool{}, dependencyParts: map[string]map[int]dependencyPart{},
		catalogParts: map[string]Versioned[workload.Catalog]{}}
}

// TakeAffected are the jobs, since the last call, of which something changed because another
// job did: they may start now, or are cancelled.
func (r *Cache) TakeAffected() []string {
	t := r.affected
	r.affected = nil
	return t
}

// trackDependencies keeps up who waits on whom after a job's record changed.
func (r *Cache) trackDependencies(id string, e *JobEntry) {
	if e.Job.Phase != workload.Active {
		r.untrackDependencies(id, e)
		r.notifyDependents(id, e.Cancelled())
		return
	}
	if !e.Job.HasDependencies() || len(e.Dependencies) > 0 {
		return
	}
	e.Dependencies, e.DependenciesIncomplete = e.Job.DependsOn, false
	if n := e.Job.DependencyParts; n > 0 {
		parts := r.dependencyParts[id+"/"+e.Job.DependencyListName]
		if e.DependenciesIncomplete = len(parts) < n; e.DependenciesIncomplete {
			e.Dependencies = nil
			return
		}
		for i := range n {
			e.Dependencies = append(e.Dependencies, parts[i].refs...)
		}
	}
	for _, w := range e.Dependencies {
		if r.Dependents[w] == nil {
			r.Dependents[w] = map[string]bool{}
		}
		r.Dependents[w][id] = true
		if r.Jobs[w] == nil && r.ArchivedPhases[w] == workload.Active {
			r.unresolved[w] = true
		}
	}
	for _, w := range e.Dependencies {
		if r.isCancelled(w) {
			r.cancelDependents(id)
			return
		}
	}
}

// untrackDependencies forgets what a job waited on.
func (r *Cache) untrackDependencies(id string, e *JobEntry) {
	for _, w := range e.Dependencies {
		delete(r.Dependents[w], id)
		if len(r.Dependents[w]) == 0 {
			delete(r.Dependents, w)
			delete(r.ArchivedPhases, w)
			delete(r.unresolved, w)
		}
	}
	e.Dependencies, e.DependenciesIncomplete = nil, false
	if e.Job.Phase == workload.Done {
		e.CancelledByDependency = false
	}
}

// notifyDependents lets the jobs that name a job know that it is over.
func (r *Cache) notifyDependents(id string, cancelled bool) {
	for dep := range r.Dependents[id] {
		if cancelled {
			r.cancelDependents(dep)
		} else {
			r.affected = append(r.affected, dep)
		}
	}
}

// cancelDependents notes that a job before this one is cancelled, so that it is, and all after it.
func (r *Cache) cancelDependents(id string) {
	todo := []string{id}
	for len(todo) > 0 {
		id, todo = todo[len(todo)-1], todo[:len(todo)-1]
		e := r.Jobs[id]
		if e == nil || e.CancelledByDependency || e.Job.Phase != workload.Active {
			continue
		}
		e.CancelledByDependency = true
		r.affected = append(r.affected, id)
		for dep := range r.Dependents[id] {
			todo = append(todo, dep)
		}
	}
}

func (r *Cache) isCancelled(id string) bool {
	if e := r.Jobs[id]; e != nil {
		return e.Cancelled()
	}
	return r.ArchivedPhases[id] == workload.Cancelled
}

// jobRemoved notes that a job's record was moved away: what it came to stays known while an
// unfinished job names it.
func (r *Cache) jobRemoved(id string, e *JobEntry) {
	r.untrackDependencies(id, e)
	if len(r.Dependents[id]) > 0 && e.Job.Phase != workload.Active {
		r.ArchivedPhases[id] = e.Job.Phase
	}
}

// Resolve tells what a needed job that is not here came to, as its record says that was
// moved away.
func (r *Cache) Resolve(id string, p workload.Phase) {
	if len(r.Dependents[id]) == 0 || p == workload.Active {
		return
	}
	r.ArchivedPhases[id] = p
	delete(r.unresolved, id)
	r.notifyDependents(id, p == workload.Cancelled)
}

// Blocked tells whether a job has to wait for others, and names one of which nothing is
// known here, if there is one.
func (r *Cache) Blocked(e *JobEntry) (blocked bool, unknown string) {
	if e.DependenciesIncomplete {
		return true, ""
	}
	for _, w := range e.Dependencies {
		switch n := r.Jobs[w]; {
		case n != nil && n.Job.Phase == workload.Done:
		case n != nil:
			blocked = true
		case r.ArchivedPhases[w] == workload.Done:
		case r.ArchivedPhases[w] == workload.Cancelled:
			blocked = true
		default:
			return true, w
		}
	}
	return blocked, ""
}

// Unresolved lists the jobs before a job, directly or through others, of which nothing is
// known here: their records were moved away. Until they are read nobody can tell whether
// the job is cancelled with one of them.
func (r *Cache) Unresolved(id string) []string {
	if len(r.unresolved) == 0 {
		return nil
	}
	var out []string
	seen := map[string]bool{id: true}
	for todo := []string{id}; len(todo) > 0; {
		id, todo = todo[len(todo)-1], todo[:len(todo)-1]
		if r.unresolved[id] {
			out = append(out, id)
		}
		if e := r.Jobs[id]; e != nil && e.Job.Phase == workload.Active {
			for _, needed := range e.Dependencies {
				if !seen[needed] {
					seen[needed] = true
					todo = append(todo, needed)
				}
			}
		}
	}
	slices.Sort(out)
	return out
}

// applyDependencyPart takes a part of a job's list of needed jobs. It is written before the
// job's record; in a list it comes after.
func (r *Cache) applyDependencyPart(id string, it Item) (bool, error) {
	at := strings.LastIndexByte(id, '/')
	if at < 0 {
		return false, fmt.Errorf("no part: %q", id)
	}
	list := id[:at]
	n, err := strconv.Atoi(id[at+1:])
	if err != nil {
		return false, err
	}
	if it.Deleted {
		if delete(r.dependencyParts[list], n); len(r.dependencyParts[list]) == 0 {
			delete(r.dependencyParts, list)
		}
		return false, nil
	}
	var refs []string
	if err := json.Unmarshal(it.Value, &refs); err != nil {
		return false, err
	}
	if r.dependencyParts[list] == nil {
		r.dependencyParts[list] = map[int]dependencyPart{}
	}
	r.dependencyParts[list][n] = dependencyPart{refs, it.ModRevision}
	job, _, _ := strings.Cut(list, "/")
	if e := r.Jobs[job]; e != nil && e.DependenciesIncomplete {
		r.trackDependencies(job, e)
		r.affected = append(r.affected, job)
	}
	return true, nil
}

// OrphanedDependencyParts are parts of lists that no unfinished job has, and that are not newer than a
// revision: of a job that is over, or of an acceptance that was cut off.
func (r *Cache) OrphanedDependencyParts(revision uint64, most int) []string {
	var out []string
	for list, parts := range r.dependencyParts {
		job, name, _ := strings.Cut(list, "/")
		if e := r.Jobs[job]; e != nil && e.Job.Phase == workload.Active && e.Job.DependencyListName == name {
			continue
		}
		for n, p := range parts {
			if p.version <= revision {
				out = append(out, r.Keys.DependencyPart(job, name, n))
			}
		}
	}
	// The first part of a list goes before the others, or with them: a job's record that
	// is carried out late requires it, so it can't refer to a list with a gap.
	slices.Sort(out)
	return out[:min(most, len(out))]
}

// applyCatalogPart takes a part of the catalog.
func (r *Cache) applyCatalogPart(it Item) (bool, error) {
	changed, err := applyTo(r.catalogParts, it.Key, it)
	if !changed {
		return false, err
	}
	all := workload.Catalog{}
	for _, part := range r.catalogParts {
		for name, t := range part.Value {
			all[name] = t
		}
	}
	r.Catalog.Value = all
	return true, nil
}

// CatalogPartRevision is the version of a part of the catalog, 0 if there is none.
func (r *Cache) CatalogPartRevision(n int) uint64 {
	return r.catalogParts[r.Keys.CatalogPart(n)].ModRevision
}
