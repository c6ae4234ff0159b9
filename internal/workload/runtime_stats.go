package workload

import (
	"github.com/HdrHistogram/hdrhistogram-go"

	"pipitlatch/internal/micros"
)

// RuntimeStats corrects the estimates of jobs' owners by observed run times. Estimates are often
// wrong, by a common factor on some days, so what is kept of each class of jobs is the distribution
// of observed time over estimate.
type RuntimeStats struct {
	ratios map[string]*hdrhistogram.Histogram // by class, in units of ratioUnit
}

const (
	// minObservations is from how many observations on the median is trusted more than the owner.
	minObservations = 8
	// maxClasses bounds the classes with statistics of their own: users name them.
	maxClasses = 256
	// maxRatio is the largest ratio that is told apart.
	maxRatio = 1000
	// significantDigits is the precision of the histograms.
	significantDigits = 2
)

// ratioUnit is the fixed-point unit of a ratio in the histograms.
const ratioUnit = 1000

// NewRuntimeStats returns statistics without observations.
func NewRuntimeStats() *RuntimeStats {
	return &RuntimeStats{ratios: map[string]*hdrhistogram.Histogram{}}
}

// Observe records that a task of the class ran for took against its estimate.
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
	_ = h.RecordValue(ratio) // it fails for values out of the range only
}

// CorrectionFactor is what estimates of the class have to be multiplied with.
func (r *RuntimeStats) CorrectionFactor(class string) float64 {
	h := r.ratios[class]
	if h == nil || h.TotalCount() < minObservations {
		return 1
	}
	return float64(h.ValueAtQuantile(50)) / ratioUnit
}

// Estimate is the estimate of the job's owner after correction.
func (r *RuntimeStats) Estimate(j *Job) micros.Time {
	return max(micros.Millisecond, micros.Time(float64(j.Estimate)*r.CorrectionFactor(j.Class)))
}

// TailRatio is how much longer than the corrected estimate a task takes that is slower than nine
// in ten of its class: the 90th percentile over the median.
func (r *RuntimeStats) TailRatio(class string) float64 {
	h := r.ratios[class]
	if h == nil || h.TotalCount() < minObservations {
		return 1
	}
	return max(1, float64(h.ValueAtQuantile(90))/max(1, float64(h.ValueAtQuantile(50))))
}
