package messages

import (
	"pipitlatch/internal/admission"
	"pipitlatch/internal/coordination/provisioning"
	"pipitlatch/internal/storage"
)

// PeerMessage is a message to a peer.
type PeerMessage struct {
	To     string // a member
	Status *PeerStatus
}

// PeerStatus is the status that a controller sends to its peers.
type PeerStatus struct {
	From           storage.Process
	Revision       uint64 // the revision that the sender's change stream has reached
	StoreReachable bool
	Usage          storage.Usage // of the key-value store's limits

	Partitions   []PartitionStatus // that the sender leads
	Progress     []JobProgress
	Reachability []ZoneReachability // of machines that do not respond to their partition leader

	TerminatedMachines []string          // known to have been terminated
	Transfers          []MachineTransfer // requested from the receiver

	Cancelled        []string // jobs whose cancellation the receiver may not have seen
	CancelledUpTo    uint64   // sequence number of the last of them
	CancellationAcks []CancellationAck

	Demand *admission.Demand // submissions received by the sender; nil: nothing new
}

// PartitionStatus is the status that a partition leader sends to the cluster leader.
type PartitionStatus struct {
	Partition        int
	FencingToken     uint64
	CapacityRequests []provisioning.CapacityRequest
	Terminate        []string            // machines to terminate
	Idle             []string            // machines available for transfer to another partition
	UnreachableZones []string            // zones whose machines do not respond to the partition leader
	Lags             []admission.FlowLag // of flows behind their fair share
}

// JobProgress is the number of done and running tasks of a job, for display by other controllers.
type JobProgress struct {
	ID      string
	Done    int
	Running int
}

// MachineTransfer asks a partition leader to transfer a machine to another partition.
type MachineTransfer struct {
	Machine     string
	ToPartition int
}

// ZoneReachability is the number of machines of a partition in a zone that a controller probed, and
// of those that answered.
type ZoneReachability struct {
	Partition int
	Zone      string
	Probed    int
	Answered  int
}

// CancellationAck acknowledges the notices of cancellations of a process up to a sequence number.
type CancellationAck struct {
	From storage.Process
	UpTo uint64
}
