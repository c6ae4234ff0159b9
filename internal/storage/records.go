package storage

import (
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"slices"

	"pipitlatch/internal/workload"
)

// Process identifies one run of a controller's process: a member that restarts is another process.
type Process struct {
	Member      string `json:"m"`
	Incarnation string `json:"i"`
}

// PartitionRecord names the leader of a partition; its mod revision is the fencing token.
// FormerLeaders are earlier leaders that were not known to be dead when the record was written:
// they may still answer agents until their leadership terms end.
type PartitionRecord struct {
	Leader        Process   `json:"h"`
	FormerLeaders []Process `json:"f,omitempty"`
}

// Format is the newest format of records that this version writes: from 2 on jobs with
// dependencies, completed tasks in small segments and a catalog in parts. A new format is written
// only once every member of the settings has registered with a version that reads it (Keys.Format).
const Format = 2

// Registration is a member's record: its process and the format that its version writes, 0 where
// the version does not say.
type Registration struct {
	Process
	Format int `json:"v,omitempty"`
}

// BlockRecord is a group of machines of one kind, requested at once, and the partition that it
// belongs to. It is written before the instances are requested, with Requested set and no
// machines: its name is the id of the instance request.
type BlockRecord struct {
	Partition    int                      `json:"q"`
	InstanceType string                   `json:"t"`
	Zone         string                   `json:"z"`
	Spot         bool                     `json:"s,omitempty"`
	Requested    int                      `json:"n,omitempty"` // machines requested, until the answer is written
	Machines     map[string]MachineRecord `json:"m,omitempty"`
}

// MaxBlockMachines is how many machines a block has at most: the cloud grants no more at once.
const MaxBlockMachines = 50

// MachineRecordBytes is about what a machine takes in its block's record.
const MachineRecordBytes = 64

// Split divides a record into records that take at most maxBytes each. The first one keeps what
// is not a machine; it is the only one if all fits.
func (b BlockRecord) Split(maxBytes int) []BlockRecord {
	if len(b.Machines) < 2 || len(Encode(b)) <= maxBytes {
		return []BlockRecord{b}
	}
	names := slices.Sorted(maps.Keys(b.Machines))
	head, tail := b.Without(names[len(names)/2:]...), b.Without(names[:len(names)/2]...)
	tail.Requested = 0
	return append(head.Split(maxBytes), tail.Split(maxBytes)...)
}

// With returns a copy of the record in which a machine is set. Records are shared, so they are
// never changed in place.
func (b BlockRecord) With(name string, machine MachineRecord) BlockRecord {
	b.Machines = maps.Clone(b.Machines)
	if b.Machines == nil {
		b.Machines = map[string]MachineRecord{}
	}
	b.Machines[name] = machine
	return b
}

// Without returns a copy of the record without some machines.
func (b BlockRecord) Without(names ...string) BlockRecord {
	b.Machines = maps.Clone(b.Machines)
	for _, name := range names {
		delete(b.Machines, name)
	}
	return b
}

// MachineRecord is a machine of a block. Used is set, by the partition leader, before the first
// task is started there: an unused machine surely has no tasks.
type MachineRecord struct {
	Address string `json:"a,omitempty"`
	Used    bool   `json:"u,omitempty"`
}

// Machine is a machine as its block's record shows it; its mod revision is the block's.
type Machine struct {
	MachineRecord
	Block        string
	Partition    int
	InstanceType string
	Zone         string
	Spot         bool
}

// Versioned is a record with the mod revision of its key.
type Versioned[T any] struct {
	Value       T
	ModRevision uint64
}

// JobEntry is a job with its completed tasks as stored, and what its dependencies make of it.
type JobEntry struct {
	Job                    *workload.Job
	ModRevision            uint64
	Completed              *workload.Bitmap // nil: none
	CompletedRevisions     map[int]uint64   // by segment
	Dependencies           []string         // jobs that must be done before it starts
	DependenciesIncomplete bool             // parts of its list of dependencies have not arrived yet
	CancelledByDependency  bool             // a dependency, direct or not, is cancelled
}

// Cancelled tells whether the job is cancelled: by itself, or with a dependency. That is a
// function of records, so every controller says the same, and it never goes back: a dependency
// that is cancelled is never done.
func (e *JobEntry) Cancelled() bool {
	return e.Job.Phase == workload.Cancelled || e.CancelledByDependency
}

// ErrEmptyRecord is the error for a record that is null.
var ErrEmptyRecord = errors.New("empty record")

// DecodeJob decodes a job's record that was read outside the snapshot and the change stream.
func DecodeJob(item Item) (*JobEntry, error) {
	v, err := decode[*workload.Job](item)
	if err == nil && v.Value == nil {
		err = ErrEmptyRecord
	}
	if err != nil {
		return nil, fmt.Errorf("record %s: %w", item.Key, err)
	}
	return &JobEntry{Job: v.Value, ModRevision: item.ModRevision}, nil
}

// Encode encodes a record. Records are plain structs of this repository: one that cannot be
// encoded is a programming error.
func Encode(v any) json.RawMessage {
	b, err := json.Marshal(v)
	if err != nil {
		panic(fmt.Sprintf("storage: cannot encode a record: %v", err))
	}
	return b
}

func decode[T any](item Item) (Versioned[T], error) {
	v := Versioned[T]{ModRevision: item.ModRevision}
	err := json.Unmarshal(item.Value, &v.Value)
	return v, err
}
