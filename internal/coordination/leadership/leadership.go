// Package leadership decides who may do what: which process holds which queue, how
// long a holder may answer without news, and when a predecessor surely cannot.
package leadership

import (
	"slices"

	"pipitlatch/internal/micros"
	"pipitlatch/internal/storage"
)

// Term counts how long a holder may act without news. It runs from the sending
// of the last request that both confirmed the lease and after whose revision
// the change stream was read.
type Term struct {
	Length    micros.Time
	confirmed micros.Time
	known     bool
}

// Confirm notes news sent for at a time.
func (t *Term) Confirm(sent micros.Time) {
	if !t.known || sent > t.confirmed {
		t.confirmed, t.known = sent, true
	}
}

// Valid tells whether the term still runs. Drift of both clocks is in Length.
func (t *Term) Valid(now micros.Time) bool { return t.known && now-t.confirmed < t.Length }

// ConfirmedSince tells whether the last news was sent for after a time: then the lease was
// still ours at that time, and nobody else can have acted under a later one before it.
func (t *Term) ConfirmedSince(at micros.Time) bool { return t.known && t.confirmed > at }

// SinceConfirmed is how long ago the last news was sent for.
func (t *Term) SinceConfirmed(now micros.Time) micros.Time {
	if !t.known {
		return micros.Max
	}
	return now - t.confirmed
}

// Invalidate forgets all news.
func (t *Term) Invalidate() { t.known = false }

// Assignment gives a queue to a process.
type Assignment struct {
	Partition int
	Record    storage.PartitionRecord
}

// Assign is what the leader has to change: every queue without a live holder
// gets one, the live process that reaches most of its machines as far as that is
// known, then the one with the fewest queues, then the leader itself. One to avoid,
// the leader included, gets and keeps none while there is another.
func Assign(r *storage.Cache, queues int, leader storage.Process, avoid func(storage.Process) bool,
	reach func(storage.Process, int) int) []Assignment {
	all := r.LiveMembers()
	if !slices.Contains(all, leader) {
		return nil // our own registration is not in the stream yet
	}
	live := slices.DeleteFunc(slices.Clone(all), avoid)
	if len(live) == 0 {
		live = all
	}
	load := map[storage.Process]int{}
	usable := func(p storage.Process) bool { return slices.Contains(live, p) }
	for n := range queues {
		if q, ok := r.Partitions[n]; ok && usable(q.Value.Leader) {
			load[q.Value.Leader]++
		}
	}
	var out []Assignment
	for n := range queues {
		q, ok := r.Partitions[n]
		if ok && usable(q.Value.Leader) {
			continue
		}
		best := live[0]
		if slices.Contains(live, leader) {
			best = leader
		}
		for _, p := range live {
			if a, b := reach(p, n), reach(best, n); a > b || (a == b && load[p] < load[best]) {
				best = p
			}
		}
		load[best]++
		rec := storage.PartitionRecord{Leader: best}
		if ok {
			for _, p := range append(slices.Clone(q.Value.FormerLeaders), q.Value.Leader) {
				if !r.Dead(p) && p != best && !slices.Contains(rec.FormerLeaders, p) {
					rec.FormerLeaders = append(rec.FormerLeaders, p)
				}
			}
		}
		out = append(out, Assignment{n, rec})
	}
	return out
}
