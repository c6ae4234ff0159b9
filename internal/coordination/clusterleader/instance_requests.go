package clusterleader

import (
	"pipitlatch/internal/coordination/messages"
	"pipitlatch/internal/coordination/provisioning"
	"pipitlatch/internal/micros"
	"pipitlatch/internal/storage"
)

const (
	// instanceRequestTimeout is how long to wait for the cloud's reply to an instance request.
	instanceRequestTimeout = 4 * micros.Second
	// instanceRequestRetryInterval is the delay before a request that was rejected or got no reply is
	// sent again.
	instanceRequestRetryInterval = micros.Second
	// closeRetryInterval is the delay before an answered request is sent again if its block could
	// not be written: the cloud gives the same answer to a request of the same name.
	closeRetryInterval = 200 * micros.Millisecond
)

// sendOpenRequests sends the recorded requests that have not been answered yet, and returns how many
// there are.
func (s *scaleOut) sendOpenRequests() int {
	open := 0
	blocks := s.view.Cache().Blocks
	for _, name := range sortedKeys(blocks) {
		block := blocks[name]
		if block.Value.Requested <= 0 {
			continue
		}
		open++
		if s.pending.MaySend(name, s.view.Now()) {
			s.sendRequest(name, block.Value, block.ModRevision)
		}
	}
	return open
}

// persistRequest records a request in the store before it is sent, as a block without machines, so
// that a succeeding leader neither loses it nor requests instances for the same need twice.
func (s *scaleOut) persistRequest(partition int, request provisioning.InstanceRequest) {
	name := s.term.uniqueName("c")
	block := storage.BlockRecord{
		Partition: partition, InstanceType: request.InstanceType, Zone: request.Zone, Spot: request.Spot,
		Requested: request.Count,
	}
	key := s.keys.Block(name)
	r := &storage.Request{Kind: storage.Txn,
		Compares: []storage.Compare{s.view.LeaderCompare(), {Key: key}},
		Puts:     []storage.Put{{Key: key, Value: storage.Encode(block)}},
	}
	if s.view.CallStore(r, storage.Urgent, storeTimeout, func(reply *storage.Reply) {
		s.pending.Finished(name)
		if reply.Outcome == storage.OK {
			s.advanceProvisionedRevision(reply.Revision)
			s.sendRequest(name, block, reply.Revision)
		}
	}) {
		s.pending.Started(name, request.InstanceKind)
	}
}

// sendRequest sends a request to the cloud that was recorded at a revision of the store.
func (s *scaleOut) sendRequest(name string, block storage.BlockRecord, revision uint64) {
	kind := instanceKindOfBlock(block)
	s.pending.Started(name, kind)
	call := messages.CloudCall{
		Operation:         messages.CloudRequestInstances,
		InstanceRequestID: name,
		InstanceRequest:   provisioning.InstanceRequest{InstanceKind: kind, Count: block.Requested},
		Timeout:           instanceRequestTimeout,
	}
	s.view.CallCloud(call, func(r *messages.CloudReply) {
		s.pending.Finished(name)
		switch r.Outcome {
		case messages.CloudOK, messages.CloudInsufficientCapacity:
			s.recordGrant(name, block, len(r.Names))
			s.closeRequest(name, block, revision, r.Names)
		case messages.CloudRejected, messages.CloudOutcomeUnknown:
			s.pending.RetryAt(name, s.view.Now()+instanceRequestRetryInterval)
		}
	})
}

// recordGrant updates the capacity tracker with the number of instances that the cloud granted.
func (s *scaleOut) recordGrant(name string, block storage.BlockRecord, granted int) {
	kind := instanceKindOfBlock(block)
	if granted < block.Requested {
		s.capacity.Exhausted(kind, s.view.Now())
		s.nextAt = s.view.Now() // instances of another kind may be available
	} else {
		s.capacity.Granted(kind, block.Requested)
	}
	s.view.Log(messages.LevelInfo, "instances requested", "request_id", name, "instance_type", block.InstanceType,
		"zone", block.Zone, "spot", block.Spot, "requested", block.Requested, "granted", granted)
}

// closeRequest replaces the record of an answered request with a block of the granted machines, or
// deletes it if there are none.
func (s *scaleOut) closeRequest(name string, block storage.BlockRecord, revision uint64, machines []string) {
	block.Requested, block.Machines = 0, map[string]storage.MachineRecord{}
	for _, machine := range machines {
		// A machine that sent a heartbeat before the answer arrived has already been adopted.
		if _, recorded := s.view.Cache().Machines[machine]; !recorded {
			block.Machines[machine] = storage.MachineRecord{}
		}
	}
	key := s.keys.Block(name)
	r := &storage.Request{Kind: storage.Txn, Compares: []storage.Compare{
		s.view.LeaderCompare(), {Key: key, ModRevision: revision},
	}}
	if len(block.Machines) == 0 {
		r.Deletes = []string{key}
	} else {
		s.view.PutBlock(r, name, block)
	}
	s.pending.Started(name, instanceKindOfBlock(block))
	finish := func() {
		s.pending.Finished(name)
		s.pending.RetryAt(name, s.view.Now()+closeRetryInterval)
	}
	if !s.view.CallStore(r, storage.Urgent, storeTimeout, func(reply *storage.Reply) {
		finish()
		if reply.Outcome == storage.OK {
			s.advanceProvisionedRevision(reply.Revision)
		}
	}) {
		finish()
	}
}

// requestOpenFor reports whether a request for instances of the kind is open. An unmanaged machine of
// that kind may belong to the request, having started before the cloud's answer arrived, and is then
// added to the request's block. If it were adopted as well, it would be in two blocks, and one record
// would hide what the other says about it (that it has had tasks).
func (s *scaleOut) requestOpenFor(kind provisioning.InstanceKind) bool {
	if s.pending.InFlightOf(kind) {
		return true
	}
	for _, block := range s.view.Cache().Blocks {
		if block.Value.Requested > 0 && instanceKindOfBlock(block.Value) == kind {
			return true
		}
	}
	return false
}

// instanceKindOfBlock returns the kind of a block's machines.
func instanceKindOfBlock(b storage.BlockRecord) provisioning.InstanceKind {
	return provisioning.InstanceKind{InstanceType: b.InstanceType, Zone: b.Zone, Spot: b.Spot}
}
