package bookkeeping

import (
	"github.com/HdrHistogram/hdrhistogram-go"

	"pipitlatch/internal/micros"
)

// RunTimes corrects owners' estimates by observed run times. Estimates are
// often wrong, by a common factor on some days, so what is kept of each class
// is the distribution of observed time over estimate.
type RunTimes struct {
	classes map[string]*hdrhistogram.Histogram
}

// enough observations to trust the median more than the owner.
const enough = 8

// ratioUnit is the fixed-point unit of a ratio in the histograms.
const ratioUnit = 1000

// NewRunTimes knows nothing yet.
func NewRunTimes() *RunTimes {
	return &RunTimes{classes: map[string]*hdrhistogram.Histogram{}}
}

// Observe records that a task of the class ran for took against its estimate.
func (r *RunTimes) Observe(class string, estimate, took micros.Time) {
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

// Factor is what estimates of the class have to be multiplied with.
func (r *RunTimes) Factor(class string) float64 {
	h := r.classes[class]
	if h == nil || h.TotalCount() < enough {
		return 1
	}
	return float64(h.ValueAtQuantile(50)) / ratioUnit
}

// Corrected is the estimate after correction.
func (r *RunTimes) Corrected(j *Job) micros.Time {
	return max(micros.Millisecond, micros.Time(float64(j.Estimate)*r.Factor(j.Class)))
}

// Spread is how much longer than the corrected estimate a task of the class takes
// that is longer than nine in ten.
func (r *RunTimes) Spread(class string) float64 {
	h := r.classes[class]
	if h == nil || h.TotalCount() < enough {
		return 1
	}
	return max(1, float64(h.ValueAtQuantile(90))/max(1, float64(h.ValueAtQuantile(50))))
}
