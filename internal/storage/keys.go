package storage

import (
	"strconv"
	"strings"

	"pipitlatch/internal/workload"
)

// RecordKind is the first part of a record's key below the prefix.
type RecordKind string

// The kinds of records, as they are stored.
const (
	ClusterLeaderRecord   RecordKind = "leader"
	MemberRecord          RecordKind = "node"
	PartitionLeaderRecord RecordKind = "queue"
	MachineBlockRecord    RecordKind = "block"
	JobRecord             RecordKind = "job"
	ArchivedJobRecord     RecordKind = "~over"
	CompletedRecord       RecordKind = "fin"
	DependencyPartRecord  RecordKind = "wait"
	CatalogRecord         RecordKind = "catalog"
	CatalogPartRecord     RecordKind = "types"
	AdmissionRecord       RecordKind = "admission"
	FormatRecord          RecordKind = "format"
)

// smallSegmentMark stands before the number of a small segment in the keys of completed tasks.
const smallSegmentMark = "p"

// Keys builds the keys of all records below a prefix. The words in the keys are those of the first
// version and stay: stored data must remain readable.
type Keys struct{ Prefix string }

// ClusterLeader is the key of the record that names the cluster leader's process.
func (k Keys) ClusterLeader() string { return k.Prefix + string(ClusterLeaderRecord) }

// ReadBarrier is a key that never exists: reading it tells the store's present revision.
func (k Keys) ReadBarrier() string { return k.Prefix + "barrier" }

// Catalog is the key of the instance types, where one record holds all of them.
func (k Keys) Catalog() string { return k.Prefix + string(CatalogRecord) }

// CatalogPart is the key of a part of the catalog.
func (k Keys) CatalogPart(n int) string { return k.below(CatalogPartRecord) + strconv.Itoa(n) }

// Admission is the key of the admission epoch.
func (k Keys) Admission() string { return k.Prefix + string(AdmissionRecord) }

// Format is the key that says which forms of records may be written.
func (k Keys) Format() string { return k.Prefix + string(FormatRecord) }

// Member is the key of a member's registration.
func (k Keys) Member(member string) string { return k.below(MemberRecord) + member }

// Partition is the key of the record that names a partition's leader.
func (k Keys) Partition(n int) string { return k.below(PartitionLeaderRecord) + strconv.Itoa(n) }

// Block is the key of a group of machines.
func (k Keys) Block(name string) string { return k.below(MachineBlockRecord) + name }

// Job is the key of a job's record.
func (k Keys) Job(id string) string { return k.below(JobRecord) + id }

// Archive is the key of the record of a job that ended long ago.
func (k Keys) Archive(id string) string { return k.ArchivePrefix() + id }

// ArchivePrefix is what the keys of archived jobs begin with. It sorts after all other keys, so
// that the loading of a snapshot can end there.
func (k Keys) ArchivePrefix() string { return k.below(ArchivedJobRecord) }

// CompletedPrefix is what the keys of a job's completed segments begin with.
func (k Keys) CompletedPrefix(id string) string { return k.below(CompletedRecord) + id + "/" }

// CompletedSegment is the key of the completed tasks in one segment of a job.
func (k Keys) CompletedSegment(id string, segment int) string {
	if segment >= workload.FirstSmallSegment {
		return k.CompletedPrefix(id) + smallSegmentMark + strconv.Itoa(segment-workload.FirstSmallSegment)
	}
	return k.CompletedPrefix(id) + strconv.Itoa(segment)
}

// DependencyPart is the key of a part of a list of dependencies that does not fit a job's record.
func (k Keys) DependencyPart(id, name string, n int) string {
	return k.below(DependencyPartRecord) + id + "/" + name + "/" + strconv.Itoa(n)
}

// below is the prefix of the keys of a kind of records.
func (k Keys) below(kind RecordKind) string { return k.Prefix + string(kind) + "/" }

// parseCompletedSegment splits what follows the kind in the key of a completed segment into the
// job and the segment.
func parseCompletedSegment(id string) (job string, segment int, err error) {
	job, n, _ := strings.Cut(id, "/")
	part, isPart := strings.CutPrefix(n, smallSegmentMark)
	if segment, err = strconv.Atoi(part); err == nil && isPart {
		segment += workload.FirstSmallSegment
	}
	return job, segment, err
}
