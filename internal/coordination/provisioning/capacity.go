package provisioning

import "pipitlatch/internal/micros"

const (
	// minBackoff and maxBackoff bound the wait after the cloud had too few of a kind; it
	// doubles each further time.
	minBackoff = 4 * micros.Second
	maxBackoff = 16 * micros.Second
	// probeCount is how many instances are requested after the wait: it must not look as if
	// the need were served by a kind that is most likely still exhausted.
	probeCount = 4
	// Unlimited is the limit of a kind that the cloud has not run out of.
	Unlimited = 1 << 30
)

// CapacityTracker remembers which kinds of instances the cloud has run out of. Of such a kind
// only what was terminated since is known to be available; beyond that a few are requested
// now and then.
type CapacityTracker struct {
	retryAt   map[InstanceKind]micros.Time
	backoff   map[InstanceKind]micros.Time
	available map[InstanceKind]int // of the exhausted kinds, those not in it are unlimited
}

// NewCapacityTracker is a tracker to which no kind is exhausted.
func NewCapacityTracker() *CapacityTracker {
	return &CapacityTracker{
		retryAt:   map[InstanceKind]micros.Time{},
		backoff:   map[InstanceKind]micros.Time{},
		available: map[InstanceKind]int{},
	}
}

// Exhausted notes that the cloud had too few of the kind.
func (t *CapacityTracker) Exhausted(kind InstanceKind, now micros.Time) {
	t.backoff[kind] = min(maxBackoff, max(minBackoff, 2*t.backoff[kind]))
	t.retryAt[kind] = now + t.backoff[kind]
	t.available[kind] = 0
}

// Granted notes that the cloud had as many as were requested.
func (t *CapacityTracker) Granted(kind InstanceKind, count int) {
	delete(t.backoff, kind)
	if available, ok := t.available[kind]; ok && available > count {
		t.available[kind] = available - count
	} else {
		delete(t.available, kind)
	}
}

// Terminated notes that an instance of the kind is gone: the cloud has one more of it.
func (t *CapacityTracker) Terminated(kind InstanceKind) {
	if available, ok := t.available[kind]; ok {
		t.available[kind] = available + 1
	}
}

// Limit is how many instances of the kind may be requested now.
func (t *CapacityTracker) Limit(kind InstanceKind, now micros.Time) int {
	available, exhausted := t.available[kind]
	switch {
	case !exhausted:
		return Unlimited
	case available == 0 && now >= t.retryAt[kind]:
		return probeCount
	}
	return available
}
