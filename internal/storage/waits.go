package storage

import (
	"encoding/json"
	"fmt"
	"slices"
	"strconv"
	"strings"

	"pipitlatch/internal/bookkeeping"
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

// waits is which jobs wait on which.
type waits struct {
	Needed  map[string]map[string]bool   // active jobs that name a job
	Past    map[string]bookkeeping.Phase // of needed jobs that were moved away
	missing map[string]bool              // needed jobs with neither a record nor an outcome known here
	parts   map[string]map[int]waitPart  // by job and name
	touched []string
	types   map[string]Versioned[bookkeeping.Catalog]
}

type waitPart struct {
	refs    []string
	version uint64
}

func newWaits() waits {
	return waits{Needed: map[string]map[string]bool{}, Past: map[string]bookkeeping.Phase{}, missing: map[string]bool{}, parts: map[string]map[int]waitPart{},
		types: map[string]Versioned[bookkeeping.Catalog]{}}
}

// Touched are the jobs, since the last call, of which something changed because another
// job did: they may start now, or are cancelled.
func (r *Replica) Touched() []string {
	t := r.touched
	r.touched = nil
	return t
}

// trackNeeds keeps up who waits on whom after a job's record changed.
func (r *Replica) trackNeeds(id string, e *JobEntry) {
	if e.Job.Phase != bookkeeping.Active {
		r.untrackNeeds(id, e)
		r.notifyDependents(id, e.Cancelled())
		return
	}
	if !e.Job.Waits() || len(e.Waits) > 0 {
		return
	}
	e.Waits, e.Partial = e.Job.WaitsOn, false
	if n := e.Job.WaitParts; n > 0 {
		parts := r.parts[id+"/"+e.Job.WaitKey]
		if e.Partial = len(parts) < n; e.Partial {
			e.Waits = nil
			return
		}
		for i := range n {
			e.Waits = append(e.Waits, parts[i].refs...)
		}
	}
	for _, w := range e.Waits {
		if r.Needed[w] == nil {
			r.Needed[w] = map[string]bool{}
		}
		r.Needed[w][id] = true
		if r.Jobs[w] == nil && r.Past[w] == bookkeeping.Active {
			r.missing[w] = true
		}
	}
	for _, w := range e.Waits {
		if r.isCancelled(w) {
			r.cancelDependents(id)
			return
		}
	}
}

// untrackNeeds forgets what a job waited on.
func (r *Replica) untrackNeeds(id string, e *JobEntry) {
	for _, w := range e.Waits {
		delete(r.Needed[w], id)
		if len(r.Needed[w]) == 0 {
			delete(r.Needed, w)
			delete(r.Past, w)
			delete(r.missing, w)
		}
	}
	e.Waits, e.Partial = nil, false
	if e.Job.Phase == bookkeeping.Done {
		e.CancelledBefore = false
	}
}

// notifyDependents lets the jobs that name a job know that it is over.
func (r *Replica) notifyDependents(id string, cancelled bool) {
	for dep := range r.Needed[id] {
		if cancelled {
			r.cancelDependents(dep)
		} else {
			r.touched = append(r.touched, dep)
		}
	}
}

// cancelDependents notes that a job before this one is cancelled, so that it is, and all after it.
func (r *Replica) cancelDependents(id string) {
	todo := []string{id}
	for len(todo) > 0 {
		id, todo = todo[len(todo)-1], todo[:len(todo)-1]
		e := r.Jobs[id]
		if e == nil || e.CancelledBefore || e.Job.Phase != bookkeeping.Active {
			continue
		}
		e.CancelledBefore = true
		r.touched = append(r.touched, id)
		for dep := range r.Needed[id] {
			todo = append(todo, dep)
		}
	}
}

func (r *Replica) isCancelled(id string) bool {
	if e := r.Jobs[id]; e != nil {
		return e.Cancelled()
	}
	return r.Past[id] == bookkeeping.Cancelled
}

// gone notes that a job's record was moved away: what it came to stays known while an
// unfinished job names it.
func (r *Replica) gone(id string, e *JobEntry) {
	r.untrackNeeds(id, e)
	if len(r.Needed[id]) > 0 && e.Job.Phase != bookkeeping.Active {
		r.Past[id] = e.Job.Phase
	}
}

// Resolve tells what a needed job that is not here came to, as its record says that was
// moved away.
func (r *Replica) Resolve(id string, p bookkeeping.Phase) {
	if len(r.Needed[id]) == 0 || p == bookkeeping.Active {
		return
	}
	r.Past[id] = p
	delete(r.missing, id)
	r.notifyDependents(id, p == bookkeeping.Cancelled)
}

// Blocked tells whether a job has to wait for others, and names one of which nothing is
// known here, if there is one.
func (r *Replica) Blocked(e *JobEntry) (blocked bool, unknown string) {
	if e.Partial {
		return true, ""
	}
	for _, w := range e.Waits {
		switch n := r.Jobs[w]; {
		case n != nil && n.Job.Phase == bookkeeping.Done:
		case n != nil:
			blocked = true
		case r.Past[w] == bookkeeping.Done:
		case r.Past[w] == bookkeeping.Cancelled:
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
func (r *Replica) Unresolved(id string) []string {
	if len(r.missing) == 0 {
		return nil
	}
	var out []string
	seen := map[string]bool{id: true}
	for todo := []string{id}; len(todo) > 0; {
		id, todo = todo[len(todo)-1], todo[:len(todo)-1]
		if r.missing[id] {
			out = append(out, id)
		}
		if e := r.Jobs[id]; e != nil && e.Job.Phase == bookkeeping.Active {
			for _, needed := range e.Waits {
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

// applyWaitPart takes a part of a job's list of needed jobs. It is written before the
// job's record; in a list it comes after.
func (r *Replica) applyWaitPart(id string, it Item) (bool, error) {
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
		if delete(r.parts[list], n); len(r.parts[list]) == 0 {
			delete(r.parts, list)
		}
		return false, nil
	}
	var refs []string
	if err := json.Unmarshal(it.Value, &refs); err != nil {
		return false, err
	}
	if r.parts[list] == nil {
		r.parts[list] = map[int]waitPart{}
	}
	r.parts[list][n] = waitPart{refs, it.Version}
	job, _, _ := strings.Cut(list, "/")
	if e := r.Jobs[job]; e != nil && e.Partial {
		r.trackNeeds(job, e)
		r.touched = append(r.touched, job)
	}
	return true, nil
}

// StaleParts are parts of lists that no unfinished job has, and that are not newer than a
// revision: of a job that is over, or of an acceptance that was cut off.
func (r *Replica) StaleParts(revision uint64, most int) []string {
	var out []string
	for list, parts := range r.parts {
		job, name, _ := strings.Cut(list, "/")
		if e := r.Jobs[job]; e != nil && e.Job.Phase == bookkeeping.Active && e.Job.WaitKey == name {
			continue
		}
		for n, p := range parts {
			if p.version <= revision {
				out = append(out, r.Keys.WaitPart(job, name, n))
			}
		}
	}
	// The first part of a list goes before the others, or with them: a job's record that
	// is carried out late requires it, so it can't refer to a list with a gap.
	slices.Sort(out)
	return out[:min(most, len(out))]
}

// applyTypes takes a part of the catalog.
func (r *Replica) applyTypes(it Item) (bool, error) {
	changed, err := applyTo(r.types, it.Key, it)
	if !changed {
		return false, err
	}
	all := bookkeeping.Catalog{}
	for _, part := range r.types {
		for name, t := range part.Value {
			all[name] = t
		}
	}
	r.Catalog.Value = all
	return true, nil
}

// TypesVersion is the version of a part of the catalog, 0 if there is none.
func (r *Replica) TypesVersion(n int) uint64 { return r.types[r.Keys.Types(n)].Version }
