package transport

import (
	"net/http"

	"github.com/failsafe-go/failsafe-go/adaptivelimiter"

	"pipitlatch/internal/micros"
)

// requestLimit is an adaptive concurrency limit for users' requests, adjusted by their latency. Requests
// above the limit are rejected immediately, never queued. Heartbeats, health checks and cancellations are
// exempt.
type requestLimit struct {
	limiter adaptivelimiter.AdaptiveLimiter[any]
}

func newRequestLimit(maxLimit uint) *requestLimit {
	// The minimum covers the burst of requests that users send after an outage; a lower limit would reject
	// them needlessly.
	minLimit := max(maxLimit/4, min(maxLimit, 16))
	return &requestLimit{adaptivelimiter.NewBuilder[any]().WithLimits(minLimit, maxLimit, max(minLimit, maxLimit/2)).
		WithMaxLimitFactor(16).Build()}
}

// guard applies the limit to a handler. It calls refused for each rejected request.
func (l *requestLimit) guard(next http.HandlerFunc, refused func()) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		slot, ok := l.limiter.TryAcquirePermit()
		if !ok {
			refused()
			writeRetryable(w, http.StatusTooManyRequests, "too many requests", micros.Second)
			return
		}
		defer slot.Record()
		next(w, r)
	}
}
