// Package scheduling ranks queued tasks by the Apparent Tardiness Cost (ATC) index and places
// them into gaps in the machines' timelines.
//
// Equation numbers refer to Shanthini, Kalaikumaran and Karthik, "Hybrid Scheduling Model for
// Independent Grid Tasks" (2015); docs/design.md describes the deviations from it. The symbols of
// the paper correspond to these names:
//
//	w            Weight: weight of a task's tardiness, derived from its priority
//	p            Estimate: estimated processing time of a task
//	p_avg        mean processing time of the queued tasks
//	d            Due: due date of a task
//	t            now
//	C_max        sum of the processing times of the queued tasks (equation 6)
//	R            due date range factor (equation 5)
//	K1           look-ahead factor (equation 7)
//	I            Index (equation 4)
//
// All times are in microseconds, either instants on the controller's monotonic clock or durations.
package scheduling

import (
	"math"

	"pipitlatch/internal/micros"
	"pipitlatch/internal/workload"
)

// Weight returns the tardiness weight w of a priority.
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

// LookAhead returns the look-ahead factor K1 (equation 7) for the due date range factor R.
func LookAhead(dueDateRange float64) float64 {
	if dueDateRange <= 0.5 {
		return 4.5 + dueDateRange
	}
	return 6 - 2*dueDateRange
}

// Slack returns the slack of equation (2), max(d - p - t, 0): how long the start of a task can be
// delayed without missing its due date.
func Slack(due, processingTime, now micros.Time) micros.Time {
	return max(due-processingTime-now, 0)
}

// Index returns the ranking index I of equation (4), w/p * exp(-slack / (K1 * p_avg)), in 1/s.
// Without slack it equals w/p, the weighted shortest processing time (WSPT) rule of equation (3).
func Index(
	weight float64, processingTime, due, now micros.Time, lookAhead float64, meanProcessingTime micros.Time,
) float64 {
	slack := micros.Seconds(Slack(due, processingTime, now))
	return weight / micros.Seconds(processingTime) * math.Exp(-slack/(lookAhead*micros.Seconds(meanProcessingTime)))
}

// Tardiness returns the weighted tardiness in seconds that a task ending at finish contributes to
// the sum of equation (8).
func Tardiness(weight float64, finish, due micros.Time) float64 {
	return weight * micros.Seconds(max(0, finish-due))
}

// QueuedJob describes the queued tasks of one job, all of which have the same index.
type QueuedJob struct {
	Weight   float64
	Estimate micros.Time // corrected estimate of one task's processing time
	Due      micros.Time
	Count    int     // queued tasks
	Index    float64 // set by Rank
}

// Rank sets the index of every job. The due date range factor R is the range of the jobs' due
// dates divided by C_max, clamped to [0, 1]; p_avg is the mean estimate of the queued tasks.
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
