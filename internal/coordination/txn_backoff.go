package coordination

import (
	"pipitlatch/internal/micros"
	"pipitlatch/internal/storage"
)

// txnBackoff are the transactions that the state service rejected as malformed or too
// large, by their first key. Such a transaction did not fail for its conditions, and sent
// again as it is it would be rejected again; so the next one for that key waits longer and
// longer, while all others go on.
type txnBackoff map[string]backoffEntry

type backoffEntry struct {
	delay micros.Time
	until micros.Time
}

const (
	// minTxnBackoff is how long a key waits after its first rejection.
	minTxnBackoff = micros.Second
	// maxTxnBackoff bounds the pause, which doubles each time.
	maxTxnBackoff = 30 * micros.Second
	// maxTxnBackoffKeys bounds the keys that are remembered.
	maxTxnBackoffKeys = 1024
)

// transactionKey names what a transaction is about; empty for other requests.
func transactionKey(r *storage.Request) string {
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

// blocked tells whether a transaction has to wait because the last one for its key was
// rejected.
func (s txnBackoff) blocked(r *storage.Request, now micros.Time) bool {
	key := transactionKey(r)
	return key != "" && now < s[key].until
}

// observe takes the outcome of a request.
func (s txnBackoff) observe(r *storage.Request, outcome storage.Outcome, now micros.Time) {
	key := transactionKey(r)
	if key == "" {
		return
	}
	if outcome != storage.Invalid {
		if outcome == storage.OK {
			delete(s, key)
		}
		return
	}
	if len(s) >= maxTxnBackoffKeys {
		clear(s)
	}
	pause := min(maxTxnBackoff, max(minTxnBackoff, 2*s[key].delay))
	s[key] = backoffEntry{delay: pause, until: now + pause}
}
