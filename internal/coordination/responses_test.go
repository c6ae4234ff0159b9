package coordination

import "testing"

// TestReasonTextsAreStable: the texts are part of the wire protocol and must not change between
// versions.
func TestReasonTextsAreStable(t *testing.T) {
	unavailable := map[unavailableReason]string{
		storeUnavailable:      "the state service does not answer",
		olderVersionRunning:   "an older version is still running",
		concurrentChange:      "try again",
		starting:              "starting",
		unknownMachine:        "unknown machine",
		noClusterLeader:       "no leader",
		noPartitionLeader:     "no holder",
		staleHeartbeat:        "old report",
		machineDecommissioned: "machine is given up",
	}
	for reason, want := range unavailable {
		if got := reason.String(); got != want {
			t.Errorf("%q, want %q", got, want)
		}
	}
	unschedulable := map[unschedulableReason]string{
		unknownTeam:        "unknown team",
		exceedsTeamLimit:   "needs more than the team's limit",
		fitsNoInstanceType: "a task fits no allowed machine type",
		recordTooLarge:     "its description is too long to be kept",
		dependsOnItself:    "it waits on itself",
		dependsOnUnknownJob.withDependency("wk-000001"): "it waits on a job that was never accepted: wk-000001",
		dependsOnService.withDependency("wk-000001"):    "it waits on a service: wk-000001",
	}
	for reason, want := range unschedulable {
		if got := reason.String(); got != want {
			t.Errorf("%q, want %q", got, want)
		}
	}
}
