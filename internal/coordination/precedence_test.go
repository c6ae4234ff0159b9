package coordination

import (
	"testing"

	"pipitlatch/internal/config"
	"pipitlatch/internal/micros"
	"pipitlatch/internal/workload"
)

// TestNearObjective checks that a job counts as near its objective exactly in the last tenth of the
// time that the objective allows.
func TestNearObjective(t *testing.T) {
	const estimate = 20 * micros.Second
	for _, c := range []struct {
		name  string
		kind  string
		class string
		age   micros.Time
		want  bool
	}{
		{"before the last tenth", objectiveWait, "c", 90 * micros.Second, false},
		{"in the last tenth", objectiveWait, "c", 90*micros.Second + 1, true},
		{"after it", objectiveWait, "c", 100 * micros.Second, false},
		{"of another class", objectiveWait, "other", 95 * micros.Second, false},
		{"finish, less the run time: before the last tenth", objectiveFinished, "c", 72 * micros.Second, false},
		{"finish, less the run time: in the last tenth", objectiveFinished, "c", 72*micros.Second + 1, true},
		{"finish, less the run time: after it", objectiveFinished, "c", 80 * micros.Second, false},
		{"an objective that is not on a class", objectiveGuarantee, "c", 95 * micros.Second, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			settings := &config.Config{}
			settings.Settings.Objectives = []config.Objective{{Kind: c.kind, Class: c.class, WithinS: 100}}
			core := &Core{
				identity:  identity{config: settings},
				step:      step{wall: 1000 * micros.Second},
				jobTables: jobTables{runtimes: workload.NewRuntimeStats()},
			}
			p := &partitionLeader{core: core}
			j := &job{Job: &workload.Job{Class: "c", Estimate: estimate}, readySince: core.wall - c.age}
			if got := p.nearObjective(j); got != c.want {
				t.Errorf("got %v, want %v", got, c.want)
			}
		})
	}
}

// TestWithinGuarantee checks that a job is within the guarantee only if all its pending tasks fit into
// its team's guaranteed quota in addition to what the team runs.
func TestWithinGuarantee(t *testing.T) {
	for _, c := range []struct {
		name      string
		guarantee int64
		used      int64
		waiting   int
		want      bool
	}{
		{"all fit", 10, 4, 3, true},
		{"one does not", 10, 5, 3, false},
		{"no guarantee", 0, 0, 0, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			teams := map[string]*workload.Team{"a": {GuaranteeCPU: c.guarantee}}
			p := &partitionLeader{
				core:      &Core{identity: identity{teams: teams}},
				teamUsage: map[string]workload.Resources{"a": {CPU: c.used}},
			}
			j := &job{
				Job:          &workload.Job{Team: "a", Resources: workload.Resources{CPU: 2}},
				pendingTasks: workload.NewBitmap(c.waiting),
			}
			for task := range c.waiting {
				j.pendingTasks.Add(task)
			}
			if got := p.withinGuarantee(j); got != c.want {
				t.Errorf("got %v, want %v", got, c.want)
			}
		})
	}
}
