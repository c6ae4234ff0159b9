package coordination

import (
	"pipitlatch/internal/coordination/messages"
	"pipitlatch/internal/workload"
)

// oversizedMachine finds the most expensive machine that is kept for so few replicas that
// smaller ones would do for much less, and that the arrays do not need; nil: there is none.
func (p *partitionLeader) oversizedMachine(service *job) *machine {
	if service == nil {
		return nil
	}
	load := p.cpuLoad()
	arrays := max(load.arrays, p.consolidation.recentArrayCPU)
	lowestPrice := p.lowestPrice()
	var found *machine
	for _, m := range p.machines {
		if m.instanceType == nil || m.record.Spot || !p.schedulable(m) ||
			p.core.now-m.lifecycle.addedAt < minMachineAge {
			continue
		}
		replicas, besidesReplicas := replicaLoad(m)
		if replicas == 0 || arraysNeed(arrays, load.capacity-load.services-besidesReplicas) {
			continue
		}
		if found != nil && m.instanceType.Price <= found.instanceType.Price {
			continue
		}
		for _, t := range p.core.catalog.Types() {
			saved, smaller := savedByReplacing(m.instanceType, t, service, replicas)
			if smaller && service.AllowsInstanceType(t.Name) && saved >= lowestPrice {
				found = m
				break
			}
		}
	}
	return found
}

// savedByReplacing is what it saves to run a number of replicas on machines of a smaller
// instance type; ok is false if the other type is none.
func savedByReplacing(large, smaller *workload.InstanceType, service *job, replicas int) (saved float64, ok bool) {
	perMachine := int(service.Resources.Count(smaller.Capacity))
	if perMachine == 0 || smaller.Capacity.CPU >= large.Capacity.CPU {
		return 0, false
	}
	machines := (replicas + perMachine) / perMachine
	return large.Price - float64(machines)*smaller.Price, true
}

// replicaLoad is how many replicas are on a machine, and the CPU that they do not use.
func replicaLoad(m *machine) (replicas int, besides int64) {
	besides = m.instanceType.Capacity.CPU
	for _, a := range m.attempts {
		if a.isReplica() {
			replicas++
			besides -= a.resources.CPU
		}
	}
	return replicas, besides
}

// arraysNeed tells whether the CPU that arrays use would take more than most of what is there.
func arraysNeed(arrays, available int64) bool { return arrays > available*8/10 }

// lowestPrice is the lowest price of an ordinary machine.
func (p *partitionLeader) lowestPrice() float64 {
	lowest := 0.0
	for _, t := range p.core.catalog.Types() {
		if lowest == 0 || t.Price < lowest {
			lowest = t.Price
		}
	}
	return lowest
}

// cpuLoad is the CPU that arrays and services use, and all there is.
type cpuLoad struct{ arrays, services, capacity int64 }

// cpuLoad is that of the machines that take tasks.
func (p *partitionLeader) cpuLoad() cpuLoad {
	var load cpuLoad
	for _, m := range p.machines {
		if m.instanceType == nil || !p.schedulable(m) {
			continue
		}
		load.capacity += m.instanceType.Capacity.CPU
		for _, a := range m.attempts {
			switch {
			case a.state == messages.Exited:
			case a.isReplica():
				load.services += a.resources.CPU
			default:
				load.arrays += a.resources.CPU
			}
		}
	}
	return load
}
