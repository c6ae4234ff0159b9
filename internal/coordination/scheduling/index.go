// Package scheduling ranks waiting tasks by the Apparent Tardiness Cost index and
// places them into the gaps of machines' timelines.
//
// Equation numbers are those of Shanthini, Kalaikumaran and Karthik, "Hybrid
// Scheduling Model for Independent Grid Tasks" (2015); docs/design.md says what
// was kept and what was changed. Its symbols are, in the names used here:
//
//	w            Weight: what a task's priority makes of its tardiness
//	p            Estimate: a task's processing time
//	p_avg        mean processing time of the tasks that wait
//	d            Due: a task's due date
//	t            now
//	C_max        sum of the processing times of the tasks that wait (equation 6)
//	R            due date range factor (equation 5)
//	K1           look-ahead factor (equation 7)
//	I            Index (equation 4)
//
// All times are microseconds: instants on the controller's steady clock, or spans.
package scheduling

import (
	"math"

	"pipitlatch/internal/micros"
	"pipitlatch/internal/workload"
)

// Weight is w of the index: what a priority makes of tardiness.
func Weight(priority workload.Priority) float64 {
	switch priority {
	case workload.Low:
		return 1
	case workload.Normal:
		return 2
	case workload.High:
		return 4
	case workload.Production:
		return 8
	}
	return 2
}

// LookAhead is the look-ahead factor K1 of equation (7) for the due date range factor R.
func LookAhead(dueDateRange float64) float64 {
	if dueDateRange <= 0.5 {
		return 4.5 + dueDateRange
	}
	return 6 - 2*dueDateRange
}

// Slack is the minimum slack of equation (2), max(d - p - t, 0): how long a task may still
// wait and end by its due date.
func Slack(due, processingTime, now micros.Time) micros.Time {
	return max(due-processingTime-now, 0)
}

// Index is the ranking index I of equation (4), in 1/s: w/p * exp(-slack / (K1 * p_avg)). With
// no slack left it is the weighted shortest processing time of equation (3), w/p.
func Index(
	weight float64, processingTime, due, now micros.Time, lookAhead float64, meanProcessingTime micros.Time,
) float64 {
	slack := micros.Seconds(Slack(due, processingTime, now))
	return weight / micros.Seconds(processingTime) * math.Exp(-slack/(lookAhead*micros.Seconds(meanProcessingTime)))
}

// Tardiness is the weighted tardiness, in seconds, that a task adds to the sum of equation (8)
// when it ends at finish.
func Tardiness(weight float64, finish, due micros.Time) float64 {
	return weight * micros.Seconds(max(0, finish-due))
}

// QueuedJob is what the index needs of the tasks of one job that wait. They share one index.
type QueuedJob struct {
	Weight   float64
	Estimate micros.Time // corrected estimate of one task's processing time
	Due      micros.Time
	Count    int     // tasks that wait
	Index    float64 // set by Rank
}

// Rank sets the index of every job. The due date range factor R is the range of the jobs' due
// dates over C_max, clamped to [0, 1]; p_avg is the mean estimate of the tasks that wait.
func Rank(queue []*QueuedJob, now micros.Time) {
	totalSeconds := 0.0 // C_max
	count := 0
	earliestDue, latestDue := micros.Max, -micros.Max
	for _, q := range queue {
		totalSeconds += micros.Seconds(q.Estimate) * float64(q.Count)
		count += q.Count
		earliestDue, latestDue = min(earliestDue, q.Due), max(latestDue, q.Due)
	}
	if count == 0 {
		return
	}
	dueDateRange := min(1, max(0, micros.Seconds(latestDue-earliestDue)/totalSeconds))
	lookAhead := LookAhead(dueDateRange)
	meanProcessingTime := micros.FromSeconds(totalSeconds / float64(count))
	for _, q := range queue {
		q.Index = Index(q.Weight, q.Estimate, q.Due, now, lookAhead, meanProcessingTime)
	}
}
