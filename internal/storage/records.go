package storage

import (
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"slices"

	"pipitlatch/internal/workload"
)

// Process identifies one run of a controller. A member that restarts is a new process.
type Process struct {
	Member      string `json:"m"`
	Incarnation string `json:"i"`
}

// PartitionRecord identifies the leader of a partition; its mod revision is the fencing token.
// FormerLeaders are earlier leaders that were not known to be dead when the record was written.
// They may still answer agents until their leadership terms end.
type PartitionRecord struct {
	Leader        Process   `json:"h"`
	FormerLeaders []Process `json:"f,omitempty"`
	// AcquiredRevision is the mod revision at which the leader acquired the partition; 0 if that is not known
	// to be earlier than the record's own. The leader writes it when it renews the fencing token.
	AcquiredRevision uint64 `json:"a,omitempty"`
}

// Format is the newest record format that this version writes. Format 2 adds jobs with
// dependencies, completed tasks in small segments and a catalog in parts. A new format is written
// only after every member listed in the settings has registered with a version that reads it
// (Keys.Format).
const Format = 2

// Registration is a member's record: its process and the newest record format that its version
// writes, or 0 if the version does not report one.
type Registration struct {
	Process
	Format int `json:"v,omitempty"`
}

// BlockRecord is a group of identical machines that were requested together, and the partition that
// it belongs to. It is written before the instances are requested, with Requested set and no
// machines; the block's name serves as the ID of the instance request.
type BlockRecord struct {
	Partition    int                      `json:"q"`
	InstanceType string                   `json:"t"`
	Zone         string                   `json:"z"`
	Spot         bool                     `json:"s,omitempty"`
	Requested    int                      `json:"n,omitempty"` // machines requested, until the reply is recorded
	Machines     map[string]MachineRecord `json:"m,omitempty"`
}

// MaxBlockMachines is the maximum number of machines in a block: the cloud grants no more per
// request.
const MaxBlockMachines = 50

// MachineRecordBytes is the approximate encoded size of a machine in its block's record.
const MachineRecordBytes = 64

// Split divides a record into records of at most maxBytes each. Only the first one keeps the count
// of requested machines. A record that fits, or has fewer than two machines, is returned whole.
func (b BlockRecord) Split(maxBytes int) []BlockRecord {
	if len(b.Machines) < 2 || len(Encode(b)) <= maxBytes {
		return []BlockRecord{b}
	}
	names := slices.Sorted(maps.Keys(b.Machines))
	head, tail := b.Without(names[len(names)/2:]...), b.Without(names[:len(names)/2]...)
	tail.Requested = 0
	return append(head.Split(maxBytes), tail.Split(maxBytes)...)
}

// With returns a copy of the record with a machine added or replaced. Records are shared, so they
// are never modified in place.
func (b BlockRecord) With(name string, machine MachineRecord) BlockRecord {
	b.Machines = maps.Clone(b.Machines)
	if b.Machines == nil {
		b.Machines = map[string]MachineRecord{}
	}
	b.Machines[name] = machine
	return b
}

// Without returns a copy of the record without the named machines.
func (b BlockRecord) Without(names ...string) BlockRecord {
	b.Machines = maps.Clone(b.Machines)
	for _, name := range names {
		delete(b.Machines, name)
	}
	return b
}

// MachineRecord is a machine of a block. The partition leader sets Used before it starts the first
// task on the machine, so an unused machine is certain to have no tasks.
type MachineRecord struct {
	Address string `json:"a,omitempty"`
	Used    bool   `json:"u,omitempty"`
}

// Machine is a machine with the attributes of its block; its mod revision is that of the block.
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

// JobEntry is a job with its stored completed tasks and the state of its dependencies.
type JobEntry struct {
	Job                    *workload.Job
	ModRevision            uint64
	Completed              *workload.Bitmap // nil: none
	CompletedRevisions     map[int]uint64   // by segment
	Dependencies           []string         // jobs that must be done before this one starts
	DependenciesIncomplete bool             // parts of the dependency list have not arrived yet
	CancelledByDependency  bool             // a direct or indirect dependency is cancelled
}

// Cancelled reports whether the job is cancelled, either itself or by a dependency. The result
// depends only on the records, so all controllers agree on it, and it never reverts: a cancelled
// dependency is never done.
func (e *JobEntry) Cancelled() bool {
	return e.Job.Phase == workload.Cancelled || e.CancelledByDependency
}

// ErrEmptyRecord is returned for a record whose value is JSON null.
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

// Encode encodes a record as JSON. Records are plain structs of this repository, so an encoding
// failure is a programming error and panics.
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
