package clusterleader

import (
	"pipitlatch/internal/coordination/messages"
	"pipitlatch/internal/micros"
	"pipitlatch/internal/storage"
)

// View is what the duties may ask of the core, all together. Each duty declares what it needs of it.
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

// leaderView is what every duty may ask of the core.
type leaderView interface {
	// Now is the steady time of this step.
	Now() micros.Time
	// Log adds a record to the log; attributes are keys and values in turn.
	Log(level int, message string, attributes ...any)
	// CallStore sends a request to the key-value store. It returns false, and done is never
	// called, if the request budget does not allow it now.
	CallStore(r *storage.Request, urgency storage.Urgency, timeout micros.Time, done func(*storage.Reply)) bool
	// Cache is the present copy of the store.
	Cache() *storage.Cache
	// LeaderCompare guards every transaction of the cluster leader: it may be applied late.
	LeaderCompare() storage.Compare
}

// cloudView is the leaderView of a duty that calls the cloud.
type cloudView interface {
	leaderView
	// CallCloud sends a request to the cloud.
	CallCloud(call messages.CloudCall, done func(*messages.CloudReply))
}

// partitionsView is how the partitions and their leaders stand.
type partitionsView interface {
	// PartitionCount is how many partitions there are.
	PartitionCount() int
	// PartitionStatuses are what the present partition leaders last said.
	PartitionStatuses() []messages.PartitionStatus
}

// blockView writes the records of blocks.
type blockView interface {
	// PutBlock adds the write of a block's record to a request.
	PutBlock(r *storage.Request, name string, record storage.BlockRecord)
	// MaxBlockMachines is how many machines a block may have.
	MaxBlockMachines() int
}
