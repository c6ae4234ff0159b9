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

// job is an active job of the partition with its scheduling state.
type job struct {
	*workload.Job
	modRevision       uint64
	record            *storage.JobEntry
	pendingTasks      *workload.Bitmap
	activeAttempts    map[int]*attempt      // by task
	attempts          map[*attempt]struct{} // all that agents may still report, including exited ones
	duplicateAttempts []*attempt            // further attempts at tasks that have an active one; being stopped
	completion        completionState
	runtime           jobRuntime

	startsPausedUntil      micros.Time
	readySince             micros.Time // time of day since which its tasks can start
	blockedByDependencies  bool
	cancelRequested        bool             // a peer reported its cancellation: no task starts any more
	plannedWithinGuarantee bool             // it was within its team's guaranteed quota in some planning pass
	preemptedOnce          *workload.Bitmap // tasks already preempted for an objective; not preempted for one again
}

// jobRuntime holds the observed run times of the job's tasks, and the estimate derived from them.
type jobRuntime struct {
	total       micros.Time // sum of the run times of completed tasks
	samples     int
	estimate    micros.Time // of one task, as of estimatedAt
	estimatedAt micros.Time
}

// newJob returns the active job of a record. All tasks that are not stored as completed are pending.
// A job with dependencies is blocked until they have been checked.
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

// taskCompleted reports whether a task is completed, even if that is not stored yet.
func (j *job) taskCompleted(task int) bool {
	return j.completion.taskCompleted(task, j.record.Completed)
}

// completedCount returns the number of completed tasks, including those not stored as such yet.
func (j *job) completedCount() int { return j.completion.count(j.record.Completed) }

// runningCount returns the number of tasks that are running or saving a checkpoint.
func (j *job) runningCount() int {
	running := 0
	for _, a := range j.activeAttempts {
		if a.state == messages.Running || a.state == messages.Checkpointing {
			running++
		}
	}
	return running
}

// sortedAttempts returns the job's attempts sorted by machine and ID, so that runs are reproducible.
func (j *job) sortedAttempts() []*attempt {
	attempts := slices.Collect(maps.Keys(j.attempts))
	slices.SortFunc(attempts, func(a, b *attempt) int {
		return cmp.Or(cmp.Compare(a.machine.id, b.machine.id), a.id.Compare(b.id))
	})
	return attempts
}
