package provisioning

import "pipitlatch/internal/micros"

const (
	// minBackoff and maxBackoff bound the exponential backoff after the cloud reported
	// insufficient capacity for a kind.
	minBackoff = 4 * micros.Second
	maxBackoff = 16 * micros.Second
	// probeCount is the number of instances that may be requested after the backoff. It is small so
	// that little demand counts as served by a kind that is most likely still exhausted.
	probeCount = 4
	// Unlimited is the limit of a kind that is not exhausted.
	Unlimited = 1 << 30
)

// CapacityTracker tracks the instance kinds that the cloud has run out of. Of an exhausted kind,
// only the instances terminated since are known to be available; if there are none, a few are
// requested after each backoff as a probe.
type CapacityTracker struct {
	retryAt   map[InstanceKind]micros.Time
	backoff   map[InstanceKind]micros.Time
	available map[InstanceKind]int // exhausted kinds only; other kinds are unlimited
}

// NewCapacityTracker returns a tracker without exhausted kinds.
func NewCapacityTracker() *CapacityTracker {
	return &CapacityTracker{
		retryAt:   map[InstanceKind]micros.Time{},
		backoff:   map[InstanceKind]micros.Time{},
		available: map[InstanceKind]int{},
	}
}

// Exhausted records that the cloud had insufficient capacity for the kind.
func (t *CapacityTracker) Exhausted(kind InstanceKind, now micros.Time) {
	t.backoff[kind] = min(maxBackoff, max(minBackoff, 2*t.backoff[kind]))
	t.retryAt[kind] = now + t.backoff[kind]
	t.available[kind] = 0
}

// Granted records that the cloud granted a request for count instances in full.
func (t *CapacityTracker) Granted(kind InstanceKind, count int) {
	delete(t.backoff, kind)
	if available, ok := t.available[kind]; ok && available > count {
		t.available[kind] = available - count
	} else {
		delete(t.available, kind)
	}
}

// Terminated records the termination of an instance of the kind, which makes one more available.
func (t *CapacityTracker) Terminated(kind InstanceKind) {
	if available, ok := t.available[kind]; ok {
		t.available[kind] = available + 1
	}
}

// Limit returns how many instances of the kind may be requested now.
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
