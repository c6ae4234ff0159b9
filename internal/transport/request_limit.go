package transport

import (
	"net/http"

	"github.com/failsafe-go/failsafe-go/adaptivelimiter"

	"pipitlatch/internal/micros"
)

// requestLimit limits users' requests in progress; the limit adjusts itself to how long they take. What
// is above it is refused at once, never queued. Heartbeats, health checks and cancellations are not
// subject to it.
type requestLimit struct {
	limiter adaptivelimiter.AdaptiveLimiter[any]
}

func newRequestLimit(maxLimit uint) *requestLimit {
	// The minLimit is what users ask for all at once after an outage; below it the limit would refuse them
	// for nothing.
	minLimit := max(maxLimit/4, min(maxLimit, 16))
	return &requestLimit{adaptivelimiter.NewBuilder[any]().WithLimits(minLimit, maxLimit, max(minLimit, maxLimit/2)).
		WithMaxLimitFactor(16).Build()}
}

// guard subjects a handler to the limit; refused is called for every request above it.
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
