// Package workload holds jobs and their resources, the tasks they completed, the quotas of teams,
// how long tasks really run, and the instance types that tasks run on.
package workload

import (
	"slices"

	"pipitlatch/internal/micros"
)

// JobKind tells whether a job's tasks end by themselves.
type JobKind uint8

// The kinds of jobs. The protocol has no gangs: the tasks of an array are independent of each
// other.
const (
	Array   JobKind = iota // a job array: each task runs to completion
	Service                // its tasks are replicas, which run until the job is cancelled
)

// Priority orders jobs; higher may preempt lower.
type Priority uint8

// The priorities, lowest first.
const (
	Low Priority = iota
	Normal
	High
	Production
)

// Phase is what is final about a job. Whether an active one is queued or running depends on its
// tasks.
type Phase uint8

// The phases.
const (
	Active Phase = iota
	Done
	Cancelled
)

// Job is what a user submitted, and its phase. It is stored as JSON under the names of the tags.
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
	Deadline           micros.Time `json:"d,omitempty"` // after submission; 0: none
	Submitted          micros.Time `json:"at"`          // time of day
	Phase              Phase       `json:"p,omitempty"`

	// DependsOn are the jobs that must be done before a task of this one starts: those that were
	// not done when it was accepted. A list that does not fit the record is stored in parts, before
	// the record, under the name DependencyListName.
	DependsOn          []string    `json:"w,omitempty"`
	DependencyListName string      `json:"wk,omitempty"`
	DependencyParts    int         `json:"wn,omitempty"`
	CompletedAt        micros.Time `json:"o,omitempty"` // time of day at which it was done
}

// HasDependencies tells whether the job was accepted before all its dependencies were done.
func (j *Job) HasDependencies() bool { return len(j.DependsOn) > 0 || j.DependencyParts > 0 }

// Tombstone returns what must be kept of a job that ended: its team and resources count for quotas
// while tasks of it are still on machines.
func (j *Job) Tombstone(p Phase) *Job {
	return &Job{ID: j.ID, Team: j.Team, Tasks: j.Tasks, Resources: j.Resources, Phase: p, Submitted: j.Submitted}
}

// AllowsInstanceType tells whether the job's tasks may run on machines of a type.
func (j *Job) AllowsInstanceType(t string) bool {
	return len(j.InstanceTypes) == 0 || slices.Contains(j.InstanceTypes, t)
}

// SpreadLimit is how many tasks of a spread job one zone may hold.
func (j *Job) SpreadLimit() int { return (j.Tasks + 1) / 2 }
