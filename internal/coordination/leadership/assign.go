package leadership

import (
	"slices"

	"pipitlatch/internal/storage"
)

// Assignment makes a process the leader of a partition.
type Assignment struct {
	Partition int
	Record    storage.PartitionRecord
}

// Assign returns the assignments that the cluster leader has to write. Every partition without a
// live leader is assigned to the live process that reaches the most of its machines, as far as
// known; ties are broken in favor of the process that leads the fewest partitions, then of the
// cluster leader. Processes to avoid, which may include the cluster leader, are assigned no
// partition and lose those they lead, unless all live processes are to be avoided.
func Assign(cache *storage.Cache, partitions int, clusterLeader storage.Process,
	avoid func(storage.Process) bool, reach func(process storage.Process, partition int) int) []Assignment {
	members := cache.LiveMembers()
	if !slices.Contains(members, clusterLeader) {
		return nil // the change stream has not delivered this process's own registration yet
	}
	usable := slices.DeleteFunc(slices.Clone(members), avoid)
	if len(usable) == 0 {
		usable = members
	}
	c := newCandidates(cache, partitions, usable, clusterLeader, reach)
	var assignments []Assignment
	for partition := range partitions {
		if present, ok := cache.Partitions[partition]; ok && slices.Contains(usable, present.Value.Leader) {
			continue
		}
		leader := c.choose(partition)
		assignments = append(assignments, Assignment{Partition: partition, Record: storage.PartitionRecord{
			Leader:        leader,
			FormerLeaders: formerLeaders(cache, partition, leader),
		}})
	}
	return assignments
}

// candidates are the processes that may lead a partition.
type candidates struct {
	processes []storage.Process
	preferred storage.Process // in case of a tie; always one of processes
	load      map[storage.Process]int
	reach     func(process storage.Process, partition int) int
}

func newCandidates(cache *storage.Cache, partitions int, processes []storage.Process, preferred storage.Process,
	reach func(storage.Process, int) int) *candidates {
	c := &candidates{processes: processes, preferred: processes[0], load: map[storage.Process]int{}, reach: reach}
	if slices.Contains(processes, preferred) {
		c.preferred = preferred
	}
	for partition := range partitions {
		if p, ok := cache.Partitions[partition]; ok && slices.Contains(processes, p.Value.Leader) {
			c.load[p.Value.Leader]++
		}
	}
	return c
}

// choose returns the process that is to lead a partition and adds the partition to its load.
func (c *candidates) choose(partition int) storage.Process {
	best := c.preferred
	for _, process := range c.processes {
		reached, most := c.reach(process, partition), c.reach(best, partition)
		if reached > most || (reached == most && c.load[process] < c.load[best]) {
			best = process
		}
	}
	c.load[best]++
	return best
}

// formerLeaders returns the previous leaders of the partition, except the new one, that are not
// known to be dead. A new leader must wait until none of them can act any more.
func formerLeaders(cache *storage.Cache, partition int, leader storage.Process) []storage.Process {
	present, ok := cache.Partitions[partition]
	if !ok {
		return nil
	}
	var former []storage.Process
	for _, process := range append(slices.Clone(present.Value.FormerLeaders), present.Value.Leader) {
		if !cache.Dead(process) && process != leader && !slices.Contains(former, process) {
			former = append(former, process)
		}
	}
	return former
}
