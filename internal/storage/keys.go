package storage

import (
	"strconv"
	"strings"

	"pipitlatch/internal/workload"
)

// RecordKind is the first path element of a record's key after the prefix.
type RecordKind string

// The record kinds, as they appear in stored keys.
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

// smallSegmentPrefix precedes the number of a small segment in the keys of completed tasks.
const smallSegmentPrefix = "p"

// Keys builds the keys of all records under a prefix. The names in the keys date from the first
// version and must not change, so that stored data remains readable.
type Keys struct{ Prefix string }

// ClusterLeader returns the key of the record that identifies the cluster leader's process.
func (k Keys) ClusterLeader() string { return k.Prefix + string(ClusterLeaderRecord) }

// ReadBarrier returns a key that never exists; reading it returns the store's current revision.
func (k Keys) ReadBarrier() string { return k.Prefix + "barrier" }

// Catalog returns the key of the instance type catalog when it is stored as a single record.
func (k Keys) Catalog() string { return k.Prefix + string(CatalogRecord) }

// CatalogPart returns the key of one part of a catalog that is stored in several records.
func (k Keys) CatalogPart(n int) string { return k.below(CatalogPartRecord) + strconv.Itoa(n) }

// Admission returns the key of the admission epoch.
func (k Keys) Admission() string { return k.Prefix + string(AdmissionRecord) }

// Format returns the key of the record format version that may be written.
func (k Keys) Format() string { return k.Prefix + string(FormatRecord) }

// Member returns the key of a member's registration.
func (k Keys) Member(member string) string { return k.below(MemberRecord) + member }

// Partition returns the key of the record that identifies a partition's leader.
func (k Keys) Partition(n int) string { return k.below(PartitionLeaderRecord) + strconv.Itoa(n) }

// Block returns the key of a block of machines.
func (k Keys) Block(name string) string { return k.below(MachineBlockRecord) + name }

// Job returns the key of a job's record.
func (k Keys) Job(id string) string { return k.below(JobRecord) + id }

// ArchivedJob returns the key of an archived job's record.
func (k Keys) ArchivedJob(id string) string { return k.ArchivedJobPrefix() + id }

// ArchivedJobPrefix returns the key prefix of archived jobs. It sorts after all other keys, so that
// snapshot loading can stop there.
func (k Keys) ArchivedJobPrefix() string { return k.below(ArchivedJobRecord) }

// CompletedPrefix returns the key prefix of a job's completed segments.
func (k Keys) CompletedPrefix(id string) string { return k.below(CompletedRecord) + id + "/" }

// CompletedSegment returns the key of the completed tasks in one segment of a job.
func (k Keys) CompletedSegment(id string, segment int) string {
	if segment >= workload.FirstSmallSegment {
		return k.CompletedPrefix(id) + smallSegmentPrefix + strconv.Itoa(segment-workload.FirstSmallSegment)
	}
	return k.CompletedPrefix(id) + strconv.Itoa(segment)
}

// DependencyPart returns the key of one part of a dependency list that does not fit into its
// job's record.
func (k Keys) DependencyPart(id, name string, n int) string {
	return k.below(DependencyPartRecord) + id + "/" + name + "/" + strconv.Itoa(n)
}

// below returns the key prefix of a record kind.
func (k Keys) below(kind RecordKind) string { return k.Prefix + string(kind) + "/" }

// parseCompletedSegment splits the part of a completed segment's key after the kind into the job
// ID and the segment number.
func parseCompletedSegment(id string) (job string, segment int, err error) {
	job, n, _ := strings.Cut(id, "/")
	part, isPart := strings.CutPrefix(n, smallSegmentPrefix)
	if segment, err = strconv.Atoi(part); err == nil && isPart {
		segment += workload.FirstSmallSegment
	}
	return job, segment, err
}
