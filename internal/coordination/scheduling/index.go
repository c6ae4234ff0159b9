// Package scheduling ranks waiting tasks by the Apparent Tardiness Cost index and
// places them into the gaps of machines' timelines.
//
// Equation numbers are those of Shanthini, Kalaikumaran and Karthik, "Hybrid
// Scheduling Model for Independent Grid Tasks" (2015); docs/design.md says what
// was kept and what was changed.
package scheduling

import (
	"math"

	"pipitlatch/internal/micros"
	"pipitlatch/internal/workload"
)

// Weight is w of the index: what a priority makes of tardiness.
func Weight(p workload.Priority) float64 {
	switch p {
	case workload.Low:
		return 1
	case workload.High:
		return 4
	case workload.Production:
		return 8
	default:
		return 2
	}
}

// LookAhead is K1 of equation (7) for the due date range factor r.
func LookAhead(r float64) float64 {
	if r <= 0.5 {
		return 4.5 + r
	}
	return 6 - 2*r
}

// Slack is the minimum slack of equation (2).
func Slack(due, p, now micros.Time) micros.Time { return max(due-p-now, 0) }

// Index is the ranking index of equation (4).
func Index(w float64, p, due, now micros.Time, k1 float64, avg micros.Time) float64 {
	return w / micros.Seconds(p) * math.Exp(-micros.Seconds(Slack(due, p, now))/(k1*micros.Seconds(avg)))
}

// Tardiness is the weighted tardiness that a task adds to equation (8) when it
// ends at finish.
func Tardiness(w float64, finish, due micros.Time) float64 {
	return w * micros.Seconds(max(0, finish-due))
}

// Queued is what the index needs of the tasks of one job that wait.
type Queued struct {
	Weight   float64
	Estimate micros.Time // corrected estimate of one task
	Due      micros.Time
	Count    int
	Index    float64 // set by Rank
}

// Rank sets the index of every entry: the due date range factor is taken over
// the entries (equation 5, with the sum of process times of equation 6), p_avg
// is the mean estimate of the queued tasks.
func Rank(queue []*Queued, now micros.Time) {
	var sum float64
	count := 0
	lo, hi := micros.Max, -micros.Max
	for _, q := range queue {
		sum += micros.Seconds(q.Estimate) * float64(q.Count)
		count += q.Count
		lo, hi = min(lo, q.Due), max(hi, q.Due)
	}
	if count == 0 {
		return
	}
	r := min(1, max(0, micros.Seconds(hi-lo)/sum))
	k1 := LookAhead(r)
	avg := micros.FromSeconds(sum / float64(count))
	for _, q := range queue {
		q.Index = Index(q.Weight, q.Estimate, q.Due, now, k1, avg)
	}
}
