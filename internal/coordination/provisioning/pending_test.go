package provisioning

import (
	"testing"

	"pipitlatch/internal/micros"
)

func TestRequestLimiterAllowsFractionOfCloudLimit(t *testing.T) {
	const cloudRPS = 10 // allows 6 requests per second
	type attempt struct {
		at      micros.Time
		allowed int // of ten simultaneous requests
	}
	tests := []struct {
		name     string
		attempts []attempt
	}{
		{"none at time 0", []attempt{{0, 0}}},
		{"tokens of half a second", []attempt{{micros.Second / 2, 3}}},
		{"at most the tokens of one second after a long pause", []attempt{{100 * micros.Second, 6}}},
		{"fractions add up", []attempt{{0, 0}, {micros.Second / 10, 0}, {micros.Second / 5, 1}, {micros.Second / 4, 0}}},
		{"tokens are consumed", []attempt{{micros.Second, 6}, {micros.Second, 0}, {2 * micros.Second, 6}}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			var limiter RequestLimiter
			for _, attempt := range test.attempts {
				allowed := 0
				for range 10 {
					if limiter.Allow(attempt.at, cloudRPS) {
						allowed++
					}
				}
				if allowed != attempt.allowed {
					t.Errorf("%d requests allowed at %d, want %d", allowed, attempt.at, attempt.allowed)
				}
			}
		})
	}
}

func TestPendingRequests(t *testing.T) {
	kind, other := InstanceKind{"m", "a", false}, InstanceKind{"m", "a", true}
	tests := []struct {
		name       string
		events     func(*PendingRequests)
		maySend    bool // request r at time 10
		inFlight   int
		inFlightOf bool // of kind
	}{
		{"never sent", func(*PendingRequests) {}, true, 0, false},
		{"in flight", func(p *PendingRequests) { p.Started("r", kind) }, false, 1, true},
		{"another request in flight", func(p *PendingRequests) { p.Started("s", other) }, true, 1, false},
		{"answered",
			func(p *PendingRequests) { p.Started("r", kind); p.Finished("r") }, true, 0, false},
		{"before the retry time",
			func(p *PendingRequests) { p.Started("r", kind); p.Finished("r"); p.RetryAt("r", 11) }, false, 0, false},
		{"at the retry time", func(p *PendingRequests) { p.RetryAt("r", 10) }, true, 0, false},
		{"in flight at the retry time",
			func(p *PendingRequests) { p.RetryAt("r", 10); p.Started("r", kind) }, false, 1, true},
		{"after a reset",
			func(p *PendingRequests) { p.Started("r", kind); p.RetryAt("r", 11); p.Reset() }, true, 0, false},
		{"two in flight", func(p *PendingRequests) { p.Started("s", other); p.Started("r", kind) }, false, 2, true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			pending := NewPendingRequests()
			test.events(pending)
			if got := pending.MaySend("r", 10); got != test.maySend {
				t.Errorf("MaySend = %v, want %v", got, test.maySend)
			}
			if got := pending.InFlight(); got != test.inFlight {
				t.Errorf("InFlight = %d, want %d", got, test.inFlight)
			}
			if got := pending.InFlightOf(kind); got != test.inFlightOf {
				t.Errorf("InFlightOf = %v, want %v", got, test.inFlightOf)
			}
		})
	}
}
