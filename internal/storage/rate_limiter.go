package storage

import "pipitlatch/internal/micros"

const (
	// milli is the unit of the buckets: thousandths of a request or of a change.
	milli = 1000
	// usablePerMille is the part of the store's limits that is used, in thousandths: the
	// clocks of store and controllers differ.
	usablePerMille = 950
	// minWriteBurst lets one transaction of the usual size pass at once, however low the rate.
	minWriteBurst = 12 * milli
)

// RateLimiter keeps this controller within its share of the key-value store's limits: an even
// share, and what the other controllers leave unused. Requests and changes have a token bucket
// each.
type RateLimiter struct {
	requests   bucket
	writes     bucket
	refilledAt micros.Time

	used      Usage // since usedSince, in thousandths
	usedSince micros.Time
	recent    Usage
}

// Usage is what a controller recently used of the limits, in thousandths a second.
type Usage struct{ Requests, Writes int64 }

// Urgency is how far a request may overdraw the limit.
type Urgency uint8

// Deferrable requests wait for their turn. Prompt ones, users' that are refused otherwise, may
// overdraw the limit by half a second's worth, Urgent ones by a whole second's: three controllers
// that overdraw by that much for their users at once have the store refuse what the leaders
// write. Critical is for what ends an overload.
const (
	Deferrable Urgency = iota
	Prompt
	Urgent
	Critical
)

// overdraftQuarters is by how many quarters of a second's worth a request may overdraw the limit.
var overdraftQuarters = [...]int64{Deferrable: 0, Prompt: 2, Urgent: 4, Critical: 6}

// NewRateLimiter shares the store's limits, in requests and changes a second, evenly among the
// controllers.
func NewRateLimiter(requestRate, writeRate float64, controllers int) *RateLimiter {
	return &RateLimiter{
		requests: newBucket(requestRate, controllers),
		writes:   newBucket(writeRate, controllers),
	}
}

// SetPeerUsage tells what the other controllers recently used. What they leave may be used here,
// but for a reserve that lets them begin to use more.
func (l *RateLimiter) SetPeerUsage(peers Usage) {
	l.requests.leaveToPeers(peers.Requests)
	l.writes.leaveToPeers(peers.Writes)
}

// TotalWriteRate is how many changes a second all controllers may make, in thousandths.
func (l *RateLimiter) TotalWriteRate() int64 { return l.writes.total }

// RecentUsage is what this controller recently used.
func (l *RateLimiter) RecentUsage() Usage { return l.recent }

// Allow tells whether a request with a number of changes may be sent now, and counts it if so.
func (l *RateLimiter) Allow(now micros.Time, writes int, urgency Urgency) bool {
	l.refill(now)
	l.measureUsage(now)
	requestCost, writeCost := int64(milli), int64(writes)*milli
	if !l.requests.covers(requestCost, urgency) {
		return false
	}
	if writes > 0 && !l.writes.covers(writeCost, urgency) {
		return false
	}
	l.requests.level -= requestCost
	l.writes.level -= writeCost
	l.used.Requests += requestCost
	l.used.Writes += writeCost
	return true
}

func (l *RateLimiter) refill(now micros.Time) {
	elapsed := min(now-l.refilledAt, micros.Second)
	if elapsed <= 0 {
		return
	}
	l.requests.refill(elapsed, l.requests.rate)
	l.writes.refill(elapsed, max(l.writes.rate, minWriteBurst))
	l.refilledAt = now
}

func (l *RateLimiter) measureUsage(now micros.Time) {
	elapsed := now - l.usedSince
	if elapsed < micros.Second {
		return
	}
	l.recent = Usage{
		Requests: l.used.Requests * micros.Second / elapsed,
		Writes:   l.used.Writes * micros.Second / elapsed,
	}
	l.used, l.usedSince = Usage{}, now
}

// bucket is a token bucket in thousandths, and thousandths a second.
type bucket struct {
	total int64 // rate of all controllers
	even  int64 // an even share of it
	rate  int64 // the share now
	level int64 // negative while overdrawn
}

func newBucket(rate float64, controllers int) bucket {
	total := int64(rate * usablePerMille)
	even := total / int64(controllers)
	return bucket{total: total, even: even, rate: even, level: even}
}

func (b *bucket) leaveToPeers(used int64) {
	reserve := b.even / 2
	b.rate = max(b.even, b.total-used-reserve)
}

func (b *bucket) refill(elapsed micros.Time, burst int64) {
	b.level = min(burst, b.level+b.rate*elapsed/micros.Second)
}

// covers tells whether a cost may be taken out, overdrawn as far as its urgency allows.
func (b *bucket) covers(cost int64, urgency Urgency) bool {
	lowest := -b.rate * overdraftQuarters[urgency] / 4
	return b.level-cost >= lowest
}
