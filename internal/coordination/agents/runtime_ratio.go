package agents

const (
	// minRuntimeSamples is the number of completed tasks required before a machine can be
	// classified as slow.
	minRuntimeSamples = 3
	// maxSlowness is the slowdown relative to its peers beyond which a machine is classified as
	// slow. Healthy machines of one type differ by about 10%, runtime estimates by more.
	maxSlowness = 2.5
	// healthySlowness is the slowdown that healthy machines may show by chance.
	healthySlowness = 1.3
	// maxSampleRatio caps the ratio of a single task: one that hung says little about the next.
	maxSampleRatio = 20
	// priorSamples is the number of samples with a ratio of 1 that every machine starts with, so
	// that its first task alone does not determine the mean.
	priorSamples = 2
)

// RuntimeRatio compares the run times of the tasks completed on a machine with those of the other
// tasks of the same jobs.
type RuntimeRatio struct {
	total   float64
	samples int
}

// Observe adds a completed task: ratio is its run time divided by the mean run time of its job's
// tasks.
func (r *RuntimeRatio) Observe(ratio float64) {
	r.total += min(maxSampleRatio, ratio)
	r.samples++
}

// Slowness returns the slowdown of the machine relative to others, or 1 if it is within the normal
// variation between healthy machines.
func (r *RuntimeRatio) Slowness() float64 {
	mean := (priorSamples + r.total) / float64(priorSamples+r.samples)
	if mean > healthySlowness {
		return mean
	}
	return 1
}

// IsSlow reports whether enough tasks were slow enough that the machine should be replaced.
func (r *RuntimeRatio) IsSlow() bool {
	return r.samples >= minRuntimeSamples && r.Slowness() > maxSlowness
}
