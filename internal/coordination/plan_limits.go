package coordination

import "slices"

// Limits on the work of one planning pass, so that its duration depends neither on how many jobs wait nor
// on how many tasks they have. A job that a limit leaves out must not wait for the jobs before it
// for good: see startLeftOut and roundRobin.
const (
	// maxTasksPerPlan limits how many array tasks are placed in their order, those that start and those
	// that get a later slot.
	maxTasksPerPlan = 2000
	// maxLeftOutStarts limits how many more array tasks start where there is room now.
	maxLeftOutStarts = 2000
	// maxSearchesPerPlan limits the machines examined for arrays, summed over the arrays. It applies
	// to each of the three rounds of a pass: long waiting arrays, the order, and what that left out.
	maxSearchesPerPlan = 400_000
	// maxObjectiveSearchesPerPlan limits the machines examined for work to stop for arrays that would miss an
	// objective, summed over the arrays.
	maxObjectiveSearchesPerPlan = 400_000
	// maxReplicasPerPlan limits how many service replicas are placed, those that start and those that get a
	// later slot.
	maxReplicasPerPlan = 2000
	// maxServiceSearchesPerPlan limits the machines examined for services, summed over the services. It
	// is larger than that for arrays, since a lost zone may leave as many services as machines waiting.
	maxServiceSearchesPerPlan = 2_000_000
	// maxPreemptionSearchesPerPlan limits the machines examined for work to stop for service replicas, summed
	// over the replicas. One such search takes longer than one for a slot.
	maxPreemptionSearchesPerPlan = 400_000
)

// identified is an element of the list that roundRobin visits.
type identified interface{ jobID() string }

func (r rankedJob) jobID() string { return r.job.ID }

// roundRobin visits jobs in successive planning passes so that a limit on the work of a pass keeps none of
// them waiting for good: the next pass begins at the first job for which a limit left nothing.
type roundRobin[T identified] struct {
	next string // id of the job at which the next pass begins; empty: the first one
}

// visit passes the jobs to do until it returns false, which means that the job was not visited.
func (r *roundRobin[T]) visit(jobs []T, do func(T) bool) {
	first := max(0, slices.IndexFunc(jobs, func(j T) bool { return j.jobID() == r.next }))
	r.reset()
	for i := range jobs {
		j := jobs[(first+i)%len(jobs)]
		if !do(j) {
			r.continueAt(j.jobID())
			return
		}
	}
}

// continueAt lets the next pass begin at a job, unless it is to begin at another already.
func (r *roundRobin[T]) continueAt(id string) {
	if r.next == "" {
		r.next = id
	}
}

// reset lets the next pass begin at the first job.
func (r *roundRobin[T]) reset() { r.next = "" }
