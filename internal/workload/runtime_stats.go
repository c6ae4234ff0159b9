package workload

import (
	"github.com/HdrHistogram/hdrhistogram-go"

	"pipitlatch/internal/micros"
)

// RuntimeStats corrects owners' estimates by observed run times. Estimates are
// often wrong, by a common factor on some days, so what is kept of each class
// is the distribution of observed time over estimate.
type RuntimeStats struct {
	classes map[string]*hdrhistogram.Histogram
}

// minObservations observations to trust the median more than the owner.
const minObservations = 8

// ratioUnit is the fixed-point unit of a ratio in the histograms.
const ratioUnit = 1000

// NewRuntimeStats knows nothing yet.
func NewRuntimeStats() *RuntimeStats {
	return &RuntimeStats{classes: map[string]*hdrhistogram.Histogram{}}
}

// Observe records that a task of the class ran for took against its estimate.
func (r *RuntimeStats) Observe(class string, estimate, took micros.Time) {
	if estimate <= 0 || took <= 0 {
		return
	}
	h := r.classes[class]
	if h == nil {
		if len(r.classes) >= 256 { // classes come from users: bounded
			return
		}
		h = hdrhistogram.New(1, 1000*ratioUnit, 2)
		r.classes[class] = h
	}
	_ = h.RecordValue(min(1000*ratioUnit, max(1, took*ratioUnit/estimate))) // clamped to the range above
}

// CorrectionFactor is what estimates of the class have to be multiplied with.
func (r *RuntimeStats) CorrectionFactor(class string) float64 {
	h := r.classes[class]
	if h == nil || h.TotalCount() < minObservations {
		return 1
	}
	return float64(h.ValueAtQuantile(50)) / ratioUnit
}

// Estimate is the estimate after correction.
func (r *RuntimeStats) Estimate(j *Job) micros.Time {
	return max(micros.Millisecond, micros.Time(float64(j.Estimate)*r.CorrectionFactor(j.Class)))
}

// TailRatio is how much longer than the corrected estimate a task of the class takes
// that is longer than nine in ten.
func (r *RuntimeStats) TailRatio(class string) float64 {
	h := r.classes[class]
	if h == nil || h.TotalCount() < minObservations {
		return 1
	}
	return max(1, float64(h.ValueAtQuantile(90))/max(1, float64(h.ValueAtQuantile(50))))
}
