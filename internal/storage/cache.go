package storage

import (
	"encoding/json"
	"slices"
	"strings"

	"pipitlatch/internal/workload"
)

// Cache is a controller's local copy of the key-value store, built from a snapshot and the ordered
// change stream.
type Cache struct {
	Keys            Keys
	Revision        uint64
	ClusterLeader   Versioned[Process]
	Catalog         Versioned[workload.Catalog]
	Members         map[string]Versioned[Process]
	Partitions      map[int]Versioned[PartitionRecord]
	Blocks          map[string]Versioned[BlockRecord] // by name
	Machines        map[string]Versioned[Machine]     // of all blocks
	Jobs            map[string]*JobEntry
	HasArchivedJobs bool // the store holds archived jobs, which are not in Jobs

	// Admission is the unparsed record of the admission epoch; package admission parses it.
	Admission Versioned[json.RawMessage]

	MemberFormats map[string]int // by member: the newest record format that its version writes
	Format        int            // the record format that may be written

	dependencyGraph
	catalogParts map[string]Versioned[workload.Catalog] // by key
	// completedBeforeJob holds completed segments that arrived before their job's record, by job ID
	// and segment.
	completedBeforeJob map[string]map[int]Item
}

// NewCache returns an empty cache of the records under the prefix of keys.
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

// SnapshotComplete finishes loading a snapshot: it drops completed segments whose job does not
// exist.
func (c *Cache) SnapshotComplete() { clear(c.completedBeforeJob) }

// Live reports whether a process is registered.
func (c *Cache) Live(p Process) bool {
	v, ok := c.Members[p.Member]
	return ok && v.Value == p
}

// Dead reports whether a process is certain to have ended, because another process of the same
// member is registered. A missing registration only shows that the member lease expired.
func (c *Cache) Dead(p Process) bool {
	v, ok := c.Members[p.Member]
	return ok && v.Value != p
}

// LiveMembers returns the registered processes, sorted by member name.
func (c *Cache) LiveMembers() []Process {
	members := make([]Process, 0, len(c.Members))
	for _, v := range c.Members {
		members = append(members, v.Value)
	}
	slices.SortFunc(members, func(a, b Process) int { return strings.Compare(a.Member, b.Member) })
	return members
}
