package provisioning

import (
	"maps"
	"slices"

	"pipitlatch/internal/micros"
)

// requestRate is the fraction of the cloud's rate limit available to instance requests. The rest is
// reserved for listing and terminating instances and for calls by peers.
const requestRate = 0.6

// RequestLimiter is a token bucket that limits instance requests to their fraction of the cloud's
// rate limit. Its capacity is one second's worth of requests.
type RequestLimiter struct {
	tokens     float64 // requests allowed now
	refilledAt micros.Time
}

// Allow reports whether a request may be sent now and, if so, takes a token for it. cloudRPS is the
// cloud's rate limit in calls per second.
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

// PendingRequests tracks, by name, the instance requests that are not yet turned into blocks of
// machines.
type PendingRequests struct {
	inFlight map[string]InstanceKind // requests with a call or write in flight
	retryAt  map[string]micros.Time
}

// NewPendingRequests returns an empty PendingRequests.
func NewPendingRequests() *PendingRequests {
	return &PendingRequests{inFlight: map[string]InstanceKind{}, retryAt: map[string]micros.Time{}}
}

// Reset removes all requests; a new cluster leader starts with none.
func (p *PendingRequests) Reset() {
	clear(p.inFlight)
	clear(p.retryAt)
}

// Started records that a call or write for the request was sent.
func (p *PendingRequests) Started(name string, kind InstanceKind) { p.inFlight[name] = kind }

// Finished records that the call or write for the request was answered.
func (p *PendingRequests) Finished(name string) { delete(p.inFlight, name) }

// RetryAt sets the time from which the request may be sent again.
func (p *PendingRequests) RetryAt(name string, at micros.Time) { p.retryAt[name] = at }

// MaySend reports whether the request may be sent now.
func (p *PendingRequests) MaySend(name string, now micros.Time) bool {
	_, inFlight := p.inFlight[name]
	return !inFlight && now >= p.retryAt[name]
}

// InFlight returns the number of requests with a call or write in flight.
func (p *PendingRequests) InFlight() int { return len(p.inFlight) }

// InFlightOf reports whether a request for instances of the kind has a call or write in flight.
func (p *PendingRequests) InFlightOf(kind InstanceKind) bool {
	return slices.Contains(slices.Collect(maps.Values(p.inFlight)), kind)
}
