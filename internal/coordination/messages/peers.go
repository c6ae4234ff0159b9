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

// PeerStatus is what controllers tell each other about themselves.
type PeerStatus struct {
	From           storage.Process
	Revision       uint64 // how far the sender's change stream has come
	StoreReachable bool
	Usage          storage.Usage // of the key-value store's limits

	Partitions   []PartitionStatus // that the sender leads
	Progress     []JobProgress
	Reachability []ZoneReachability // of machines that their partition leader does not hear

	TerminatedMachines []string          // that are surely gone
	Transfers          []MachineTransfer // that the receiver is asked for

	Cancelled        []string // jobs that the receiver may not know to be cancelled
	CancelledUpTo    uint64   // sequence number of the last of them
	CancellationAcks []CancellationAck

	Demand *admission.Demand // submissions that the sender was asked for; nil: nothing new
}

// PartitionStatus is what a partition leader tells the cluster leader.
type PartitionStatus struct {
	Partition        int
	FencingToken     uint64
	CapacityRequests []provisioning.CapacityRequest
	Terminate        []string            // machines to terminate
	Idle             []string            // machines that could move to another partition
	UnreachableZones []string            // zones whose machines the partition leader does not hear
	Lags             []admission.FlowLag // of flows behind their fair share
}

// JobProgress is how many tasks of a job are done and running, for display by other controllers.
type JobProgress struct {
	ID      string
	Done    int
	Running int
}

// MachineTransfer asks a partition leader to let a machine go to another partition.
type MachineTransfer struct {
	Machine     string
	ToPartition int
}

// ZoneReachability is how many machines of a partition in a zone answered a controller, of those
// that it probed.
type ZoneReachability struct {
	Partition int
	Zone      string
	Probed    int
	Answered  int
}

// CancellationAck is up to which sequence number a process's notices of cancellations were received.
type CancellationAck struct {
	From storage.Process
	UpTo uint64
}
