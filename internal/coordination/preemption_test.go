package coordination

import (
	"slices"
	"testing"

	"pipitlatch/internal/coordination/messages"
	"pipitlatch/internal/micros"
	"pipitlatch/internal/storage"
	"pipitlatch/internal/workload"
)

// runningOn adds an attempt to a machine that has been running since the given time.
func runningOn(m *machine, j *workload.Job, cpu int64, since micros.Time) *attempt {
	a := &attempt{
		id:           messages.AttemptID{Job: j.ID, Number: uint64(len(m.attempts) + 1)},
		machine:      m,
		job:          &job{Job: j},
		resources:    workload.Resources{CPU: cpu},
		state:        messages.Running,
		runningSince: since,
	}
	m.attempts[a.id] = a
	return a
}

// preemptionNow is the current time in preemptionCases.
const preemptionNow = 1000 * micros.Second

// startedSecondsAgo returns the start time of an attempt that has run for the given time.
func startedSecondsAgo(seconds micros.Time) micros.Time { return preemptionNow - seconds*micros.Second }

func lowPriority(id string) *workload.Job { return &workload.Job{ID: id, Priority: workload.Low} }

// preemptionCases are machines with eight CPUs on which a replica that needs four is to run.
var preemptionCases = []struct {
	name   string
	setup  func(m *machine)
	want   []string
	cost   float64
	enough bool
}{
	{name: "nothing if the replica fits", setup: func(m *machine) {
		runningOn(m, lowPriority("1"), 4, startedSecondsAgo(9))
	}, enough: true},
	{name: "the least work lost", setup: func(m *machine) {
		runningOn(m, lowPriority("1"), 4, startedSecondsAgo(9))
		runningOn(m, lowPriority("2"), 4, startedSecondsAgo(5))
	}, want: []string{"2"}, cost: 5 + stopOverheadSeconds, enough: true},
	{name: "an attempt that does not run yet loses no work", setup: func(m *machine) {
		runningOn(m, lowPriority("1"), 4, startedSecondsAgo(1))
		runningOn(m, lowPriority("2"), 4, 0)
	}, want: []string{"2"}, cost: stopOverheadSeconds, enough: true},
	{name: "an attempt that checkpoints loses the time that saving takes", setup: func(m *machine) {
		runningOn(m, lowPriority("1"), 4, startedSecondsAgo(9))
		j := lowPriority("2")
		j.CheckpointInterval, j.CheckpointDuration = 60*micros.Second, 2*micros.Second
		runningOn(m, j, 4, startedSecondsAgo(500))
	}, want: []string{"2"}, cost: 2 + stopOverheadSeconds, enough: true},
	{name: "as many as are needed", setup: func(m *machine) {
		runningOn(m, lowPriority("1"), 2, startedSecondsAgo(1))
		runningOn(m, lowPriority("2"), 2, startedSecondsAgo(2))
		runningOn(m, lowPriority("3"), 4, startedSecondsAgo(3))
	}, want: []string{"1", "2"}, cost: 3 + 2*stopOverheadSeconds, enough: true},
	{name: "not of the same priority", setup: func(m *machine) {
		runningOn(m, &workload.Job{ID: "1", Priority: workload.High}, 6, startedSecondsAgo(1))
		runningOn(m, lowPriority("2"), 1, startedSecondsAgo(1))
	}, want: []string{"2"}, cost: 1 + stopOverheadSeconds},
	{name: "not an attempt that is already being stopped", setup: func(m *machine) {
		runningOn(m, lowPriority("1"), 8, startedSecondsAgo(1)).stop.ordered = true
	}},
	{name: "exited attempts occupy nothing", setup: func(m *machine) {
		runningOn(m, lowPriority("1"), 8, startedSecondsAgo(1)).state = messages.Exited
	}, enough: true},
}

// TestPreemptionOn checks that the attempts that lose the least work are stopped, no more than
// needed, and none of the same priority.
func TestPreemptionOn(t *testing.T) {
	p := &partitionLeader{core: coreAt(preemptionNow)}
	service := &job{Job: &workload.Job{
		Kind: workload.Service, Priority: workload.High, Resources: workload.Resources{CPU: 4},
	}}
	for _, c := range preemptionCases {
		t.Run(c.name, func(t *testing.T) {
			m := &machine{
				instanceType: &workload.InstanceType{Capacity: workload.Resources{CPU: 8}},
				attempts:     map[messages.AttemptID]*attempt{},
			}
			c.setup(m)
			on, enough := p.preemptionOn(m, service)
			var victims []string
			for _, a := range on.victims {
				victims = append(victims, a.id.Job)
			}
			if !slices.Equal(victims, c.want) || on.cost != c.cost || enough != c.enough {
				t.Errorf("stops %v at a cost of %v s, enough %v; want %v, %v s, %v",
					victims, on.cost, enough, c.want, c.cost, c.enough)
			}
		})
	}
}

// TestZoneHasCapacity checks when a job's active tasks allow another one in a zone.
func TestZoneHasCapacity(t *testing.T) {
	for _, c := range []struct {
		name   string
		job    workload.Job
		active []string // zones
		want   bool
	}{
		{"any zone", workload.Job{Tasks: 4}, []string{"a", "b", "a"}, true},
		{"the first task of a one-zone job", workload.Job{Tasks: 4, OneZone: true}, nil, true},
		{"its zone", workload.Job{Tasks: 4, OneZone: true}, []string{"a"}, true},
		{"not another zone", workload.Job{Tasks: 4, OneZone: true}, []string{"b"}, false},
		{"up to half of a spread job", workload.Job{Tasks: 4, Spread: true}, []string{"a", "b", "b"}, true},
		{"no more than half of a spread job", workload.Job{Tasks: 4, Spread: true}, []string{"a", "a"}, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			j := &job{Job: &c.job, activeAttempts: map[int]*attempt{}}
			for task, zone := range c.active {
				j.activeAttempts[task] = &attempt{machine: &machine{record: storage.Machine{Zone: zone}}}
			}
			if got := j.zoneHasCapacity(j.activeTasksByZone(), "a"); got != c.want {
				t.Errorf("got %v, want %v", got, c.want)
			}
		})
	}
}
