package clusterleader

import "pipitlatch/internal/micros"

// revisionInterval is how often a revision is dated.
const revisionInterval = 10 * micros.Second

// revisionHistory dates revisions of the store, to tell which are older than a time.
type revisionHistory struct {
	observed []datedRevision // in order
}

// datedRevision is a revision and when it was the last.
type datedRevision struct {
	at       micros.Time
	revision uint64
}

// observe dates the last revision, now and then. Of the revisions older than an age only the
// last is kept.
func (h *revisionHistory) observe(now micros.Time, revision uint64, age micros.Time) {
	if n := len(h.observed); n == 0 || now-h.observed[n-1].at >= revisionInterval {
		h.observed = append(h.observed, datedRevision{now, revision})
	}
	for len(h.observed) > 1 && now-h.observed[1].at > age {
		h.observed = h.observed[1:]
	}
}

// revisionOlderThan is a revision that is older than an age; false if none is known to be.
func (h *revisionHistory) revisionOlderThan(now, age micros.Time) (uint64, bool) {
	if len(h.observed) == 0 || now-h.observed[0].at <= age {
		return 0, false
	}
	return h.observed[0].revision, true
}
