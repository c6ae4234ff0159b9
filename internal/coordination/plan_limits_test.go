package coordination

import (
	"slices"
	"testing"

	"pipitlatch/internal/workload"
)

// namedJobs returns ranked jobs with the given ids.
func namedJobs(ids ...string) []rankedJob {
	var jobs []rankedJob
	for _, id := range ids {
		jobs = append(jobs, rankedJob{job: &job{Job: &workload.Job{ID: id}}})
	}
	return jobs
}

// TestRoundRobin checks that a pass begins where the last one ended early, and else at the first job.
func TestRoundRobin(t *testing.T) {
	var turns roundRobin[rankedJob]
	for _, c := range []struct {
		name  string
		jobs  []rankedJob
		limit int
		want  []string
	}{
		{"the first pass begins at the first job", namedJobs("a", "b", "c", "d"), 3, []string{"a", "b", "c"}},
		{"the second one where it ended", namedJobs("a", "b", "c", "d"), 3, []string{"d", "a", "b"}},
		{"in the order of the new pass", namedJobs("d", "c", "b", "a"), 1, []string{"c"}},
		{"at the first job if that job is gone", namedJobs("a", "d"), 1, []string{"a"}},
		{"all jobs are visited once", namedJobs("a", "d"), 5, []string{"d", "a"}},
		{"after a whole pass at the first job", namedJobs("a", "d"), 5, []string{"a", "d"}},
		{"no jobs", nil, 5, nil},
	} {
		t.Run(c.name, func(t *testing.T) {
			var got []string
			turns.visit(c.jobs, func(r rankedJob) bool {
				if len(got) == c.limit {
					return false
				}
				got = append(got, r.job.ID)
				return true
			})
			if !slices.Equal(got, c.want) {
				t.Errorf("visited %v, want %v", got, c.want)
			}
		})
	}
}
