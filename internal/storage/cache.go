package storage

import (
	"encoding/json"
	"slices"
	"strings"

	"pipitlatch/internal/workload"
)

// Cache is a controller's copy of the key-value store, built from one snapshot and one ordered
// stream of changes.
type Cache struct {
	Keys          Keys
	Revision      uint64
	ClusterLeader Versioned[Process]
	Catalog       Versioned[workload.Catalog]
	Members       map[string]Versioned[Process]
	Partitions    map[int]Versioned[PartitionRecord]
	Blocks        map[string]Versioned[BlockRecord] // by name
	Machines      map[string]Versioned[Machine]     // of all blocks
	Jobs          map[string]*JobEntry
	Archived      bool // jobs that ended long ago were moved out of Jobs into the archive

	// Admission is the record of the admission epoch as it is stored; package admission parses it.
	Admission Versioned[json.RawMessage]

	MemberFormats map[string]int // by member: the format of records that its version writes
	Format        int            // the format that may be written

	dependencyGraph
	catalogParts map[string]Versioned[workload.Catalog] // by key
	// completedBeforeJob are completed segments that came before the record of their job.
	completedBeforeJob map[string]map[int]Item
}

// NewCache returns an empty cache of the records below the keys' prefix.
func NewCache(keys Keys) *Cache {
	return &Cache{
		Keys:               keys,
		Members:            map[string]Versioned[Process]{},
		Partitions:         map[int]Versioned[PartitionRecord]{},
		Blocks:             map[string]Versioned[BlockRecord]{},
		Machines:           map[string]Versioned[Machine]{},
		Jobs:               map[string]*JobEntry{},
		MemberFormats:      map[string]int{},
		dependencyGraph:    newDependencyGraph(),
		catalogParts:       map[string]Versioned[workload.Catalog]{},
		completedBeforeJob: map[string]map[int]Item{},
	}
}

// SnapshotComplete ends the loading of a snapshot: completed segments whose job does not exist
// are dropped.
func (c *Cache) SnapshotComplete() { clear(c.completedBeforeJob) }

// Live tells whether a process is registered.
func (c *Cache) Live(p Process) bool {
	v, ok := c.Members[p.Member]
	return ok && v.Value == p
}

// Dead tells whether a process has surely ended: a newer process of the same member is
// registered. A missing registration only shows that the member lease expired.
func (c *Cache) Dead(p Process) bool {
	v, ok := c.Members[p.Member]
	return ok && v.Value != p
}

// LiveMembers are the registered processes in order of their names.
func (c *Cache) LiveMembers() []Process {
	members := make([]Process, 0, len(c.Members))
	for _, v := range c.Members {
		members = append(members, v.Value)
	}
	slices.SortFunc(members, func(a, b Process) int { return strings.Compare(a.Member, b.Member) })
	return members
}
