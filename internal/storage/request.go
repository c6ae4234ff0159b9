// Package storage is the controllers' view of the state service: keys, records,
// transactions, the local replica fed by the change stream, and the budget of
// requests. It performs no I/O; requests are handed out and replies handed in.
package storage

import (
	"encoding/json"

	"pipitlatch/internal/micros"
)

// RequestKind is the kind of a request to the state service.
type RequestKind uint8

// The kinds of requests.
const (
	Get RequestKind = iota
	List
	Txn
	LeaseGrant
	LeaseKeepAlive
	Watch
)

// Compare requires a key to have a version; 0: not to exist.
type Compare struct {
	Key         string
	ModRevision uint64
}

// Put sets a key, attached to a lease unless that is 0.
type Put struct {
	Key   string
	Value json.RawMessage
	Lease uint64
}

// Request is one request to the state service.
type Request struct {
	Kind     RequestKind
	Key      string // Get: the key; List, Watch: the prefix
	After    string // List
	Limit    int    // List
	Revision uint64 // Watch
	Wait     micros.Time
	Lease    uint64      // Touch
	TTL      micros.Time // Grant
	Compares []Compare
	Puts     []Put
	Deletes  []string
}

// Writes is how many changes the request counts as.
func (r *Request) Writes() int { return len(r.Puts) + len(r.Deletes) }

// Outcome is what became of a request.
type Outcome uint8

// The outcomes. Refused was surely not executed, and may be sent again; Rejected neither,
// and would be rejected again as it is: the service calls it malformed or too large. Lost
// may have been, or may still be, executed.
const (
	OK Outcome = iota
	Conflict
	NotFound
	Compacted
	LeaseNotFound
	Unavailable
	Invalid
	OutcomeUnknown
)

// Item is a key with its value and version.
type Item struct {
	Key         string
	Value       json.RawMessage
	ModRevision uint64
	Deleted     bool
}

// Reply is the state service's answer.
type Reply struct {
	Outcome  Outcome
	Revision uint64
	Lease    uint64
	Items    []Item // Get: one; List: a page; Watch: the events in order
	More     bool
}

// RateLimiter is a token bucket for requests and another for changes, of which this
// controller has its share: an even one, and what the others leave unused.
type RateLimiter struct {
	total, writeTotal int64 // thousandths a second, of all controllers
	fair, writeFair   int64 // an even share
	rate, writeRate   int64 // the share now
	left, writeLeft   int64 // thousandths
	at                micros.Time
	used, writeUsed   int64 // thousandths since usedAt
	usedAt            micros.Time
	recent            Usage
}

// Usage is what a controller used of the limits of late, in thousandths a second.
type Usage struct{ Requests, Writes int64 }

// NewRateLimiter shares the service's limits among the controllers.
func NewRateLimiter(rps, writeRPS float64, nodes int) *RateLimiter {
	b := &RateLimiter{total: int64(rps * 950), writeTotal: int64(writeRPS * 950)}
	b.fair, b.writeFair = b.total/int64(nodes), b.writeTotal/int64(nodes)
	b.rate, b.writeRate = b.fair, b.writeFair
	b.left, b.writeLeft = b.rate, b.writeRate
	return b
}

// SetPeerUsage tells what the other controllers used of late. What they leave may be
// used here, but for a reserve that lets them begin to use more.
func (b *RateLimiter) SetPeerUsage(u Usage) {
	b.rate = max(b.fair, b.total-u.Requests-b.fair/2)
	b.writeRate = max(b.writeFair, b.writeTotal-u.Writes-b.writeFair/2)
}

// TotalWriteRate is how many changes a second all controllers may make, in thousandths.
func (b *RateLimiter) TotalWriteRate() int64 { return b.writeTotal }

// RecentUsage is what was used here of late.
func (b *RateLimiter) RecentUsage() Usage { return b.recent }

// Urgency is how far a request may overdraw the budget.
type Urgency uint8

// Patient requests wait for their turn; Prompt ones, users' that are refused otherwise, may
// overdraw the budget by half a second's worth, Urgent ones by a whole: three controllers that
// overdraw by that much for their users at once have the service refuse what the leader and
// the holders write. Critical is what ends an overload.
const (
	Deferrable Urgency = iota
	Prompt
	Urgent
	Critical
)

// overdraft is by how many quarters of a second's worth a request may overdraw the budget.
var overdraft = [...]int64{Deferrable: 0, Prompt: 2, Urgent: 4, Critical: 6}

// Allow reports whether a request with so many changes may be sent now.
func (b *RateLimiter) Allow(now micros.Time, writes int, u Urgency) bool {
	if dt := min(now-b.at, micros.Second); dt > 0 {
		b.left = min(b.rate, b.left+b.rate*dt/micros.Second)
		b.writeLeft = min(max(b.writeRate, 12_000), b.writeLeft+b.writeRate*dt/micros.Second)
		b.at = now
	}
	if dt := now - b.usedAt; dt >= micros.Second {
		b.recent = Usage{b.used * micros.Second / dt, b.writeUsed * micros.Second / dt}
		b.used, b.writeUsed, b.usedAt = 0, 0, now
	}
	need, needWrites := int64(1000), int64(writes)*1000
	floor, writeFloor := -b.rate*overdraft[u]/4, -b.writeRate*overdraft[u]/4
	if b.left-need < floor || (writes > 0 && b.writeLeft-needWrites < writeFloor) {
		return false
	}
	b.left -= need
	b.writeLeft -= needWrites
	b.used += need
	b.writeUsed += needWrites
	return true
}
