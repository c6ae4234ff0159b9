package coordination

import (
	"testing"

	"pipitlatch/internal/admission"
	"pipitlatch/internal/coordination/membership"
	"pipitlatch/internal/coordination/messages"
	"pipitlatch/internal/micros"
	"pipitlatch/internal/storage"
)

// TestLatestLags checks that a new partition leader uses the lags reported last for its partition,
// unless they have expired.
func TestLatestLags(t *testing.T) {
	const now = 100 * micros.Second
	type status struct {
		member     string
		receivedAt micros.Time
		partition  int
		team       string // of the only reported lag; "" for none
	}
	for _, c := range []struct {
		name     string
		statuses []status
		want     string
	}{
		{"no status", nil, ""},
		{"the latest of two", []status{{"n0", now - 2, 0, "old"}, {"n1", now - 1, 0, "new"}}, "new"},
		{"the latest of two in reverse order", []status{{"n0", now - 1, 0, "new"}, {"n1", now - 2, 0, "old"}}, "new"},
		{"not of another partition", []status{{"n0", now - 2, 0, "own"}, {"n1", now - 1, 1, "other"}}, "own"},
		{"not from a member that reports none", []status{{"n0", now - 2, 0, "own"}, {"n1", now - 1, 0, ""}}, "own"},
		{"not expired yet", []status{{"n0", now - lagTTL, 0, "own"}}, "own"},
		{"expired", []status{{"n0", now - lagTTL - 1, 0, "own"}}, ""},
	} {
		t.Run(c.name, func(t *testing.T) {
			peers := membership.NewPeers("n9", []string{"n0", "n1"})
			for _, s := range c.statuses {
				partition := messages.PartitionStatus{Partition: s.partition}
				if s.team != "" {
					partition.Lags = []admission.FlowLag{{Flow: admission.Flow{Team: s.team}}}
				}
				peers.Receive(s.receivedAt, &messages.PeerStatus{
					From:       storage.Process{Member: s.member},
					Partitions: []messages.PartitionStatus{partition},
				})
			}
			got := ""
			if lags := latestLags(peers, 0, now); len(lags) > 0 {
				got = lags[0].Flow.Team
			}
			if got != c.want {
				t.Errorf("lag of %q, want %q", got, c.want)
			}
		})
	}
}

// TestFairSharesOff checks that no flow has a lag if fair admission is off.
func TestFairSharesOff(t *testing.T) {
	var s *fairShares
	if lag := s.lagBeyondBound(admission.Flow{Team: "a"}); lag != (admission.Lag{}) {
		t.Errorf("lag %+v", lag)
	}
	if lags := s.lags(); lags != nil {
		t.Errorf("lags %+v", lags)
	}
}
