package clusterleader

import "pipitlatch/internal/micros"

// revisionInterval is the minimum interval between recorded revisions.
const revisionInterval = 10 * micros.Second

// revisionHistory records when the store had which revision, to find revisions of a minimum age.
type revisionHistory struct {
	observed []datedRevision // oldest first
}

// datedRevision is a revision and a time at which it was the latest.
type datedRevision struct {
	at       micros.Time
	revision uint64
}

// observe records the latest revision once per revisionInterval. Of the revisions older than an age,
// only the latest is kept.
func (h *revisionHistory) observe(now micros.Time, revision uint64, age micros.Time) {
	if n := len(h.observed); n == 0 || now-h.observed[n-1].at >= revisionInterval {
		h.observed = append(h.observed, datedRevision{now, revision})
	}
	for len(h.observed) > 1 && now-h.observed[1].at > age {
		h.observed = h.observed[1:]
	}
}

// revisionOlderThan returns a revision that is older than an age, or false if none is known.
func (h *revisionHistory) revisionOlderThan(now, age micros.Time) (uint64, bool) {
	if len(h.observed) == 0 || now-h.observed[0].at <= age {
		return 0, false
	}
	return h.observed[0].revision, true
}
