package coordination

import (
	"testing"

	"pipitlatch/internal/micros"
	"pipitlatch/internal/storage"
	"pipitlatch/internal/workload"
)

func TestUrgencyIsInheritedFromDependents(t *testing.T) {
	const (
		deadline = 1000 * micros.Second
		run      = 100 * micros.Second
		fetch    = 2 * micros.Second // of 1 GB at 0.5 GB/s
	)
	job := func(id string, change func(*workload.Job), dependencies ...string) *workload.Job {
		j := &workload.Job{ID: id, Class: "c", Team: "alpha", Tasks: 1, Estimate: run, DependsOn: dependencies}
		change(j)
		return j
	}
	asIs := func(*workload.Job) {}
	due := func(j *workload.Job) { j.Deadline = deadline }
	dueWithImage := func(j *workload.Job) { j.Deadline, j.ImageGB = deadline, 1 }
	tests := []struct {
		name string
		jobs []*workload.Job
		want inheritedUrgency
	}{
		{name: "no dependents", jobs: []*workload.Job{job("a", due)}, want: inheritedUrgency{due: micros.Max}},
		{name: "dependent without a due date", jobs: []*workload.Job{job("b", asIs, "a")},
			want: inheritedUrgency{due: micros.Max}},
		{name: "time for the dependent to run", jobs: []*workload.Job{job("b", due, "a")},
			want: inheritedUrgency{due: deadline - run - startOverhead}},
		{name: "time for the dependent to fetch its image and run", jobs: []*workload.Job{job("b", dueWithImage, "a")},
			want: inheritedUrgency{due: deadline - run - fetch - startOverhead}},
		{name: "through an indirect dependent", jobs: []*workload.Job{job("b", asIs, "a"), job("c", due, "b")},
			want: inheritedUrgency{due: deadline - 2*(run+startOverhead)}},
		{name: "the earliest due date and the highest priority of several", jobs: []*workload.Job{
			job("b", due, "a"),
			job("c", func(j *workload.Job) { j.Deadline = deadline / 2 }, "a"),
			job("d", func(j *workload.Job) { j.Priority = workload.High }, "a"),
		}, want: inheritedUrgency{due: deadline/2 - run - startOverhead, priority: workload.High}},
		{name: "nothing from dependents that have ended", jobs: []*workload.Job{
			job("b", func(j *workload.Job) { j.Deadline, j.Phase = deadline, workload.Cancelled }, "a"),
		}, want: inheritedUrgency{due: micros.Max}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := newServingCore(t)
			c.catalog.Types()["m"].FetchGBps = 0.5
			for i, j := range append(test.jobs, job("a", asIs)) {
				cacheJob(t, c, j, uint64(100+i))
			}
			p := newPartitionLeader(c, 0, storage.Versioned[storage.PartitionRecord]{ModRevision: 20})
			if got := p.inheritFromDependents("a"); got != test.want {
				t.Errorf("inherited %+v, want %+v", got, test.want)
			}
		})
	}
}
