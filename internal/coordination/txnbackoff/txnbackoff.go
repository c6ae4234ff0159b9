// Package txnbackoff delays transactions that the key-value store rejected as invalid.
package txnbackoff

import (
	"pipitlatch/internal/micros"
	"pipitlatch/internal/storage"
)

const (
	// minDelay is the delay after the first rejection for a key.
	minDelay = micros.Second
	// maxDelay limits the delay, which doubles with each rejection.
	maxDelay = 30 * micros.Second
	// maxKeys limits the number of keys with a recorded rejection.
	maxKeys = 1024
)

// Backoff records the transactions that the key-value store rejected as malformed or too large, by
// their first key. The rejection does not depend on their compares, so the same transaction would
// be rejected again. The next transaction for that key is therefore delayed, with exponential
// backoff, while all others proceed.
type Backoff struct {
	rejected map[string]rejection
}

type rejection struct {
	delay micros.Time
	until micros.Time
}

// New returns a Backoff without recorded rejections.
func New() *Backoff { return &Backoff{rejected: map[string]rejection{}} }

// Blocked reports whether a transaction must wait because an earlier one for its key was rejected.
// Requests other than transactions are never blocked.
func (b *Backoff) Blocked(r *storage.Request, now micros.Time) bool {
	key := firstKey(r)
	return key != "" && now < b.rejected[key].until
}

// Observe records the outcome of a request that completed at the time now. A transaction that was
// applied ends the delay of its key; a rejected one starts or doubles it. Other outcomes, such as
// failed compares or an unknown outcome, leave it unchanged, as they do not show whether the
// transaction is valid.
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

// firstKey returns the key that identifies a transaction: the first put, or else the first delete.
// It is empty for other requests and for transactions without changes.
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
