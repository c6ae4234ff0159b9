// Package workload defines jobs and their resources, sets of completed tasks, team quotas, run-time
// statistics, and the instance types that tasks run on.
package workload

import (
	"slices"

	"pipitlatch/internal/micros"
)

// JobKind distinguishes jobs whose tasks run to completion from services.
type JobKind uint8

// The kinds of jobs. There is no gang scheduling: the tasks of an array are independent of each
// other.
const (
	Array   JobKind = iota // a job array: each task runs to completion
	Service                // tasks are replicas that run until the job is cancelled
)

// Priority orders jobs; jobs of higher priority may preempt those of lower priority.
type Priority uint8

// The priorities, lowest first.
const (
	Low Priority = iota
	Normal
	High
	Production
)

// Phase tells whether a job is active or how it ended. Whether an active job is queued or running
// depends on its tasks.
type Phase uint8

// The phases.
const (
	Active Phase = iota
	Done
	Cancelled
)

// Job is a user's submission and its phase. It is stored as JSON under the names in the tags.
type Job struct {
	ID                 string      `json:"id"`
	Class              string      `json:"cl,omitempty"`
	Team               string      `json:"t,omitempty"`
	Kind               JobKind     `json:"k,omitempty"`
	Priority           Priority    `json:"pr,omitempty"`
	Tasks              int         `json:"n"`
	Resources          Resources   `json:"r"`
	InstanceTypes      []string    `json:"ty,omitempty"` // nil: any
	Zone               string      `json:"z,omitempty"`  // "": any
	OneZone            bool        `json:"oz,omitempty"`
	Spread             bool        `json:"sp,omitempty"`
	Spot               bool        `json:"s,omitempty"`
	Image              string      `json:"i,omitempty"`
	ImageGB            float64     `json:"ig,omitempty"`
	Estimate           micros.Time `json:"e,omitempty"`
	CheckpointInterval micros.Time `json:"ce,omitempty"`
	CheckpointDuration micros.Time `json:"sv,omitempty"`
	Deadline           micros.Time `json:"d,omitempty"` // relative to submission; 0: none
	Submitted          micros.Time `json:"at"`          // time of day
	Phase              Phase       `json:"p,omitempty"`

	// DependsOn lists the jobs that must be done before a task of this job starts, without those
	// that were already done when it was accepted. A list that does not fit into the record is
	// stored in parts under the name DependencyListName; the parts are written before the record.
	DependsOn          []string    `json:"w,omitempty"`
	DependencyListName string      `json:"wk,omitempty"`
	DependencyParts    int         `json:"wn,omitempty"`
	CompletedAt        micros.Time `json:"o,omitempty"` // time of day at which the job was done
}

// HasDependencies reports whether some dependencies were not done when the job was accepted.
func (j *Job) HasDependencies() bool { return len(j.DependsOn) > 0 || j.DependencyParts > 0 }

// Tombstone returns the part of a job's record that is kept after it ended. Its team and resources
// count towards quotas while its tasks are still on machines.
func (j *Job) Tombstone(p Phase) *Job {
	return &Job{ID: j.ID, Team: j.Team, Tasks: j.Tasks, Resources: j.Resources, Phase: p, Submitted: j.Submitted}
}

// AllowsInstanceType reports whether the job's tasks may run on machines of the given type.
func (j *Job) AllowsInstanceType(t string) bool {
	return len(j.InstanceTypes) == 0 || slices.Contains(j.InstanceTypes, t)
}

// SpreadLimit returns the maximum number of tasks of a spread job in one zone.
func (j *Job) SpreadLimit() int { return (j.Tasks + 1) / 2 }
