package agents

const (
	// minRuntimeSamples is how many tasks must have completed before a machine is judged.
	minRuntimeSamples = 3
	// maxSlowness is how much slower than its peers a machine may be: sound ones of a type
	// differ by a tenth, estimates by more.
	maxSlowness = 2.5
	// soundSlowness is how much slower sound machines may be by chance.
	soundSlowness = 1.3
	// maxRatio bounds what one task counts: one that was stuck says little of the next.
	maxRatio = 20
	// priorSamples is how many tasks as fast as elsewhere a new machine is taken to have run,
	// so that its first task does not decide alone.
	priorSamples = 2
)

// RuntimeRatio compares the run times of a machine's completed tasks with those of the other
// tasks of their jobs.
type RuntimeRatio struct {
	total   float64
	samples int
}

// Observe notes by which factor a completed task took longer than those of its job did on
// average.
func (r *RuntimeRatio) Observe(ratio float64) {
	r.total += min(maxRatio, ratio)
	r.samples++
}

// Slowness returns by which factor the machine is slower than others; what lies within the
// spread of sound machines counts as none.
func (r *RuntimeRatio) Slowness() float64 {
	mean := (priorSamples + r.total) / float64(priorSamples+r.samples)
	if mean > soundSlowness {
		return mean
	}
	return 1
}

// IsSlow tells whether so many tasks took so much longer than elsewhere that the machine is to
// be replaced.
func (r *RuntimeRatio) IsSlow() bool {
	return r.samples >= minRuntimeSamples && r.Slowness() > maxSlowness
}
