package coordination

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
)

// identified is an element of the list that roundRobin visits.
type identified interface{ jobID() string }

func (r rankedJob) jobID() string { return r.job.ID }

// roundRobin visits jobs in successive planning passes so that a limit on the work of a pass keeps none of
// them waiting for good: after a pass that was ended early, the next one begins where it ended.
type roundRobin[T identified] struct {
	next string // id of the job at which the next pass begins; empty: the first one
}

// visit passes the jobs to do until it returns false, which means that the job was not visited.
func (r *roundRobin[T]) visit(jobs []T, do func(T) bool) {
	first := 0
	for i, j := range jobs {
		if j.jobID() == r.next {
			first = i
		}
	}
	r.reset()
	for i := range jobs {
		j := jobs[(first+i)%len(jobs)]
		if !do(j) {
			r.next = j.jobID()
			return
		}
	}
}

// reset lets the next pass begin at the first job.
func (r *roundRobin[T]) reset() { r.next = "" }
