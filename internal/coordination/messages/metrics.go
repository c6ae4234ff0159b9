package messages

import "pipitlatch/internal/micros"

// Metrics are the counters and gauges of one controller. Counters start with its process.
type Metrics struct {
	CommandsSent      [Forget + 1]uint64 // by operation
	CallsRejected     uint64             // calls with commands that an agent rejected
	RepeatedStarts    uint64             // attempts that an agent reports after their start command was over
	DuplicateAttempts uint64             // second attempts at an active task
	TokenRenewals     uint64             // new fencing tokens under a lease

	AttemptsEnded [endEvidenceCount]uint64 // by the evidence of their end
	ReplicaWait   micros.Time              // from the last contact with a machine to the end of its replicas, in total

	StoreRevision uint64 // revision of the key-value store that was read
	ClusterLeader bool
	Partitions    []PartitionMetrics // the partitions that this process leads
}

// PartitionMetrics are the gauges of a partition that this controller leads.
type PartitionMetrics struct {
	Partition    int
	FencingToken uint64
	Machines     int
}
