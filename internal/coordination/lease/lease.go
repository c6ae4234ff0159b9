// Package lease decides who may do what: which process holds which queue, how
// long a holder may answer without news, and when a predecessor surely cannot.
package lease

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

// Age is how long ago the last news was sent for.
func (t *Term) Age(now micros.Time) micros.Time {
	if !t.known {
		return micros.Max
	}
	return now - t.confirmed
}

// Lapse forgets all news.
func (t *Term) Lapse() { t.known = false }

// Assignment gives a queue to a process.
type Assignment struct {
	Queue  int
	Record storage.QueueRecord
}

// Assign is what the leader has to change: every queue without a live holder
// gets one, the live process that reaches most of its machines as far as that is
// known, then the one with the fewest queues, then the leader itself. One to avoid,
// the leader included, gets and keeps none while there is another.
func Assign(r *storage.Replica, queues int, leader storage.Process, avoid func(storage.Process) bool,
	reach func(storage.Process, int) int) []Assignment {
	all := r.LiveNodes()
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
		if q, ok := r.Queues[n]; ok && usable(q.Value.Holder) {
			load[q.Value.Holder]++
		}
	}
	var out []Assignment
	for n := range queues {
		q, ok := r.Queues[n]
		if ok && usable(q.Value.Holder) {
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
		rec := storage.QueueRecord{Holder: best}
		if ok {
			for _, p := range append(slices.Clone(q.Value.Former), q.Value.Holder) {
				if !r.Dead(p) && p != best && !slices.Contains(rec.Former, p) {
					rec.Former = append(rec.Former, p)
				}
			}
		}
		out = append(out, Assignment{n, rec})
	}
	return out
}
