// Package storage is the controllers' view of the key-value store: keys, records, requests and
// compare-and-swap transactions, the local cache fed by a snapshot and the change stream, and the
// rate limiter of requests. It performs no I/O: requests are handed out and replies handed in.
package storage

import (
	"encoding/json"

	"pipitlatch/internal/micros"
)

// RequestKind is the kind of a request to the key-value store.
type RequestKind uint8

// The kinds of requests.
const (
	Get            RequestKind = iota // one key
	List                              // a page of the keys below a prefix
	Txn                               // a compare-and-swap transaction
	LeaseGrant                        // a new lease
	LeaseKeepAlive                    // renews a lease
	Watch                             // waits for changes below a prefix
)

// Compare is a guard of a transaction: it requires a key to have a mod revision; 0: not to exist.
type Compare struct {
	Key         string
	ModRevision uint64
}

// Put sets a key. A key that is attached to a lease is deleted when the lease expires; 0: no lease.
type Put struct {
	Key   string
	Value json.RawMessage
	Lease uint64
}

// Request is one request to the key-value store.
type Request struct {
	Kind RequestKind
	Key  string // Get: the key; List, Watch: the prefix

	After string // List: the last key of the page before
	Limit int    // List: keys in a page at most

	Revision uint64      // Watch: changes after this revision
	Wait     micros.Time // Watch: how long to wait for the first change

	TTL   micros.Time // LeaseGrant
	Lease uint64      // LeaseKeepAlive

	// Txn: all puts and deletes, if all compares hold; otherwise nothing.
	Compares []Compare
	Puts     []Put
	Deletes  []string
}

// Writes is how many changes the request counts as for the rate limit.
func (r *Request) Writes() int { return len(r.Puts) + len(r.Deletes) }

// Outcome is what became of a request.
type Outcome uint8

// The outcomes.
const (
	OK Outcome = iota
	// Conflict: a compare of the transaction did not hold; nothing was changed.
	Conflict
	NotFound
	// Compacted: the changes after the revision of a watch are not kept any more.
	Compacted
	LeaseNotFound
	// Unavailable: the request was surely not executed, and may be sent again.
	Unavailable
	// Invalid: the store calls the request malformed or too large. It was not executed, and would
	// not be if it were sent again as it is.
	Invalid
	// OutcomeUnknown: no reply came. The request may have been, or may still be, executed.
	OutcomeUnknown
)

// Item is a key with its value and mod revision, as read or as changed.
type Item struct {
	Key         string
	Value       json.RawMessage
	ModRevision uint64
	Deleted     bool
}

// Reply is the key-value store's reply to a request.
type Reply struct {
	Outcome  Outcome
	Revision uint64 // of the store when it replied
	Lease    uint64 // LeaseGrant
	Items    []Item // Get: one; List: a page; Watch: the changes in order
	More     bool   // List: there are further pages
}
