package scenario

import (
	"testing"

	"pipitlatch/internal/micros"
)

// probe records a probe a second, "1" good and "0" bad, and tells whether the node is healthy after
// each in the same way.
func (b *balancer) probe(now *micros.Time, results string) string {
	out := ""
	for _, r := range results {
		*now += micros.Second
		b.record(*now, r == '1')
		if b.healthy {
			out += "1"
		} else {
			out += "0"
		}
	}
	return out
}

// TestBalancer: when the stand-in of the load balancer removes a node, and takes it back.
func TestBalancer(t *testing.T) {
	for _, x := range []struct{ name, probes, healthy string }{
		{"the first good probe is enough at the start", "001", "001"},
		{"one bad probe is not", "1011", "1111"},
		{"two bad probes in a row remove it", "1100", "1110"},
		{"three bad probes of six remove it", "10101011", "11111000"},
		{"one good probe does not bring it back", "100000011", "110000001"},
		{"it is back after two good ones and three seconds", "10011111", "11000111"},
	} {
		t.Run(x.name, func(t *testing.T) {
			now := micros.Time(0)
			b := &balancer{readmissionDelay: 3 * micros.Second}
			if got := b.probe(&now, x.probes); got != x.healthy {
				t.Errorf("probes %s: healthy %s, want %s", x.probes, got, x.healthy)
			}
		})
	}
}

// TestBalancerReadmission: a node that is removed again soon stays away twice as long.
func TestBalancerReadmission(t *testing.T) {
	now := micros.Time(0)
	b := &balancer{readmissionDelay: 3 * micros.Second}
	b.probe(&now, "10011111")
	b.probe(&now, "00")
	if b.healthy || b.readmissionDelay != 6*micros.Second {
		t.Fatalf("healthy %v, back after %v s", b.healthy, micros.Seconds(b.readmissionDelay))
	}
	if got, want := b.probe(&now, "1111111"), "0000011"; got != want {
		t.Errorf("healthy %s, want %s", got, want)
	}
}
