package coordination

import (
	"pipitlatch/internal/coordination/messages"
	"pipitlatch/internal/workload"
)

// oversizedMachine returns the most expensive on-demand machine whose service replicas could run on
// smaller machines at a saving of at least the lowest on-demand price, and whose capacity arrays do not
// need. It returns nil if there is none.
func (p *partitionLeader) oversizedMachine(service *job) *machine {
	if service == nil {
		return nil
	}
	load := p.measureCPULoad()
	arrays := max(load.arrays, p.consolidation.recentArrayCPU)
	lowestPrice := p.lowestOnDemandPrice()
	var found *machine
	for _, m := range p.machines {
		if m.instanceType == nil || m.record.Spot || !p.schedulable(m) ||
			p.core.now-m.lifecycle.addedAt < minMachineAge {
			continue
		}
		replicas, otherCPU := replicaLoad(m)
		if replicas == 0 || exceedsArrayLoadLimit(arrays, load.capacity-load.services-otherCPU) {
			continue
		}
		if found != nil && m.instanceType.Price <= found.instanceType.Price {
			continue
		}
		for _, t := range p.core.catalog.Types() {
			saved, smaller := replacementSavings(m.instanceType, t, service, replicas)
			if smaller && service.AllowsInstanceType(t.Name) && saved >= lowestPrice {
				found = m
				break
			}
		}
	}
	return found
}

// replacementSavings returns how much is saved by replacing a large machine with machines of a smaller
// instance type. These must have room for its replicas and one extra, so that one may be lost. ok is
// false if that type is not smaller or has no room for a replica.
func replacementSavings(large, smaller *workload.InstanceType, service *job, replicas int) (saved float64, ok bool) {
	perMachine := int(service.Resources.Count(smaller.Capacity))
	if perMachine == 0 || smaller.Capacity.CPU >= large.Capacity.CPU {
		return 0, false
	}
	machines := (replicas + perMachine) / perMachine
	return large.Price - float64(machines)*smaller.Price, true
}

// replicaLoad returns the number of service replicas on a machine, and the CPU that they do not use.
func replicaLoad(m *machine) (replicas int, otherCPU int64) {
	otherCPU = m.instanceType.Capacity.CPU
	for _, a := range m.attempts {
		if a.isReplica() {
			replicas++
			otherCPU -= a.resources.CPU
		}
	}
	return replicas, otherCPU
}

// exceedsArrayLoadLimit reports whether arrays use more than 80% of the CPU that would be available to them.
func exceedsArrayLoadLimit(arrays, available int64) bool { return arrays > available*8/10 }

// lowestOnDemandPrice returns the lowest on-demand price in the catalog.
func (p *partitionLeader) lowestOnDemandPrice() float64 {
	lowest := 0.0
	for _, t := range p.core.catalog.Types() {
		if lowest == 0 || t.Price < lowest {
			lowest = t.Price
		}
	}
	return lowest
}

// cpuLoad is the CPU used by arrays and by services, and the total capacity.
type cpuLoad struct{ arrays, services, capacity int64 }

// measureCPULoad returns the CPU load of the schedulable machines.
func (p *partitionLeader) measureCPULoad() cpuLoad {
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
