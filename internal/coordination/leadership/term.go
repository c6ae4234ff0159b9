// Package leadership decides who may act: how long a partition leader may rely on what it
// last confirmed (Term), and which member leads which partition (Assign).
package leadership

import "pipitlatch/internal/micros"

// Term is how long a leader may act on its last confirmation. It runs from the sending of
// the last request that both confirmed the lease and after whose revision the change stream
// was read: the key-value store answered later than that, so nobody else can have been given
// the lease before the term ends. The zero confirmation is none at all.
type Term struct {
	Length      micros.Time // the drift of both clocks is taken off already
	confirmedAt micros.Time // when the last confirming request was sent
	confirmed   bool
}

// Confirm notes a confirmation whose request was sent at the given time. Replies may come
// out of order, so an older one changes nothing.
func (t *Term) Confirm(sent micros.Time) {
	if !t.confirmed || sent > t.confirmedAt {
		t.confirmedAt, t.confirmed = sent, true
	}
}

// Valid tells whether the term still runs.
func (t *Term) Valid(now micros.Time) bool { return t.confirmed && now-t.confirmedAt < t.Length }

// ConfirmedSince tells whether the last confirmation was requested after the given time: then
// the lease was still ours at that time, and nobody else can have acted under a later one
// before it.
func (t *Term) ConfirmedSince(at micros.Time) bool { return t.confirmed && t.confirmedAt > at }

// SinceConfirmed is how long ago the last confirmation was requested; micros.Max if there is none.
func (t *Term) SinceConfirmed(now micros.Time) micros.Time {
	if !t.confirmed {
		return micros.Max
	}
	return now - t.confirmedAt
}

// Invalidate forgets all confirmations, as when the lease or the change stream was lost.
func (t *Term) Invalidate() { t.confirmed = false }
