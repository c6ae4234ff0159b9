package provisioning

import (
	"cmp"
	"slices"

	"pipitlatch/internal/micros"
)

const (
	// terminatedNoticeTTL is how long peers are sent that an instance is gone.
	terminatedNoticeTTL = 10 * micros.Second
	// maxTerminatedNotices bounds the instances in one message. The blocks' records tell as well.
	maxTerminatedNotices = 1000
	// terminatedTTL is how long an instance that is gone is remembered after its record went:
	// late copies of its heartbeats, and lists, may still show it.
	terminatedTTL = 300 * micros.Second
)

// TerminatedInstances remembers the instances that are surely gone.
type TerminatedInstances struct {
	confirmedAt map[string]micros.Time
}

// NewTerminatedInstances remembers nothing yet.
func NewTerminatedInstances() *TerminatedInstances {
	return &TerminatedInstances{confirmedAt: map[string]micros.Time{}}
}

// Reset forgets all instances, as a new cluster leader begins.
func (t *TerminatedInstances) Reset() { clear(t.confirmedAt) }

// Confirm notes proof that an instance is gone.
func (t *TerminatedInstances) Confirm(name string, now micros.Time) { t.confirmedAt[name] = now }

// Contains tells whether the instance is surely gone.
func (t *TerminatedInstances) Contains(name string) bool {
	_, gone := t.confirmedAt[name]
	return gone
}

// Recent are the instances that peers are to be sent, the latest first where one message has
// no space for all.
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

// Recorded are the instances that a block's record still has, by block and in order of their
// names. Of the others those that went long ago are forgotten.
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

// AbsentInstances remembers since when instances of the records are not in the cloud's list.
// The list lags, so absence from one proves nothing.
type AbsentInstances struct {
	since map[string]micros.Time
}

// NewAbsentInstances remembers nothing yet.
func NewAbsentInstances() *AbsentInstances {
	return &AbsentInstances{since: map[string]micros.Time{}}
}

// Reset forgets all instances, as a new cluster leader begins.
func (a *AbsentInstances) Reset() { clear(a.since) }

// Observe takes a whole list, and returns the recorded instances that have been absent for
// longer than the timeout, in order of their names. Their time begins anew.
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
