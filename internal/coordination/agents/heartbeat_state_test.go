package agents

import (
	"testing"

	"pipitlatch/internal/coordination/messages"
	"pipitlatch/internal/micros"
)

// heartbeat returns the parts of a heartbeat that Progress looks at.
func heartbeat(epoch, sequence, token uint64) *messages.Heartbeat {
	return &messages.Heartbeat{AgentEpoch: epoch, Sequence: sequence, FencingToken: token}
}

// observed is the progress after heartbeats of epoch 3, one a second from second 1 on, all with
// fencing token 5.
func observed(t *testing.T, sequences ...uint64) *HeartbeatState {
	t.Helper()
	const epoch, token = 3, 5
	p := &HeartbeatState{}
	now := micros.Second
	p.BeginEpoch(epoch, now)
	for _, sequence := range sequences {
		h := heartbeat(epoch, sequence, token)
		if !p.IsNewer(h) {
			t.Fatalf("sequence %d does not follow %v", sequence, p.Position())
		}
		p.Observe(h, now)
		p.Acknowledge(token)
		now += micros.Second
	}
	return p
}

func TestIsNewer(t *testing.T) {
	tests := []struct {
		name     string
		progress *HeartbeatState
		h        *messages.Heartbeat
		want     bool
	}{
		{"first heartbeat of a machine", &HeartbeatState{}, heartbeat(1, 0, 0), true},
		{"later sequence", observed(t, 7), heartbeat(3, 8, 5), true},
		{"same sequence again", observed(t, 7), heartbeat(3, 7, 5), false},
		{"earlier sequence", observed(t, 7), heartbeat(3, 6, 5), false},
		{"later epoch with a lower sequence", observed(t, 7), heartbeat(4, 1, 5), true},
		{"earlier epoch with a higher sequence", observed(t, 7), heartbeat(2, 9, 5), false},
		{"later sequence with a lower token", observed(t, 7), heartbeat(3, 8, 4), true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			if got := test.progress.IsNewer(test.h); got != test.want {
				t.Errorf("IsNewer = %v at %v, want %v", got, test.progress.Position(), test.want)
			}
		})
	}
}

func TestIsStaleCopy(t *testing.T) {
	// The last heartbeat comes at second 10; at second 7 the one with sequence 1 has long been
	// known, so that it is settled from then on.
	progress := observed(t, 1, 2, 3, 4, 5, 6, 7, 8, 9, 10)
	const last = 10 * micros.Second
	tests := []struct {
		name string
		h    *messages.Heartbeat
		now  micros.Time
		want bool
	}{
		{"newer heartbeat is not a copy", heartbeat(3, 11, 5), last + micros.Second, false},
		{"newer heartbeat long after the last one", heartbeat(3, 11, 5), last + 10*ReplyTimeout, false},
		{"newer heartbeat with a lower token", heartbeat(3, 11, 4), last, false},
		{"copy of the newest heartbeat may still wait", heartbeat(3, 10, 5), last + micros.Second, false},
		{"copy of one that is not settled may still wait", heartbeat(3, 8, 5), last + micros.Second, false},
		{"copy at the end of the reply timeout", heartbeat(3, 10, 5), last + ReplyTimeout, false},
		{"copy after the reply timeout", heartbeat(3, 10, 5), last + ReplyTimeout + 1, true},
		{"copy of an earlier epoch", heartbeat(2, 10, 5), last, true},
		{"copy with a token that the agent has replaced", heartbeat(3, 10, 4), last, true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			if got := progress.IsStaleCopy(test.h, test.now); got != test.want {
				t.Errorf("IsStaleCopy = %v, want %v", got, test.want)
			}
		})
	}
}

func TestIsStaleCopySettlesSequences(t *testing.T) {
	// From an epoch begun at second 1, the heartbeat of second 7 is the first after a reply
	// timeout, and that of second 13 the next: then the one of second 7 is settled.
	tests := []struct {
		name      string
		last      uint64 // sequence of the newest heartbeat, one a second
		wantStale []uint64
		wantNot   []uint64
	}{
		{"nothing is settled within the first reply timeout", 6, nil, []uint64{1, 6}},
		{"nothing is settled until a sequence has been known for a reply timeout", 12, nil, []uint64{1, 7, 12}},
		{"known for a reply timeout", 13, []uint64{1, 6, 7}, []uint64{8, 13}},
		{"known for another reply timeout", 19, []uint64{1, 12, 13}, []uint64{14, 19}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			progress := observed(t, upTo(test.last)...)
			now := micros.Time(test.last) * micros.Second
			checkStale(t, progress, now, test.wantStale, true)
			checkStale(t, progress, now, test.wantNot, false)
			progress.BeginEpoch(4, now)
			progress.Observe(heartbeat(4, 2, 5), now)
			if progress.IsStaleCopy(heartbeat(4, 1, 5), now) {
				t.Error("a sequence of the epoch before is still settled in the new one")
			}
		})
	}
}

// upTo returns the sequences from 1 to last.
func upTo(last uint64) []uint64 {
	var sequences []uint64
	for s := range last {
		sequences = append(sequences, s+1)
	}
	return sequences
}

// checkStale checks whether copies of heartbeats that were observed are stale.
func checkStale(t *testing.T, progress *HeartbeatState, now micros.Time, sequences []uint64, want bool) {
	t.Helper()
	for _, s := range sequences {
		if got := progress.IsStaleCopy(heartbeat(3, s, 5), now); got != want {
			t.Errorf("IsStaleCopy = %v for sequence %d, want %v", got, s, want)
		}
	}
}

func TestShowsRestart(t *testing.T) {
	tests := []struct {
		name          string
		h             *messages.Heartbeat
		acquiredToken uint64
		want          bool
	}{
		{"same token", heartbeat(3, 8, 5), 5, false},
		{"higher token", heartbeat(3, 8, 6), 5, false},
		{"lower token within the epoch", heartbeat(3, 8, 4), 5, true},
		{"lower token, both under this lease", heartbeat(3, 8, 4), 3, true},
		{"lower token in a later epoch", heartbeat(4, 1, 4), 5, false},
		{"lower token, but the higher one is of a former leader", heartbeat(3, 8, 4), 6, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			progress := observed(t, 7)
			if got := progress.ShowsRestart(test.h, test.acquiredToken); got != test.want {
				t.Errorf("ShowsRestart = %v, want %v", got, test.want)
			}
		})
	}
}

func TestObserveKeepsHighestToken(t *testing.T) {
	progress := observed(t, 7)
	progress.Observe(heartbeat(3, 8, 2), 3*micros.Second)
	if !progress.ShowsRestart(heartbeat(3, 9, 4), 5) {
		t.Error("a heartbeat with a low token made the agent's highest token forgotten")
	}
}

func TestBeginEpoch(t *testing.T) {
	t.Run("first epoch is the boot", func(t *testing.T) {
		progress := &HeartbeatState{}
		if progress.HasHeartbeat() || progress.BootedWithin(micros.Second, 0) {
			t.Error("a machine without heartbeats counts as booted")
		}
		progress.BeginEpoch(3, 10*micros.Second)
		if !progress.HasHeartbeat() || progress.Epoch() != 3 || progress.Reconciled() {
			t.Errorf("heard %v, epoch %d, reconciled %v", progress.HasHeartbeat(), progress.Epoch(), progress.Reconciled())
		}
		if !progress.BootedWithin(micros.Second, 11*micros.Second-1) {
			t.Error("no boot within a second before a second is over")
		}
		if progress.BootedWithin(micros.Second, 11*micros.Second) {
			t.Error("a boot within a second when a second is over")
		}
	})
	t.Run("later epoch is no boot and needs a new acknowledgement", func(t *testing.T) {
		progress := observed(t, 7)
		progress.BeginEpoch(4, 100*micros.Second)
		if progress.Acknowledged(5) {
			t.Error("the token acknowledged in the epoch before still counts")
		}
		if progress.BootedWithin(10*micros.Second, 100*micros.Second) {
			t.Error("a later epoch counts as the boot")
		}
	})
	t.Run("does not reconcile", func(t *testing.T) {
		progress := observed(t, 7)
		progress.BeginEpoch(4, 100*micros.Second)
		if progress.Reconciled() {
			t.Error("unreconciled agent is reconciled by a new epoch: a former leader may have started tasks in it")
		}
	})
	t.Run("keeps a reconciled agent reconciled", func(t *testing.T) {
		progress := observed(t, 7)
		progress.Reconcile()
		progress.BeginEpoch(4, 100*micros.Second)
		if !progress.Reconciled() {
			t.Error("reconciled agent is unreconciled in a new epoch")
		}
	})
	t.Run("ends the expiry of the lease", func(t *testing.T) {
		progress := observed(t, 7)
		progress.ExpireLease()
		progress.BeginEpoch(4, 100*micros.Second)
		if progress.LeaseExpired() {
			t.Error("lease is still expired in the new epoch")
		}
	})
}

func TestUsable(t *testing.T) {
	const token = 5
	tests := []struct {
		name   string
		change func(*HeartbeatState)
		want   bool
	}{
		{"reconciled under this token", func(*HeartbeatState) {}, true},
		{"acknowledged an earlier token", func(p *HeartbeatState) { p.Acknowledge(token - 1) }, false},
		{"lease expired", func(p *HeartbeatState) { p.ExpireLease(); p.Acknowledge(token) }, false},
		{"never heard from", func(p *HeartbeatState) { *p = HeartbeatState{}; p.Reconcile(); p.Acknowledge(token) }, false},
		{"not reconciled", func(p *HeartbeatState) { *p = *observed(t, 7) }, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			progress := observed(t, 7)
			progress.Reconcile()
			test.change(progress)
			if got := progress.Usable(token); got != test.want {
				t.Errorf("Usable = %v, want %v", got, test.want)
			}
		})
	}
}

func TestExpireLease(t *testing.T) {
	progress := observed(t, 7)
	progress.ExpireLease()
	if !progress.LeaseExpired() || !progress.Reconciled() || progress.Acknowledged(5) {
		t.Errorf("expired %v, reconciled %v, token acknowledged %v, want true, true, false",
			progress.LeaseExpired(), progress.Reconciled(), progress.Acknowledged(5))
	}
}
