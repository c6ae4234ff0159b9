// Package txnbackoff delays transactions that the key-value store rejected as invalid.
package txnbackoff

import (
	"pipitlatch/internal/micros"
	"pipitlatch/internal/storage"
)

const (
	// minDelay is how long a key waits after its first rejection.
	minDelay = micros.Second
	// maxDelay bounds the delay, which doubles with each rejection.
	maxDelay = 30 * micros.Second
	// maxKeys bounds the number of keys that are remembered.
	maxKeys = 1024
)

// Backoff remembers the transactions that the key-value store rejected as malformed or too
// large, by their first key. Such a transaction did not fail for its compares, and sent again
// as it is it would be rejected again; so the next one for that key waits longer and longer,
// while all others go on.
type Backoff struct {
	rejected map[string]rejection
}

type rejection struct {
	delay micros.Time
	until micros.Time
}

// New returns a Backoff that blocks nothing.
func New() *Backoff { return &Backoff{rejected: map[string]rejection{}} }

// Blocked tells whether a transaction has to wait because the last one for its key was
// rejected. Other requests never wait.
func (b *Backoff) Blocked(r *storage.Request, now micros.Time) bool {
	key := firstKey(r)
	return key != "" && now < b.rejected[key].until
}

// Observe takes the outcome of a request that completed at a time. A transaction that was
// applied ends the delay of its key; one whose compares failed, or whose outcome is unknown,
// says nothing of whether it is valid.
func (b *Backoff) Observe(r *storage.Request, outcome storage.Outcome, now micros.Time) {
	key := firstKey(r)
	if key == "" {
		return
	}
	if outcome == storage.OK {
		delete(b.rejected, key)
	}
	if outcome != storage.Invalid {
		return
	}
	if len(b.rejected) >= maxKeys {
		clear(b.rejected)
	}
	delay := min(maxDelay, max(minDelay, 2*b.rejected[key].delay))
	b.rejected[key] = rejection{delay: delay, until: now + delay}
}

// firstKey names what a transaction is about; it is empty for other requests.
func firstKey(r *storage.Request) string {
	switch {
	case r.Kind != storage.Txn:
		return ""
	case len(r.Puts) > 0:
		return r.Puts[0].Key
	case len(r.Deletes) > 0:
		return r.Deletes[0]
	}
	return ""
}
