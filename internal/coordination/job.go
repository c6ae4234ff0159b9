package coordination

import (
	"cmp"
	"maps"
	"slices"

	"pipitlatch/internal/coordination/messages"
	"pipitlatch/internal/micros"
	"pipitlatch/internal/storage"
	"pipitlatch/internal/workload"
)

// job is an active job of the partition.
type job struct {
	*workload.Job
	modRevision       uint64
	record            *storage.JobEntry
	pendingTasks      *workload.Bitmap
	activeAttempts    map[int]*attempt      // by task
	attempts          map[*attempt]struct{} // all that agents may still show, exited ones included
	duplicateAttempts []*attempt            // second attempts at an active task, being stopped
	completion        completionState
	runtime           jobRuntime

	startsPausedUntil      micros.Time
	readySince             micros.Time // time of day since which its tasks may start
	blockedByDependencies  bool
	cancelRequested        bool             // a peer knows it to be cancelled: none of its tasks starts any more
	plannedWithinGuarantee bool             // it was within its team's guaranteed quota when it was planned
	preemptedOnce          *workload.Bitmap // tasks that were preempted once, and are not preempted again
}

// jobRuntime is what is known of the run time of the job's tasks.
type jobRuntime struct {
	total       micros.Time // run times of its completed tasks, added up
	samples     int
	estimate    micros.Time // of a task, as of estimatedAt
	estimatedAt micros.Time
}

// newJob is an active job as its record tells it: all tasks that are not stored as completed are
// pending. Whether its dependencies are done is still to be found out.
func newJob(record *storage.JobEntry) *job {
	tasks := record.Job.Tasks
	j := &job{
		Job:            record.Job,
		modRevision:    record.ModRevision,
		record:         record,
		pendingTasks:   workload.NewBitmap(tasks),
		activeAttempts: map[int]*attempt{},
		attempts:       map[*attempt]struct{}{},
		completion:     newCompletionState(tasks),
		preemptedOnce:  workload.NewBitmap(tasks),
	}
	for t := range tasks {
		if !j.taskCompleted(t) {
			j.pendingTasks.Add(t)
		}
	}
	j.readySince = j.Submitted
	j.blockedByDependencies = j.HasDependencies()
	return j
}

// taskCompleted tells whether a task is completed, stored or not.
func (j *job) taskCompleted(task int) bool {
	return j.completion.taskCompleted(task, j.record.Completed)
}

// completedCount is how many tasks are completed, stored or not.
func (j *job) completedCount() int { return j.completion.count(j.record.Completed) }

// runningCount is how many tasks run now.
func (j *job) runningCount() int {
	running := 0
	for _, a := range j.activeAttempts {
		if a.state == messages.Running || a.state == messages.Checkpointing {
			running++
		}
	}
	return running
}

// sortedAttempts are the job's attempts by machine, so that a run can be repeated.
func (j *job) sortedAttempts() []*attempt {
	attempts := slices.Collect(maps.Keys(j.attempts))
	slices.SortFunc(attempts, func(a, b *attempt) int {
		return cmp.Or(cmp.Compare(a.machine.id, b.machine.id), a.id.Compare(b.id))
	})
	return attempts
}
