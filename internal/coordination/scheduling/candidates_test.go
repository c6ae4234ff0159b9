package scheduling

import (
	"testing"

	"pipitlatch/internal/micros"
	"pipitlatch/internal/workload"
)

// newCandidate returns a candidate on m for a task of ten seconds that starts at ready.
func newCandidate(m *Machine, tardiness float64, ready micros.Time) *candidate {
	return &candidate{slot: Slot{Machine: m, Start: ready, Length: 10 * s, Tardiness: tardiness}, ready: ready, ok: true}
}

// withReplicas sets the number of service replicas on m.
func withReplicas(m *Machine, replicas int) *Machine {
	m.Replicas = replicas
	return m
}

// withBusyCPUs reserves CPUs on m for five seconds.
func withBusyCPUs(m *Machine, cpu int64) *Machine {
	m.Timeline.Reserve(cpuResources(cpu), 0, 5*s)
	return m
}

// TestBetterPrefers checks the order of the comparison criteria: in most cases, the criterion
// named decides although a lower-ranked criterion favors the other candidate.
func TestBetterPrefers(t *testing.T) {
	const array, service = workload.Array, workload.Service
	for _, c := range []struct {
		name          string
		kind          workload.JobKind
		better, worse *candidate
	}{
		{"a gap over no gap", array,
			newCandidate(newMachine(2, false, 0), 9, 9*s), &candidate{}},
		{"less tardiness over an earlier start", array,
			newCandidate(newMachine(2, false, 0), 1, 9*s), newCandidate(newMachine(1, true, 0), 2, 0)},
		{"an earlier ready time over a spot machine", array,
			newCandidate(newMachine(2, false, 0), 0, 0), newCandidate(newMachine(1, true, 0), 0, startTieWindow)},
		{"array: a spot machine over less added machine time", array,
			newCandidate(newMachine(2, true, 0), 0, 0), newCandidate(newMachine(1, false, 20*s), 0, 0)},
		{"array: less added machine time over less free CPU", array,
			newCandidate(newMachine(2, false, 20*s), 0, 20*s),
			newCandidate(withBusyCPUs(newMachine(1, false, 15*s), 4), 0, 20*s)},
		{"less free CPU over a lower machine index", array,
			newCandidate(withBusyCPUs(newMachine(2, false, 0), 4), 0, 5*s),
			newCandidate(withBusyCPUs(newMachine(1, false, 0), 1), 0, 5*s)},
		{"a lower machine index among equals", array,
			newCandidate(newMachine(1, false, 0), 0, 0), newCandidate(newMachine(2, false, 0), 0, startTieWindow-1)},
		{"service: more replicas below the pack limit", service,
			newCandidate(withReplicas(newMachine(2, true, 0), 2), 0, 0),
			newCandidate(withReplicas(withBusyCPUs(newMachine(1, false, 0), 4), 1), 0, 0)},
		{"service: fewer replicas at or above the pack limit", service,
			newCandidate(withReplicas(newMachine(2, false, 0), 3), 0, 0),
			newCandidate(withReplicas(withBusyCPUs(newMachine(1, false, 0), 4), 4), 0, 0)},
		{"service: fewer replicas if one machine is at the pack limit", service,
			newCandidate(withReplicas(newMachine(2, false, 0), 2), 0, 0),
			newCandidate(withReplicas(withBusyCPUs(newMachine(1, false, 0), 4), 3), 0, 0)},
		{"service: less free CPU, spot or not", service,
			newCandidate(withBusyCPUs(newMachine(2, false, 0), 4), 0, 0), newCandidate(newMachine(1, true, 0), 0, 0)},
	} {
		t.Run(c.name, func(t *testing.T) {
			j := &workload.Job{Kind: c.kind}
			if !better(j, 3, c.better, c.worse) {
				t.Error("the better candidate is not preferred")
			}
			if better(j, 3, c.worse, c.better) {
				t.Error("the worse candidate is preferred")
			}
		})
	}
}
