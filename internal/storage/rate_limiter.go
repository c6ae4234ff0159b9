package storage

import "pipitlatch/internal/micros"

const (
	// milli is the scale of the buckets, which count thousandths of a request or change.
	milli = 1000
	// usablePerMille is the fraction of the store's limits that is used, in thousandths. The rest
	// is a margin for clock differences between the store and the controllers.
	usablePerMille = 950
	// minWriteBurst allows a transaction of the usual size to be sent at once, however low the rate.
	minWriteBurst = 12 * milli
)

// RateLimiter keeps this controller within its share of the key-value store's rate limits: an equal
// share plus capacity that the other controllers leave unused. Requests and changes have separate
// token buckets.
type RateLimiter struct {
	requests   bucket
	writes     bucket
	refilledAt micros.Time

	used      Usage // since usedSince, in thousandths
	usedSince micros.Time
	recent    Usage
}

// Usage is a controller's recent use of the limits, in thousandths per second.
type Usage struct{ Requests, Writes int64 }

// Urgency determines how far a request may overdraw the limit.
type Urgency uint8

// Deferrable requests may not overdraw the limit. Prompt requests, which serve users and are refused
// otherwise, may overdraw it by half a second's worth and Urgent requests by a full second's. If
// three controllers overdraw by a full second's worth for their users at once, the store refuses the
// leaders' writes. Critical requests, which end an overload, may overdraw by a second and a half's.
const (
	Deferrable Urgency = iota
	Prompt
	Urgent
	Critical
)

// overdraftQuarters is the permitted overdraft, in quarters of a second's worth of the limit.
var overdraftQuarters = [...]int64{Deferrable: 0, Prompt: 2, Urgent: 4, Critical: 6}

// NewRateLimiter returns a limiter for one of several controllers, which initially share the
// store's limits, in requests and changes per second, equally.
func NewRateLimiter(requestRate, writeRate float64, controllers int) *RateLimiter {
	return &RateLimiter{
		requests: newBucket(requestRate, controllers),
		writes:   newBucket(writeRate, controllers),
	}
}

// SetPeerUsage sets the recent usage of the other controllers. This controller may use what they
// leave unused, except for a reserve that allows them to increase their usage.
func (l *RateLimiter) SetPeerUsage(peers Usage) {
	l.requests.setPeerUsage(peers.Requests)
	l.writes.setPeerUsage(peers.Writes)
}

// TotalWriteRate returns the rate of changes permitted to all controllers together, in thousandths
// per second.
func (l *RateLimiter) TotalWriteRate() int64 { return l.writes.total }

// RecentUsage returns this controller's usage over the last measured interval.
func (l *RateLimiter) RecentUsage() Usage { return l.recent }

// Allow reports whether a request with the given number of changes may be sent now, and if so
// charges it to the buckets.
func (l *RateLimiter) Allow(now micros.Time, writes int, urgency Urgency) bool {
	l.refill(now)
	l.measureUsage(now)
	requestCost, writeCost := int64(milli), int64(writes)*milli
	if !l.requests.canSpend(requestCost, urgency) {
		return false
	}
	if writes > 0 && !l.writes.canSpend(writeCost, urgency) {
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

// bucket is a token bucket. Its level is in thousandths, its rates are in thousandths per second.
type bucket struct {
	total     int64 // rate of all controllers together
	evenShare int64 // an equal share of total
	rate      int64 // current share of this controller
	level     int64 // negative while overdrawn
}

func newBucket(rate float64, controllers int) bucket {
	total := int64(rate * usablePerMille)
	even := total / int64(controllers)
	return bucket{total: total, evenShare: even, rate: even, level: even}
}

func (b *bucket) setPeerUsage(used int64) {
	reserve := b.evenShare / 2
	b.rate = max(b.evenShare, b.total-used-reserve)
}

func (b *bucket) refill(elapsed micros.Time, burst int64) {
	b.level = min(burst, b.level+b.rate*elapsed/micros.Second)
}

// canSpend reports whether a cost can be charged without exceeding the overdraft of its urgency.
func (b *bucket) canSpend(cost int64, urgency Urgency) bool {
	lowest := -b.rate * overdraftQuarters[urgency] / 4
	return b.level-cost >= lowest
}
