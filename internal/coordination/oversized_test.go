package coordination

import (
	"testing"

	"pipitlatch/internal/workload"
)

func TestSavedByReplacing(t *testing.T) {
	large := &workload.InstanceType{Name: "l", Capacity: workload.Resources{CPU: 32_000, Mem: 64_000}, Price: 8}
	service := &job{Job: &workload.Job{Resources: workload.Resources{CPU: 2000, Mem: 1000}}}
	instanceType := func(cpu int64, price float64) workload.InstanceType {
		return workload.InstanceType{Capacity: workload.Resources{CPU: cpu, Mem: 64_000}, Price: price}
	}
	for _, c := range []struct {
		name     string
		smaller  workload.InstanceType
		replicas int
		want     float64
		ok       bool
	}{
		// One replica more than there are, so that one may be lost.
		{"one machine takes all", instanceType(8000, 2), 3, 6, true},
		{"one more when it is full", instanceType(8000, 2), 4, 4, true},
		{"not of the same size", instanceType(32_000, 1), 1, 0, false},
		{"not where a replica does not fit", instanceType(1000, 1), 1, 0, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			saved, ok := savedByReplacing(large, &c.smaller, service, c.replicas)
			if saved != c.want || ok != c.ok {
				t.Errorf("saved %v %v, want %v %v", saved, ok, c.want, c.ok)
			}
		})
	}
}
