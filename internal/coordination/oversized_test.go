package coordination

import (
	"testing"

	"pipitlatch/internal/workload"
)

func TestReplacementSavings(t *testing.T) {
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
		// The smaller machines must have room for one extra replica, so that one may be lost.
		{"one smaller machine holds all replicas", instanceType(8000, 2), 3, 6, true},
		{"another machine for the extra replica", instanceType(8000, 2), 4, 4, true},
		{"type of the same size", instanceType(32_000, 1), 1, 0, false},
		{"type too small for a replica", instanceType(1000, 1), 1, 0, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			saved, ok := replacementSavings(large, &c.smaller, service, c.replicas)
			if saved != c.want || ok != c.ok {
				t.Errorf("got %v, %v; want %v, %v", saved, ok, c.want, c.ok)
			}
		})
	}
}
