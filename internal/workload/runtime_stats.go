package workload

import (
	"github.com/HdrHistogram/hdrhistogram-go"

	"pipitlatch/internal/micros"
)

// RuntimeStats corrects users' run-time estimates by observed run times. Estimates are often wrong,
// on some days by a common factor, so it keeps for each job class the distribution of the ratio of
// observed to estimated run time.
type RuntimeStats struct {
	ratios map[string]*hdrhistogram.Histogram // by class, in units of ratioUnit
}

const (
	// minObservations is the number of observations from which on estimates are corrected by the
	// median ratio.
	minObservations = 8
	// maxClasses bounds the number of classes with statistics, because users choose class names
	// freely.
	maxClasses = 256
	// maxRatio is the largest ratio recorded; larger ones are clamped to it.
	maxRatio = 1000
	// significantDigits is the precision of the histograms, in decimal digits.
	significantDigits = 2
)

// ratioUnit is the fixed-point unit of a ratio in the histograms.
const ratioUnit = 1000

// NewRuntimeStats returns statistics without observations.
func NewRuntimeStats() *RuntimeStats {
	return &RuntimeStats{ratios: map[string]*hdrhistogram.Histogram{}}
}

// Observe records the actual run time of a task of the class and its estimate.
func (r *RuntimeStats) Observe(class string, estimate, took micros.Time) {
	if estimate <= 0 || took <= 0 {
		return
	}
	h := r.ratios[class]
	if h == nil {
		if len(r.ratios) >= maxClasses {
			return
		}
		h = hdrhistogram.New(1, maxRatio*ratioUnit, significantDigits)
		r.ratios[class] = h
	}
	ratio := min(maxRatio*ratioUnit, max(1, took*ratioUnit/estimate))
	_ = h.RecordValue(ratio) // fails only for values out of range
}

// CorrectionFactor returns the factor by which estimates of the class are multiplied.
func (r *RuntimeStats) CorrectionFactor(class string) float64 {
	h := r.ratios[class]
	if h == nil || h.TotalCount() < minObservations {
		return 1
	}
	return float64(h.ValueAtQuantile(50)) / ratioUnit
}

// Estimate returns the corrected run-time estimate of the job, at least one millisecond.
func (r *RuntimeStats) Estimate(j *Job) micros.Time {
	return max(micros.Millisecond, micros.Time(float64(j.Estimate)*r.CorrectionFactor(j.Class)))
}

// TailRatio returns the ratio of the 90th percentile to the median of the class: how much longer
// than the corrected estimate a task takes that is slower than nine in ten.
func (r *RuntimeStats) TailRatio(class string) float64 {
	h := r.ratios[class]
	if h == nil || h.TotalCount() < minObservations {
		return 1
	}
	return max(1, float64(h.ValueAtQuantile(90))/max(1, float64(h.ValueAtQuantile(50))))
}
