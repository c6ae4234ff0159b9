package storage

import "slices"

// applyBlock applies a block's record and returns the machines that it affects.
func (c *Cache) applyBlock(name string, item Item) (machines []string, changed bool, err error) {
	old := c.Blocks[name].Value.Machines
	changed, err = applyToMap(c.Blocks, name, item)
	if !changed {
		return nil, false, err
	}
	block := c.Blocks[name].Value // the zero record if it was deleted
	for machine := range old {
		// A move to another block is a single transaction. If the other block's record was applied
		// first, the machine already belongs to that block.
		if _, ok := block.Machines[machine]; !ok && c.Machines[machine].Value.Block == name {
			delete(c.Machines, machine)
			c.restoreFromOtherBlock(machine)
			machines = append(machines, machine)
		}
	}
	for machine, record := range block.Machines {
		// Two records list the machine while it moves, or because an older version adopted an
		// instance that was being requested. It may have tasks if either record says so.
		if cached, ok := c.Machines[machine]; ok && cached.Value.Block != name && cached.Value.Used {
			record.Used = true
		}
		c.Machines[machine] = newMachine(name, block, record, item.ModRevision)
		machines = append(machines, machine)
	}
	slices.Sort(machines)
	return machines, true, nil
}

// restoreFromOtherBlock restores a machine from another block that lists it, after its former block no
// longer does.
func (c *Cache) restoreFromOtherBlock(machine string) {
	for name, block := range c.Blocks {
		if record, ok := block.Value.Machines[machine]; ok {
			c.Machines[machine] = newMachine(name, block.Value, record, block.ModRevision)
			return
		}
	}
}

func newMachine(name string, block BlockRecord, record MachineRecord, modRevision uint64) Versioned[Machine] {
	return Versioned[Machine]{
		Value: Machine{
			MachineRecord: record,
			Block:         name,
			Partition:     block.Partition,
			InstanceType:  block.InstanceType,
			Zone:          block.Zone,
			Spot:          block.Spot,
		},
		ModRevision: modRevision,
	}
}
