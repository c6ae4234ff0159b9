// Package storage implements the controllers' view of the key-value store: keys, records, requests
// and compare-and-swap transactions, the local cache built from a snapshot and the change stream, and
// the rate limiter for requests. It performs no I/O: callers send the requests and pass in the
// replies.
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
	List                              // a page of the keys under a prefix
	Txn                               // a compare-and-swap transaction
	LeaseGrant                        // a new lease
	LeaseKeepAlive                    // renews a lease
	Watch                             // waits for changes under a prefix
)

// Compare is a precondition of a transaction: the key has the given mod revision, or does not exist
// if the revision is 0.
type Compare struct {
	Key         string
	ModRevision uint64
}

// Put sets a key. If Lease is not 0, the key is deleted when that lease expires.
type Put struct {
	Key   string
	Value json.RawMessage
	Lease uint64
}

// Request is one request to the key-value store.
type Request struct {
	Kind RequestKind
	Key  string // Get: the key; List, Watch: the prefix

	After string // List: the last key of the previous page
	Limit int    // List: maximum number of keys in a page

	Revision uint64      // Watch: changes after this revision
	Wait     micros.Time // Watch: how long to wait for the first change

	TTL   micros.Time // LeaseGrant
	Lease uint64      // LeaseKeepAlive

	// Txn: all puts and deletes are applied if all compares hold, otherwise none.
	Compares []Compare
	Puts     []Put
	Deletes  []string
}

// Writes returns the number of changes that the request counts as for the rate limit.
func (r *Request) Writes() int { return len(r.Puts) + len(r.Deletes) }

// Outcome is the result of a request.
type Outcome uint8

// The outcomes.
const (
	OK Outcome = iota
	// Conflict means that a compare of the transaction did not hold and nothing was changed.
	Conflict
	NotFound
	// Compacted means that the store no longer keeps all changes after the watch's revision.
	Compacted
	LeaseNotFound
	// Unavailable means that the request was definitely not executed and may be retried.
	Unavailable
	// Invalid means that the store rejected the request as malformed or too large. It was not
	// executed, and retrying it unchanged would fail again.
	Invalid
	// OutcomeUnknown means that no reply arrived. The request may have been executed, or may still
	// be.
	OutcomeUnknown
)

// Item is a key with its value and mod revision, from a read or from the change stream.
type Item struct {
	Key         string
	Value       json.RawMessage
	ModRevision uint64
	Deleted     bool
}

// Reply is the key-value store's reply to a request.
type Reply struct {
	Outcome  Outcome
	Revision uint64 // the store's revision when it replied
	Lease    uint64 // LeaseGrant
	Items    []Item // Get: one item; List: a page; Watch: the changes in order
	More     bool   // List: more pages follow
}
