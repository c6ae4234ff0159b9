package provisioning

import (
	"cmp"
	"slices"

	"pipitlatch/internal/micros"
)

const (
	// terminatedNoticeTTL is how long peers are notified of a terminated instance.
	terminatedNoticeTTL = 10 * micros.Second
	// maxTerminatedNotices limits the instances in one message. Peers also learn of terminations
	// from the block records.
	maxTerminatedNotices = 1000
	// terminatedTTL is how long after its confirmation a terminated instance without a record is
	// remembered: delayed duplicates of its heartbeats and instance lists may still show it.
	terminatedTTL = 300 * micros.Second
)

// TerminatedInstances tracks the instances whose termination is confirmed.
type TerminatedInstances struct {
	confirmedAt map[string]micros.Time
}

// NewTerminatedInstances returns an empty TerminatedInstances.
func NewTerminatedInstances() *TerminatedInstances {
	return &TerminatedInstances{confirmedAt: map[string]micros.Time{}}
}

// Reset removes all instances; a new cluster leader starts with none.
func (t *TerminatedInstances) Reset() { clear(t.confirmedAt) }

// Confirm records that the termination of an instance is confirmed.
func (t *TerminatedInstances) Confirm(name string, now micros.Time) { t.confirmedAt[name] = now }

// Contains reports whether the termination of the instance is confirmed.
func (t *TerminatedInstances) Contains(name string) bool {
	_, gone := t.confirmedAt[name]
	return gone
}

// Recent returns the instances of which peers are to be notified, the most recent first, up to the
// limit of one message.
func (t *TerminatedInstances) Recent(now micros.Time) []string {
	var recent []string
	for name, at := range t.confirmedAt {
		if now-at < terminatedNoticeTTL {
			recent = append(recent, name)
		}
	}
	slices.SortFunc(recent, func(a, b string) int {
		return cmp.Or(cmp.Compare(t.confirmedAt[b], t.confirmedAt[a]), cmp.Compare(a, b))
	})
	return recent[:min(len(recent), maxTerminatedNotices)]
}

// Recorded returns the instances that are still in the record of a block, grouped by block and
// sorted by name. It removes instances without a record after terminatedTTL.
func (t *TerminatedInstances) Recorded(now micros.Time, blockOf func(name string) (string, bool)) map[string][]string {
	recorded := map[string][]string{}
	for name, at := range t.confirmedAt {
		if block, ok := blockOf(name); ok {
			recorded[block] = append(recorded[block], name)
		} else if now-at > terminatedTTL {
			delete(t.confirmedAt, name)
		}
	}
	for _, names := range recorded {
		slices.Sort(names)
	}
	return recorded
}

// AbsentInstances tracks since when recorded instances have been missing from the cloud's instance
// list. The list is eventually consistent, so absence from a single list is no proof of termination.
type AbsentInstances struct {
	since map[string]micros.Time
}

// NewAbsentInstances returns an empty AbsentInstances.
func NewAbsentInstances() *AbsentInstances {
	return &AbsentInstances{since: map[string]micros.Time{}}
}

// Reset removes all instances; a new cluster leader starts with none.
func (a *AbsentInstances) Reset() { clear(a.since) }

// Observe processes a complete instance list and returns, sorted by name, the recorded instances
// that have been absent for longer than the timeout. The timers of the returned instances restart
// when they are next observed absent.
func (a *AbsentInstances) Observe(now, timeout micros.Time, listed map[string]bool, recorded []string) []string {
	absent := map[string]micros.Time{}
	var overdue []string
	for _, name := range slices.Sorted(slices.Values(recorded)) {
		if listed[name] {
			continue
		}
		since, known := a.since[name]
		switch {
		case !known:
			absent[name] = now
		case now-since > timeout:
			overdue = append(overdue, name)
		default:
			absent[name] = since
		}
	}
	a.since = absent
	return overdue
}
