package agents

import (
	"testing"

	"pipitlatch/internal/coordination/messages"
	"pipitlatch/internal/micros"
)

// heartbeat returns a heartbeat with the fields that HeartbeatState uses.
func heartbeat(epoch, sequence, token uint64) *messages.Heartbeat {
	return &messages.Heartbeat{AgentEpoch: epoch, Sequence: sequence, FencingToken: token}
}

// observed returns the state after heartbeats of epoch 3, one per second starting at 1 s, all with
// fencing token 5.
func observed(t *testing.T, sequences ...uint64) *HeartbeatState {
	t.Helper()
	const epoch, token = 3, 5
	state := &HeartbeatState{}
	now := micros.Second
	state.BeginEpoch(epoch, now)
	for _, sequence := range sequences {
		h := heartbeat(epoch, sequence, token)
		if !state.IsNewer(h) {
			t.Fatalf("sequence %d does not follow %v", sequence, state.Position())
		}
		state.Observe(h, now)
		state.Acknowledge(token)
		now += micros.Second
	}
	return state
}

func TestIsNewer(t *testing.T) {
	tests := []struct {
		name  string
		state *HeartbeatState
		h     *messages.Heartbeat
		want  bool
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
			if got := test.state.IsNewer(test.h); got != test.want {
				t.Errorf("IsNewer = %v at %v, want %v", got, test.state.Position(), test.want)
			}
		})
	}
}

func TestIsStaleCopy(t *testing.T) {
	// The last heartbeat arrives at 10 s. No sequence has timed out by then: the first one recorded
	// is 7, at 7 s, and it would time out only with a heartbeat more than a reply timeout later.
	state := observed(t, 1, 2, 3, 4, 5, 6, 7, 8, 9, 10)
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
		{"copy of one that has not timed out may still wait", heartbeat(3, 8, 5), last + micros.Second, false},
		{"copy at the end of the reply timeout", heartbeat(3, 10, 5), last + ReplyTimeout, false},
		{"copy after the reply timeout", heartbeat(3, 10, 5), last + ReplyTimeout + 1, true},
		{"copy of an earlier epoch", heartbeat(2, 10, 5), last, true},
		{"copy with a token that the agent has replaced", heartbeat(3, 10, 4), last, true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			if got := state.IsStaleCopy(test.h, test.now); got != test.want {
				t.Errorf("IsStaleCopy = %v, want %v", got, test.want)
			}
		})
	}
}

func TestIsStaleCopyTimedOutSequence(t *testing.T) {
	// In an epoch that began at 1 s, the heartbeat at 7 s is the first one after a full reply
	// timeout, and the one at 13 s the next: at that point sequence 7 and all earlier ones have
	// timed out.
	tests := []struct {
		name      string
		last      uint64 // sequence of the newest heartbeat, one per second
		wantStale []uint64
		wantFresh []uint64
	}{
		{"nothing times out within the first reply timeout", 6, nil, []uint64{1, 6}},
		{"nothing times out until a sequence has been known for a reply timeout", 12, nil, []uint64{1, 7, 12}},
		{"known for a reply timeout", 13, []uint64{1, 6, 7}, []uint64{8, 13}},
		{"known for another reply timeout", 19, []uint64{1, 12, 13}, []uint64{14, 19}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			state := observed(t, upTo(test.last)...)
			now := micros.Time(test.last) * micros.Second
			checkStale(t, state, now, test.wantStale, true)
			checkStale(t, state, now, test.wantFresh, false)
			state.BeginEpoch(4, now)
			state.Observe(heartbeat(4, 2, 5), now)
			if state.IsStaleCopy(heartbeat(4, 1, 5), now) {
				t.Error("a sequence that timed out in the previous epoch still counts as timed out in the new one")
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

// checkStale checks whether duplicates of observed heartbeats are classified as stale.
func checkStale(t *testing.T, state *HeartbeatState, now micros.Time, sequences []uint64, want bool) {
	t.Helper()
	for _, s := range sequences {
		if got := state.IsStaleCopy(heartbeat(3, s, 5), now); got != want {
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
			state := observed(t, 7)
			if got := state.ShowsRestart(test.h, test.acquiredToken); got != test.want {
				t.Errorf("ShowsRestart = %v, want %v", got, test.want)
			}
		})
	}
}

func TestObserveKeepsHighestToken(t *testing.T) {
	state := observed(t, 7)
	state.Observe(heartbeat(3, 8, 2), 3*micros.Second)
	if !state.ShowsRestart(heartbeat(3, 9, 4), 5) {
		t.Error("a heartbeat with a lower token reset the agent's highest token")
	}
}

func TestBeginEpoch(t *testing.T) {
	t.Run("first epoch is the boot", func(t *testing.T) {
		state := &HeartbeatState{}
		if state.HasHeartbeat() || state.BootedWithin(micros.Second, 0) {
			t.Error("agent counts as booted before its first heartbeat")
		}
		state.BeginEpoch(3, 10*micros.Second)
		if !state.HasHeartbeat() || state.Epoch() != 3 || state.Reconciled() {
			t.Errorf("has heartbeat %v, epoch %d, reconciled %v", state.HasHeartbeat(), state.Epoch(), state.Reconciled())
		}
		if !state.BootedWithin(micros.Second, 11*micros.Second-1) {
			t.Error("boot is not within the last second, although less than a second has passed")
		}
		if state.BootedWithin(micros.Second, 11*micros.Second) {
			t.Error("boot is within the last second, although a full second has passed")
		}
	})
	t.Run("later epoch is no boot and needs a new acknowledgement", func(t *testing.T) {
		state := observed(t, 7)
		state.BeginEpoch(4, 100*micros.Second)
		if state.Acknowledged(5) {
			t.Error("the token acknowledged in the previous epoch still counts")
		}
		if state.BootedWithin(10*micros.Second, 100*micros.Second) {
			t.Error("a later epoch counts as the boot")
		}
	})
	t.Run("does not reconcile", func(t *testing.T) {
		state := observed(t, 7)
		state.BeginEpoch(4, 100*micros.Second)
		if state.Reconciled() {
			t.Error("new epoch made an unreconciled agent reconciled: a former leader may have started tasks in it")
		}
	})
	t.Run("keeps a reconciled agent reconciled", func(t *testing.T) {
		state := observed(t, 7)
		state.Reconcile()
		state.BeginEpoch(4, 100*micros.Second)
		if !state.Reconciled() {
			t.Error("new epoch made a reconciled agent unreconciled")
		}
	})
	t.Run("ends the expiry of the lease", func(t *testing.T) {
		state := observed(t, 7)
		state.ExpireLease()
		state.BeginEpoch(4, 100*micros.Second)
		if state.LeaseExpired() {
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
		{"no heartbeat yet", func(p *HeartbeatState) { *p = HeartbeatState{}; p.Reconcile(); p.Acknowledge(token) }, false},
		{"not reconciled", func(p *HeartbeatState) { *p = *observed(t, 7) }, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			state := observed(t, 7)
			state.Reconcile()
			test.change(state)
			if got := state.Usable(token); got != test.want {
				t.Errorf("Usable = %v, want %v", got, test.want)
			}
		})
	}
}

func TestExpireLease(t *testing.T) {
	state := observed(t, 7)
	state.ExpireLease()
	if !state.LeaseExpired() || !state.Reconciled() || state.Acknowledged(5) {
		t.Errorf("expired %v, reconciled %v, token acknowledged %v, want true, true, false",
			state.LeaseExpired(), state.Reconciled(), state.Acknowledged(5))
	}
}

// TestRestartDiscardsProcess guards against a right of the former process that is taken to hold for the present one.
func TestRestartDiscardsProcess(t *testing.T) {
	state := observed(t, 3, 4)
	state.Acknowledge(5)
	state.Reconcile()
	state.Restart(1)
	if state.Usable(5) || state.Acknowledged(5) || !state.Restarted() || state.Epoch() != 1 {
		t.Errorf("usable %v, acknowledged %v, restarted %v, epoch %d after a restart",
			state.Usable(5), state.Acknowledged(5), state.Restarted(), state.Epoch())
	}
	if !state.Reconciled() {
		t.Error("a restart makes the attempts known for the machine unknown")
	}
}
