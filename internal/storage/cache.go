package storage

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"strconv"
	"strings"

	"pipitlatch/internal/workload"
)

// Process names one run of a controller's process.
type Process struct {
	Member      string `json:"m"`
	Incarnation string `json:"i"`
}

// PartitionRecord says who holds a queue. Former are earlier holders that were not
// known to be dead when the record was written: they may still answer workers
// until their terms end.
type PartitionRecord struct {
	Leader        Process   `json:"h"`
	FormerLeaders []Process `json:"f,omitempty"`
}

// BlockRecord is a group of machines of one offer, rented at once, and the queue
// it belongs to. It is written before the rental is requested, with Want set and
// no machines: its name is the name of the request.
type BlockRecord struct {
	Partition    int                      `json:"q"`
	InstanceType string                   `json:"t"`
	Zone         string                   `json:"z"`
	Spot         bool                     `json:"s,omitempty"`
	Requested    int                      `json:"n,omitempty"` // machines requested, until the answer is written
	Machines     map[string]MachineRecord `json:"m,omitempty"`
}

// MaxBlockMachines is how many machines a block has at most: the cloud rents no more at once.
const MaxBlockMachines = 50

// MachineRecordBytes is about what a machine takes in its block's record.
const MachineRecordBytes = 64

// Split divides a record so that each part takes at most so many bytes. The first has
// what is not a machine, and may be all.
func (b BlockRecord) Split(most int) []BlockRecord {
	if len(b.Machines) < 2 || len(Encode(b)) <= most {
		return []BlockRecord{b}
	}
	names := slices.Sorted(maps.Keys(b.Machines))
	head, tail := b.Without(names[len(names)/2:]...), b.Without(names[:len(names)/2]...)
	tail.Requested = 0
	return append(head.Split(most), tail.Split(most)...)
}

// MachineRecord is a machine of a block. Used is set, by the holder, before the
// first task is started there: an unused machine surely has no tasks.
type MachineRecord struct {
	Address string `json:"a,omitempty"`
	Used    bool   `json:"u,omitempty"`
}

// Machine is a machine as its block's record tells it; its version is the block's.
type Machine struct {
	MachineRecord
	Block        string
	Partition    int
	InstanceType string
	Zone         string
	Spot         bool
}

// Versioned is a record with the version of its key.
type Versioned[T any] struct {
	Value       T
	ModRevision uint64
}

// JobEntry is a job with its finished tasks as stored.
type JobEntry struct {
	Job                    *workload.Job
	ModRevision            uint64
	Completed              *workload.Bitmap // nil: none
	CompletedRevisions     map[int]uint64   // by chunk or part
	Dependencies           []string         // jobs that must be done first
	DependenciesIncomplete bool             // its list of them is not whole here
	CancelledByDependency  bool             // one of them, or one before it, is cancelled
}

// Cancelled tells whether the job is cancelled: by itself, or with one before it. That
// is a function of records, so every controller says the same, and it never goes back:
// a needed job that is cancelled is never done.
func (e *JobEntry) Cancelled() bool {
	return e.Job.Phase == workload.Cancelled || e.CancelledByDependency
}

// Keys builds the keys below a prefix.
type Keys struct{ Prefix string }

// ClusterLeader is the key of the leader's process.
func (k Keys) ClusterLeader() string { return k.Prefix + "leader" }

// ReadBarrier is a key that never exists: reading it tells the present revision.
func (k Keys) ReadBarrier() string { return k.Prefix + "barrier" }

// Catalog is the key of the machine types, where one record has room for all.
func (k Keys) Catalog() string { return k.Prefix + "catalog" }

// CatalogPart is the key of a part of the catalog.
func (k Keys) CatalogPart(n int) string { return k.Prefix + "types/" + strconv.Itoa(n) }

// Admission is the key of the admission epoch.
func (k Keys) Admission() string { return k.Prefix + "admission" }

// Format is the key that says which forms of records may be written.
func (k Keys) Format() string { return k.Prefix + "format" }

// Member is the key of a member's registration.
func (k Keys) Member(member string) string { return k.Prefix + "node/" + member }

// Partition is the key of a queue's holder.
func (k Keys) Partition(n int) string { return k.Prefix + "queue/" + strconv.Itoa(n) }

// Block is the key of a group of machines.
func (k Keys) Block(name string) string { return k.Prefix + "block/" + name }

// Job is the key of a job's record.
func (k Keys) Job(id string) string { return k.Prefix + "job/" + id }

// Archive is the key of the record of a job that was over long ago.
func (k Keys) Archive(id string) string { return k.ArchivePrefix() + id }

// ArchivePrefix sorts last: a list ends there.
func (k Keys) ArchivePrefix() string { return k.Prefix + "~over/" }

// CompletedPrefix is what the keys of a job's finished ranges begin with.
func (k Keys) CompletedPrefix(id string) string { return k.Prefix + "fin/" + id + "/" }

// CompletedSegment is the key of a chunk, or part, of a job's finished ranges.
func (k Keys) CompletedSegment(id string, chunk int) string {
	if chunk >= workload.FirstSmallSegment {
		return k.CompletedPrefix(id) + "p" + strconv.Itoa(chunk-workload.FirstSmallSegment)
	}
	return k.CompletedPrefix(id) + strconv.Itoa(chunk)
}

// DependencyPart is the key of a part of a list of needed jobs that a job's record has no room for.
func (k Keys) DependencyPart(id, name string, n int) string {
	return k.Prefix + "wait/" + id + "/" + name + "/" + strconv.Itoa(n)
}

// Change tells what an event touched: the part of the key below the prefix.
type Change struct {
	Kind     string // leader, catalog, node, queue, block, job, fin
	ID       string
	Machines []string // block: the machines it has, and had before
}

// Cache is a controller's copy of the state, built from one list and one
// ordered stream of changes.
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
	Archived        bool                    // jobs that were over long ago were moved out of Jobs
	rangesBeforeJob map[string]map[int]Item // finished ranges listed before their job

	// Admission is the admission epoch's record as it is stored; it is read elsewhere.
	Admission Versioned[json.RawMessage]

	MemberFormats map[string]int // what each registered member writes, by its registration
	Format        int            // what may be written
	dependencyGraph
}

// NewCache returns an empty replica.
func NewCache(k Keys) *Cache {
	return &Cache{Keys: k, Members: map[string]Versioned[Process]{}, Partitions: map[int]Versioned[PartitionRecord]{},
		Blocks: map[string]Versioned[BlockRecord]{}, Machines: map[string]Versioned[Machine]{},
		Jobs: map[string]*JobEntry{}, rangesBeforeJob: map[string]map[int]Item{}, MemberFormats: map[string]int{}, dependencyGraph: newDependencyGraph()}
}

func decode[T any](it Item) (Versioned[T], error) {
	v := Versioned[T]{ModRevision: it.ModRevision}
	err := json.Unmarshal(it.Value, &v.Value)
	return v, err
}

// applyTo stores the item in m unless m is newer.
func applyTo[K comparable, T any](m map[K]Versioned[T], k K, it Item) (bool, error) {
	if m[k].ModRevision >= it.ModRevision {
		return false, nil
	}
	if it.Deleted {
		_, had := m[k]
		delete(m, k)
		return had, nil
	}
	v, err := decode[T](it)
	if err == nil {
		m[k] = v
	}
	return err == nil, err
}

// Apply takes one item of a list or of the stream. Items older than what is
// known are passed over, so that a list's pages and the stream may overlap.
func (r *Cache) Apply(it Item) (Change, bool, error) {
	rest, ok := strings.CutPrefix(it.Key, r.Keys.Prefix)
	if !ok {
		return Change{}, false, nil
	}
	kind, id, _ := strings.Cut(rest, "/")
	c := Change{Kind: kind, ID: id}
	var changed bool
	var err error
	switch kind {
	case "leader":
		changed, err = r.applyLeader(it)
	case "catalog":
		changed, err = r.applyCatalog(it)
	case "node":
		changed, err = r.applyMember(id, it)
	case "admission":
		changed = r.applyAdmission(it)
	case "format":
		changed, err = r.applyFormat(it)
	case "types":
		changed, err = r.applyCatalogPart(it)
	case "wait":
		changed, err = r.applyDependencyPart(id, it)
	case "queue":
		var n int
		if n, err = strconv.Atoi(id); err == nil {
			changed, err = applyTo(r.Partitions, n, it)
		}
	case "block":
		c.Machines, changed, err = r.applyBlock(id, it)
	case "~over":
		r.Archived = true
	case "job":
		changed, err = r.applyJob(id, it)
	case "fin":
		var chunk int
		if c.ID, chunk, err = parseCompletedSegment(id); err == nil {
			changed, err = r.applyCompleted(c.ID, chunk, it)
		}
	}
	if err != nil {
		err = fmt.Errorf("record %s: %w", it.Key, err)
	}
	return c, changed, err
}

func (r *Cache) applyLeader(it Item) (bool, error) {
	if r.ClusterLeader.ModRevision >= it.ModRevision {
		return false, nil
	}
	if it.Deleted {
		r.ClusterLeader = Versioned[Process]{}
		return true, nil
	}
	v, err := decode[Process](it)
	if err == nil {
		r.ClusterLeader = v
	}
	return err == nil, err
}

func (r *Cache) applyCatalog(it Item) (bool, error) {
	if r.Catalog.ModRevision >= it.ModRevision || it.Deleted {
		return false, nil
	}
	v, err := decode[workload.Catalog](it)
	if err == nil {
		r.Catalog = v
	}
	return err == nil, err
}

// applyAdmission takes the record of the admission epoch, whatever is in it.
func (r *Cache) applyAdmission(it Item) bool {
	if r.Admission.ModRevision >= it.ModRevision {
		return false
	}
	r.Admission = Versioned[json.RawMessage]{Value: it.Value, ModRevision: it.ModRevision}
	return true
}

// applyMember takes a member's registration, and what its version writes.
func (r *Cache) applyMember(member string, it Item) (bool, error) {
	changed, err := applyTo(r.Members, member, it)
	if !changed {
		return false, err
	}
	var reg Registration
	if !it.Deleted {
		err = json.Unmarshal(it.Value, &reg)
	}
	r.MemberFormats[member] = reg.Format
	return true, err
}

// applyFormat takes what may be written, which only grows.
func (r *Cache) applyFormat(it Item) (bool, error) {
	if it.Deleted {
		return false, nil
	}
	var f struct {
		Format int `json:"v"`
	}
	if err := json.Unmarshal(it.Value, &f); err != nil {
		return false, err
	}
	changed := f.Format > r.Format
	r.Format = max(r.Format, f.Format)
	return changed, nil
}

// parseCompletedSegment splits the key of finished ranges into the job and the chunk or part.
func parseCompletedSegment(id string) (job string, chunk int, err error) {
	job, n, _ := strings.Cut(id, "/")
	part, isPart := strings.CutPrefix(n, "p")
	if chunk, err = strconv.Atoi(part); err == nil && isPart {
		chunk += workload.FirstSmallSegment
	}
	return job, chunk, err
}

// applyBlock takes a block's record and tells which machines it touched.
func (r *Cache) applyBlock(name string, it Item) ([]string, bool, error) {
	old := r.Blocks[name].Value.Machines
	changed, err := applyTo(r.Blocks, name, it)
	if !changed {
		return nil, false, err
	}
	var touched []string
	b := r.Blocks[name].Value // the zero record if it was deleted
	for m := range old {
		// A move to another block is one transaction: the other record may have
		// come first, and owns the machine then.
		if _, ok := b.Machines[m]; !ok && r.Machines[m].Value.Block == name {
			delete(r.Machines, m)
			r.elsewhere(m)
			touched = append(touched, m)
		}
	}
	for m, rec := range b.Machines {
		// Two records have it while it moves, or because an older version adopted what
		// was being rented: it had tasks if either says so.
		if had, ok := r.Machines[m]; ok && had.Value.Block != name && had.Value.Used {
			rec.Used = true
		}
		r.Machines[m] = Versioned[Machine]{Machine{rec, name, b.Partition, b.InstanceType, b.Zone, b.Spot}, it.ModRevision}
		touched = append(touched, m)
	}
	slices.Sort(touched)
	return touched, true, nil
}

// elsewhere finds a machine in another block's record than the one that it left.
func (r *Cache) elsewhere(m string) {
	for name, b := range r.Blocks {
		if rec, ok := b.Value.Machines[m]; ok {
			r.Machines[m] = Versioned[Machine]{Machine{rec, name, b.Value.Partition, b.Value.InstanceType, b.Value.Zone, b.Value.Spot}, b.ModRevision}
			return
		}
	}
}

// With is the record with a machine set, Without the record without some: records
// are shared, so they are copied before a change.
func (b BlockRecord) With(m string, rec MachineRecord) BlockRecord {
	b.Machines = maps.Clone(b.Machines)
	if b.Machines == nil {
		b.Machines = map[string]MachineRecord{}
	}
	b.Machines[m] = rec
	return b
}

// Without is With for machines that go.
func (b BlockRecord) Without(names ...string) BlockRecord {
	b.Machines = maps.Clone(b.Machines)
	for _, m := range names {
		delete(b.Machines, m)
	}
	return b
}

// DecodeJob reads a job's record on its own.
func DecodeJob(it Item) (*JobEntry, error) {
	v, err := decode[*workload.Job](it)
	if err != nil || v.Value == nil {
		return nil, fmt.Errorf("record %s: %w", it.Key, err)
	}
	return &JobEntry{Job: v.Value, ModRevision: it.ModRevision}, nil
}

func (r *Cache) applyJob(id string, it Item) (bool, error) {
	e := r.Jobs[id]
	if e != nil && e.ModRevision >= it.ModRevision {
		return false, nil
	}
	if it.Deleted {
		if e != nil {
			r.jobRemoved(id, e)
		}
		delete(r.Jobs, id)
		return e != nil, nil
	}
	var j workload.Job
	if err := json.Unmarshal(it.Value, &j); err != nil {
		return false, err
	}
	if e == nil {
		e = &JobEntry{}
		r.Jobs[id] = e
		delete(r.unresolved, id)
	}
	e.Job, e.ModRevision = &j, it.ModRevision
	if j.Phase != workload.Active {
		e.Completed, e.CompletedRevisions = nil, nil
	}
	for chunk, fin := range r.rangesBeforeJob[id] {
		if _, err := r.applyCompleted(id, chunk, fin); err != nil {
			return true, err
		}
	}
	delete(r.rangesBeforeJob, id)
	r.trackDependencies(id, e)
	return true, nil
}

func (r *Cache) applyCompleted(id string, chunk int, it Item) (bool, error) {
	e := r.Jobs[id]
	if e == nil {
		// "fin/" sorts before "job/": in a list the ranges come first.
		if r.rangesBeforeJob[id] == nil {
			r.rangesBeforeJob[id] = map[int]Item{}
		}
		if r.rangesBeforeJob[id][chunk].ModRevision < it.ModRevision {
			r.rangesBeforeJob[id][chunk] = it
		}
		return false, nil
	}
	if e.Job.Phase != workload.Active || it.Deleted || e.CompletedRevisions[chunk] >= it.ModRevision {
		return false, nil
	}
	var text string
	if err := json.Unmarshal(it.Value, &text); err != nil {
		return false, err
	}
	if e.Completed == nil {
		e.Completed, e.CompletedRevisions = workload.NewBitmap(e.Job.Tasks), map[int]uint64{}
	}
	e.CompletedRevisions[chunk] = it.ModRevision
	return true, e.Completed.AddRanges(chunk, text)
}

// SnapshotComplete ends a list: ranges whose job does not exist are forgotten.
func (r *Cache) SnapshotComplete() { clear(r.rangesBeforeJob) }

// Live tells whether a process is registered now.
func (r *Cache) Live(p Process) bool {
	v, ok := r.Members[p.Member]
	return ok && v.Value == p
}

// Dead tells whether a process has surely ended: a newer one of the same member
// is registered. (That it is not registered only shows that its permit ended.)
func (r *Cache) Dead(p Process) bool {
	v, ok := r.Members[p.Member]
	return ok && v.Value != p
}

// LiveMembers are the registered processes in order of their names.
func (r *Cache) LiveMembers() []Process {
	out := make([]Process, 0, len(r.Members))
	for _, v := range r.Members {
		out = append(out, v.Value)
	}
	slices.SortFunc(out, func(a, b Process) int { return strings.Compare(a.Member, b.Member) })
	return out
}

// Encode writes a record.
func Encode(v any) json.RawMessage {
	b, err := json.Marshal(v)
	if err != nil {
		panic(fmt.Sprintf("storage: a record cannot be written: %v", err)) // records are our own plain structs
	}
	return b
}
