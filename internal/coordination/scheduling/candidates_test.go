package scheduling

import (
	"testing"

	"pipitlatch/internal/micros"
	"pipitlatch/internal/workload"
)

// gap is a machine's gap at a time, for a task of ten seconds.
func gap(m *Machine, tardiness float64, ready micros.Time) *candidate {
	return &candidate{slot: Slot{Machine: m, Start: ready, Length: 10 * s, Tardiness: tardiness}, ready: ready, ok: true}
}

// with is a machine that has service replicas.
func with(m *Machine, replicas int) *Machine {
	m.Replicas = replicas
	return m
}

// busy is a machine that has CPUs in use for five seconds.
func busy(m *Machine, cpu int64) *Machine {
	m.Timeline.Reserve(need(cpu), 0, 5*s)
	return m
}

// TestBetterPrefers: what decides between two gaps, each case by the first thing that differs,
// while what would decide after it says the opposite.
func TestBetterPrefers(t *testing.T) {
	const array, service = workload.Array, workload.Service
	for _, c := range []struct {
		name          string
		kind          workload.JobKind
		better, worse *candidate
	}{
		{"a gap to none", array,
			gap(machine(2, false, 0), 9, 9*s), &candidate{}},
		{"less tardiness to an early start", array,
			gap(machine(2, false, 0), 1, 9*s), gap(machine(1, true, 0), 2, 0)},
		{"what is ready first to a spot machine", array,
			gap(machine(2, false, 0), 0, 0), gap(machine(1, true, 0), 0, startTieWindow)},
		{"for an array a spot machine to what adds less", array,
			gap(machine(2, true, 0), 0, 0), gap(machine(1, false, 20*s), 0, 0)},
		{"for an array what adds less to the fuller machine", array,
			gap(machine(2, false, 20*s), 0, 20*s), gap(busy(machine(1, false, 15*s), 4), 0, 20*s)},
		{"the fuller machine to the first", array,
			gap(busy(machine(2, false, 0), 4), 0, 5*s), gap(busy(machine(1, false, 0), 1), 0, 5*s)},
		{"the first of two alike", array,
			gap(machine(1, false, 0), 0, 0), gap(machine(2, false, 0), 0, startTieWindow-1)},
		{"for a replica more of them below the limit", service,
			gap(with(machine(2, true, 0), 2), 0, 0), gap(with(busy(machine(1, false, 0), 4), 1), 0, 0)},
		{"for a replica fewer of them from the limit on", service,
			gap(with(machine(2, false, 0), 3), 0, 0), gap(with(busy(machine(1, false, 0), 4), 4), 0, 0)},
		{"for a replica fewer where one is at the limit", service,
			gap(with(machine(2, false, 0), 2), 0, 0), gap(with(busy(machine(1, false, 0), 4), 3), 0, 0)},
		{"for a replica the fuller of two alike, spot or not", service,
			gap(busy(machine(2, false, 0), 4), 0, 0), gap(machine(1, true, 0), 0, 0)},
	} {
		t.Run(c.name, func(t *testing.T) {
			j := &workload.Job{Kind: c.kind}
			if !better(j, 3, c.better, c.worse) {
				t.Error("not preferred")
			}
			if better(j, 3, c.worse, c.better) {
				t.Error("the other one is preferred, too")
			}
		})
	}
}
