// Package leadership determines how long a leader may act without a new confirmation of its lease
// (Term), and which member leads which partition (Assign).
package leadership

import "pipitlatch/internal/micros"

// Term limits how long a leader may act on its last confirmation. It starts when the last request
// was sent that confirmed the lease and up to whose revision the change stream has been read. The
// key-value store answered after that time, so no other process can acquire the lease before the
// term ends. The zero value has no confirmation.
type Term struct {
	Length      micros.Time // already reduced by the drift of both clocks
	confirmedAt micros.Time // when the last confirming request was sent
	confirmed   bool
}

// Confirm records a confirmation whose request was sent at the given time. Replies may arrive out
// of order, so an older confirmation is ignored.
func (t *Term) Confirm(sent micros.Time) {
	if !t.confirmed || sent > t.confirmedAt {
		t.confirmedAt, t.confirmed = sent, true
	}
}

// Valid reports whether the term has not ended yet.
func (t *Term) Valid(now micros.Time) bool { return t.confirmed && now-t.confirmedAt < t.Length }

// ConfirmedSince reports whether the last confirmation was requested after the given time. If so,
// this process still held the lease at that time, and no other process can have acted under a
// later lease before it.
func (t *Term) ConfirmedSince(at micros.Time) bool { return t.confirmed && t.confirmedAt > at }

// SinceConfirmed returns how long ago the last confirmation was requested, or micros.Max if there is
// none.
func (t *Term) SinceConfirmed(now micros.Time) micros.Time {
	if !t.confirmed {
		return micros.Max
	}
	return now - t.confirmedAt
}

// Invalidate discards all confirmations, for example after the lease or the change stream was lost.
func (t *Term) Invalidate() { t.confirmed = false }
