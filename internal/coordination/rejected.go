package coordination

import (
	"pipitlatch/internal/micros"
	"pipitlatch/internal/storage"
)

// rejections are the transactions that the state service rejected as malformed or too
// large, by their first key. Such a transaction did not fail for its conditions, and sent
// again as it is it would be rejected again; so the next one for that key waits longer and
// longer, while all others go on.
type rejections map[string]rejection

type rejection struct {
	pause micros.Time
	until micros.Time
}

const (
	// firstRejectionPause is how long a key waits after its first rejection.
	firstRejectionPause = micros.Second
	// maxRejectionPause bounds the pause, which doubles each time.
	maxRejectionPause = 30 * micros.Second
	// maxRejections bounds the keys that are remembered.
	maxRejections = 1024
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

// holdBack tells whether a transaction has to wait because the last one for its key was
// rejected.
func (s rejections) holdBack(r *storage.Request, now micros.Time) bool {
	key := transactionKey(r)
	return key != "" && now < s[key].until
}

// note takes the outcome of a request.
func (s rejections) note(r *storage.Request, outcome storage.Outcome, now micros.Time) {
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
	if len(s) >= maxRejections {
		clear(s)
	}
	pause := min(maxRejectionPause, max(firstRejectionPause, 2*s[key].pause))
	s[key] = rejection{pause: pause, until: now + pause}
}
