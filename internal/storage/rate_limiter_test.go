package storage

import (
	"testing"

	"pipitlatch/internal/micros"
)

// drain sends requests with the given number of changes until the limiter refuses one, and returns
// how many it allowed.
func drain(l *RateLimiter, now micros.Time, writes int, urgency Urgency) int {
	n := 0
	for n < 10_000 && l.Allow(now, writes, urgency) {
		n++
	}
	return n
}

func TestRateLimiterOverdraft(t *testing.T) {
	tests := map[string]struct {
		writes  int
		urgency Urgency
		want    int
	}{
		"deferrable requests get the even share":         {0, Deferrable, 100},
		"prompt requests half a second more":             {0, Prompt, 150},
		"urgent requests a second more":                  {0, Urgent, 200},
		"critical requests a second and a half more":     {0, Critical, 250},
		"deferrable changes get the even share":          {1, Deferrable, 20},
		"urgent changes a second more":                   {1, Urgent, 40},
		"a transaction counts as many changes as it has": {4, Urgent, 10},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			// 95% of the limits are usable: 300 requests and 60 changes per second for three controllers.
			l := NewRateLimiter(300/0.95, 60/0.95, 3)
			got := drain(l, micros.Second, test.writes, test.urgency)
			if got < test.want-1 || got > test.want {
				t.Errorf("%d allowed, want %d", got, test.want)
			}
		})
	}
}

func TestRateLimiterSharesWithPeers(t *testing.T) {
	tests := map[string]struct {
		peers Usage
		want  int64
	}{
		"idle peers leave all but a reserve of half an even share": {Usage{}, 250_000},
		"busy peers leave what they do not use":                    {Usage{Requests: 100_000}, 150_000},
		"an even share is always left":                             {Usage{Requests: 1 << 40}, 100_000},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			l := NewRateLimiter(300/0.95, 60/0.95, 3)
			l.SetPeerUsage(test.peers)
			if got := l.requests.rate; got < test.want-2 || got > test.want {
				t.Errorf("rate %d, want %d thousandths per second", got, test.want)
			}
		})
	}
}

// TestRateLimiterRecentUsage checks that the usage reported to peers is a rate per second, measured
// anew for each interval.
func TestRateLimiterRecentUsage(t *testing.T) {
	l := NewRateLimiter(300/0.95, 60/0.95, 3)
	l.Allow(micros.Second, 2, Deferrable)
	l.Allow(micros.Second, 0, Deferrable)
	l.Allow(3*micros.Second, 0, Deferrable)
	if want := (Usage{Requests: 1000, Writes: 1000}); l.RecentUsage() != want {
		t.Errorf("recent usage %+v, want %+v", l.RecentUsage(), want)
	}
}
