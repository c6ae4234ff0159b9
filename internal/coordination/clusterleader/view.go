package clusterleader

import (
	"pipitlatch/internal/coordination/messages"
	"pipitlatch/internal/micros"
	"pipitlatch/internal/storage"
)

// View is the part of the core that the control loops use. Each loop declares the methods that it
// needs in an interface of its own.
type View interface {
	assignmentView
	transferView
	terminationView
	pruningView
	listingView
	scaleOutView
	adoptionView
	archiverView
}

// leaderView is the part of the core that every control loop uses.
type leaderView interface {
	// Now returns the monotonic time of the current step.
	Now() micros.Time
	// Log adds a record to the log; attributes are alternating keys and values.
	Log(level int, message string, attributes ...any)
	// CallStore sends a request to the key-value store. If the request budget does not allow it
	// now, it returns false and never calls done.
	CallStore(r *storage.Request, urgency storage.Urgency, timeout micros.Time, done func(*storage.Reply)) bool
	// Cache returns the local copy of the store.
	Cache() *storage.Cache
	// LeaderCompare returns the comparison that guards every transaction of the cluster leader,
	// since a delayed transaction could otherwise be applied after leadership was lost.
	LeaderCompare() storage.Compare
}

// cloudView extends leaderView for control loops that call the cloud.
type cloudView interface {
	leaderView
	// CallCloud sends a request to the cloud.
	CallCloud(call messages.CloudCall, done func(*messages.CloudReply))
}

// partitionsView gives the state of the partitions and their leaders.
type partitionsView interface {
	// PartitionCount returns the number of partitions.
	PartitionCount() int
	// PartitionStatuses returns the latest statuses from the current partition leaders.
	PartitionStatuses() []messages.PartitionStatus
}

// blockView writes block records.
type blockView interface {
	// PutBlock adds a write of the block's record to the request.
	PutBlock(r *storage.Request, name string, record storage.BlockRecord)
	// MaxBlockMachines returns the maximum number of machines in a block.
	MaxBlockMachines() int
}
