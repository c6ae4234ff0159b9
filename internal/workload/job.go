// Package workload knows jobs, their finished tasks, what teams use and how
// long tasks really run.
package workload

import (
	"slices"

	"pipitlatch/internal/micros"
)

// JobKind tells whether a job's tasks end by themselves.
type JobKind uint8

// The kinds of jobs. The protocol has no gangs: tasks of an array are
// independent of each other.
const (
	Array JobKind = iota
	Service
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

// Phase is what is final about a job; whether an active one is queued or
// running depends on its tasks.
type Phase uint8

// The phases.
const (
	Active Phase = iota
	Done
	Cancelled
)

// Resources are amounts in thousandths: CPUs, GPUs and gigabytes of memory.
type Resources struct {
	CPU int64 `json:"c"`
	GPU int64 `json:"g,omitempty"`
	Mem int64 `json:"m"`
}

// Add returns r + o.
func (r Resources) Add(o Resources) Resources {
	return Resources{r.CPU + o.CPU, r.GPU + o.GPU, r.Mem + o.Mem}
}

// Sub returns r - o.
func (r Resources) Sub(o Resources) Resources {
	return Resources{r.CPU - o.CPU, r.GPU - o.GPU, r.Mem - o.Mem}
}

// Times returns n of r.
func (r Resources) Times(n int64) Resources {
	return Resources{r.CPU * n, r.GPU * n, r.Mem * n}
}

// Fits tells whether r fits into o.
func (r Resources) Fits(o Resources) bool {
	return r.CPU <= o.CPU && r.GPU <= o.GPU && r.Mem <= o.Mem
}

// Count is how many of r fit into o.
func (r Resources) Count(o Resources) int64 {
	n := int64(1 << 20)
	for _, p := range [3][2]int64{{r.CPU, o.CPU}, {r.GPU, o.GPU}, {r.Mem, o.Mem}} {
		if p[0] > 0 {
			n = min(n, max(0, p[1])/p[0])
		}
	}
	return n
}

// Job is what a user submitted, and how far it is.
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

	// Jobs that must be done before a task of this one starts: those that were not when
	// it was accepted. A list that is too long for the record is stored in parts, before
	// the record, under the name DependencyListName.
	DependsOn          []string    `json:"w,omitempty"`
	DependencyListName string      `json:"wk,omitempty"`
	DependencyParts    int         `json:"wn,omitempty"`
	CompletedAt        micros.Time `json:"o,omitempty"` // time of day at which it was done
}

// HasDependencies tells whether the job was accepted before all that it needs was done.
func (j *Job) HasDependencies() bool { return len(j.DependsOn) > 0 || j.DependencyParts > 0 }

// Tombstone returns the little that must be kept of a job that is over: the team and
// the need still count while tasks of it are on machines.
func (j *Job) Tombstone(p Phase) *Job {
	return &Job{ID: j.ID, Team: j.Team, Tasks: j.Tasks, Resources: j.Resources, Phase: p, Submitted: j.Submitted}
}

// AllowsInstanceType tells whether the job's tasks may run on machines of a type.
func (j *Job) AllowsInstanceType(t string) bool {
	return len(j.InstanceTypes) == 0 || slices.Contains(j.InstanceTypes, t)
}

// SpreadLimit is how many tasks of a spread job one zone may hold.
func (j *Job) SpreadLimit() int { return (j.Tasks + 1) / 2 }

// InstanceType is one entry of the cloud's catalog.
type InstanceType struct {
	Name      string
	Capacity  Resources
	CacheGB   float64
	FetchGBps float64
	Price     float64 // an hour
	SpotPrice float64
	Boot      micros.Time
	Zones     []string
}

// Catalog is the cloud's machine types by name.
type Catalog map[string]*InstanceType

// Fits tells whether a task of the job fits some machine it is allowed.
func (c Catalog) Fits(j *Job) bool {
	for _, t := range c {
		if j.AllowsInstanceType(t.Name) && j.Resources.Fits(t.Capacity) && (j.Zone == "" || slices.Contains(t.Zones, j.Zone)) {
			return true
		}
	}
	return false
}

// SameTypes tells whether two catalogs have the same machine types; prices, which
// move, may differ.
func (c Catalog) SameTypes(o Catalog) bool {
	if len(c) != len(o) {
		return false
	}
	for name, a := range c {
		b := o[name]
		if b == nil || a.Capacity != b.Capacity || a.Boot != b.Boot || a.CacheGB != b.CacheGB || a.FetchGBps != b.FetchGBps ||
			!slices.Equal(a.Zones, b.Zones) {
			return false
		}
	}
	return true
}
