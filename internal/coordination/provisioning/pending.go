package provisioning

import (
	"maps"
	"slices"

	"pipitlatch/internal/micros"
)

// requestRate is the part of the cloud's rate limit that instance requests may take; lists,
// terminations and the calls of peers have the rest.
const requestRate = 0.6

// RequestLimiter keeps instance requests within their part of the cloud's rate limit: a token
// bucket that holds as many requests as a second allows.
type RequestLimiter struct {
	tokens     float64 // requests that are allowed now
	refilledAt micros.Time
}

// Allow takes one request out of the limit, given in calls a second; it returns false if the
// limit does not allow one now.
func (l *RequestLimiter) Allow(now micros.Time, cloudRPS float64) bool {
	rate := cloudRPS * requestRate
	l.tokens = min(rate, l.tokens+rate*micros.Seconds(now-l.refilledAt))
	l.refilledAt = now
	if l.tokens < 1 {
		return false
	}
	l.tokens--
	return true
}

// PendingRequests are the instance requests that are on their way to become blocks, by name.
type PendingRequests struct {
	inFlight map[string]InstanceKind // with a call or write in flight
	retryAt  map[string]micros.Time
}

// NewPendingRequests returns none.
func NewPendingRequests() *PendingRequests {
	return &PendingRequests{inFlight: map[string]InstanceKind{}, retryAt: map[string]micros.Time{}}
}

// Reset forgets all requests, as a new cluster leader begins.
func (p *PendingRequests) Reset() {
	clear(p.inFlight)
	clear(p.retryAt)
}

// Started notes that a call or write for the request was sent.
func (p *PendingRequests) Started(name string, kind InstanceKind) { p.inFlight[name] = kind }

// Finished notes that the call or write was answered.
func (p *PendingRequests) Finished(name string) { delete(p.inFlight, name) }

// RetryAt sets when the request may be sent again.
func (p *PendingRequests) RetryAt(name string, at micros.Time) { p.retryAt[name] = at }

// MaySend tells whether the request may be sent now.
func (p *PendingRequests) MaySend(name string, now micros.Time) bool {
	_, inFlight := p.inFlight[name]
	return !inFlight && now >= p.retryAt[name]
}

// InFlight is how many requests have a call or write in flight.
func (p *PendingRequests) InFlight() int { return len(p.inFlight) }

// InFlightOf tells whether a request for instances of the kind has a call or write in flight.
func (p *PendingRequests) InFlightOf(kind InstanceKind) bool {
	return slices.Contains(slices.Collect(maps.Values(p.inFlight)), kind)
}
