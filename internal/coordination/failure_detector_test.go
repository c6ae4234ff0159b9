package coordination

import (
	"slices"
	"testing"

	"pipitlatch/internal/coordination/failuredetector"
	"pipitlatch/internal/coordination/messages"
	"pipitlatch/internal/micros"
	"pipitlatch/internal/storage"
)

var probingPeer = storage.Process{Member: "n2", Incarnation: "x"}

// receiveProbeResult records a peer's status with a probe result as received the given time ago.
func receiveProbeResult(p *partitionLeader, from storage.Process, age micros.Time, result messages.ZoneReachability) {
	p.core.peers.Receive(p.core.now-age, &messages.PeerStatus{
		From: from, Reachability: []messages.ZoneReachability{result},
	})
}

func TestPeerVerdict(t *testing.T) {
	reached := messages.ZoneReachability{Zone: "a", Probed: 8, Answered: 4}
	tests := []struct {
		name   string
		from   storage.Process
		age    micros.Time
		result messages.ZoneReachability
		want   failuredetector.PeerVerdict
	}{
		{"a peer reaches the zone", probingPeer, 2 * micros.Second, reached, failuredetector.PeerVerdict{Reached: true}},
		{"a peer does not reach the zone",
			probingPeer, 0, messages.ZoneReachability{Zone: "a", Probed: 8, Answered: 3}, failuredetector.PeerVerdict{}},
		{"a peer probed another zone",
			probingPeer, 0, messages.ZoneReachability{Zone: "b", Probed: 8, Answered: 8},
			failuredetector.PeerVerdict{Pending: 1}},
		{"a peer probed another partition's machines in the zone",
			probingPeer, 0, messages.ZoneReachability{Partition: 1, Zone: "a", Probed: 8, Answered: 8},
			failuredetector.PeerVerdict{Pending: 1}},
		{"a peer whose status is too old", probingPeer, 2*micros.Second + 1, reached, failuredetector.PeerVerdict{}},
		{"the partition leader itself", storage.Process{Member: "n0"}, 0, reached, failuredetector.PeerVerdict{}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			p, _ := newLeaderWithTasks(t)
			p.core.now = 100 * micros.Second
			receiveProbeResult(p, test.from, test.age, test.result)
			if got := (detectorView{p}).PeerVerdict("a"); got != test.want {
				t.Errorf("verdict %+v, want %+v", got, test.want)
			}
		})
	}
}

// TestSilentZone checks that every second machine of a silent zone is probed if possible, and that the
// next status is sent early, so that the peers probe the zone as well.
func TestSilentZone(t *testing.T) {
	p, _ := newLeaderWithTasks(t)
	p.probeQueue = nil
	p.machines[0].contact.Probed(p.core.now + p.suspicionTimeout()) // probed just before the check
	p.machines[2].address = ""
	p.machines[4].commands.CallStarted()

	p.core.now += p.suspicionTimeout()
	p.core.output = &messages.Output{}
	p.core.status.soon = false
	p.checkZones()

	var want []*machine
	for i := 6; i < len(p.machines); i += 2 {
		want = append(want, p.machines[i])
	}
	if !slices.Equal(p.probeQueue, want) {
		t.Errorf("%d machines queued for a probe, want every second one from the seventh: %d", len(p.probeQueue), len(want))
	}
	if got := countLogRecords(p, "zone unreachable"); got != 1 || !p.core.status.soon {
		t.Errorf("%d log records, status sent early: %v; want 1, true", got, p.core.status.soon)
	}
	if got := p.detector.UnreachableZones(); !slices.Equal(got, []string{"a"}) {
		t.Errorf("unreachable zones %v, want a", got)
	}
}

func TestInheritUnreachableZones(t *testing.T) {
	tests := []struct {
		name   string
		age    micros.Time
		status messages.PartitionStatus
		want   []string
	}{
		{"this partition",
			4 * micros.Second, messages.PartitionStatus{UnreachableZones: []string{"b", "a"}}, []string{"a", "b"}},
		{"another partition", 0, messages.PartitionStatus{Partition: 1, UnreachableZones: []string{"a"}}, nil},
		{"status too old", 4*micros.Second + 1, messages.PartitionStatus{UnreachableZones: []string{"a"}}, nil},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			p, _ := newLeaderWithTasks(t)
			p.core.now = 100 * micros.Second
			p.core.peers.Receive(p.core.now-test.age, &messages.PeerStatus{
				From: probingPeer, Partitions: []messages.PartitionStatus{test.status},
			})
			p.inheritUnreachableZones()
			if got := p.detector.UnreachableZones(); !slices.Equal(got, test.want) {
				t.Errorf("unreachable zones %v, want %v", got, test.want)
			}
		})
	}
}

func TestLastPossibleRenewal(t *testing.T) {
	former := storage.Process{Member: "n2", Incarnation: "w"}
	const acquiredAt, diedAt = 100 * micros.Second, 105 * micros.Second
	p, _ := newLeaderWithTasks(t)
	term := p.core.config.LeadershipTerm()
	tests := []struct {
		name      string
		used      bool
		former    []storage.Process
		dead      bool
		renewedAt micros.Time
		want      micros.Time
	}{
		{"no former leader", true, nil, false, 0, acquiredAt},
		{"former leader may reply until its term ends", true, []storage.Process{former}, false, 0, acquiredAt + term},
		{"former leader known to have died", true, []storage.Process{former}, true, 0, diedAt},
		{"machine not used by the former leader", false, []storage.Process{former}, false, 0, acquiredAt},
		{"later reply of this leader", true, []storage.Process{former}, false, acquiredAt + term + 1, acquiredAt + term + 1},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			p.lease.acquiredAt, p.lease.formerLeaders = acquiredAt, test.former
			clear(p.core.deathTimes)
			if test.dead {
				p.core.deathTimes[former] = diedAt
			}
			m := &machine{record: storage.Machine{MachineRecord: storage.MachineRecord{Used: test.used}}}
			m.contact.Replied(test.renewedAt)
			if got := p.lastPossibleRenewal(m); got != test.want {
				t.Errorf("last possible renewal %d, want %d", got, test.want)
			}
		})
	}
}
