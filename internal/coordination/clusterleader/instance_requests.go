package clusterleader

import (
	"pipitlatch/internal/coordination/messages"
	"pipitlatch/internal/coordination/provisioning"
	"pipitlatch/internal/micros"
	"pipitlatch/internal/storage"
)

const (
	// instanceRequestTimeout is how long the cloud's answer to a request is waited for.
	instanceRequestTimeout = 4 * micros.Second
	// instanceRequestRetryInterval is how long after a request without an answer it is sent again.
	instanceRequestRetryInterval = micros.Second
	// closeRetryInterval is how long after a request was answered it is sent again, if its block
	// was not written: the same name gives the same answer.
	closeRetryInterval = 200 * micros.Millisecond
)

// sendOpenRequests sends the requests that are written down and not answered yet, and counts them.
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

// persistRequest writes a request down before it is sent, as a block without machines, so
// that a successor neither loses it nor requests for the same need twice.
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

// sendRequest sends a request that was written down at a revision.
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

// recordGrant notes how many instances the cloud had of those requested.
func (s *scaleOut) recordGrant(name string, block storage.BlockRecord, granted int) {
	kind := instanceKindOfBlock(block)
	if granted < block.Requested {
		s.capacity.Exhausted(kind, s.view.Now())
		s.nextAt = s.view.Now() // what was missing may be had elsewhere
	} else {
		s.capacity.Granted(kind, block.Requested)
	}
	s.view.Log(messages.LevelInfo, "instances requested", "request_id", name, "instance_type", block.InstanceType,
		"zone", block.Zone, "spot", block.Spot, "requested", block.Requested, "granted", granted)
}

// closeRequest turns a request that was answered into a block.
func (s *scaleOut) closeRequest(name string, block storage.BlockRecord, revision uint64, machines []string) {
	block.Requested, block.Machines = 0, map[string]storage.MachineRecord{}
	for _, machine := range machines {
		// One that was heard from before the answer came was adopted already.
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

// requestOpenFor tells whether a request for instances of the kind is open: a machine that is
// heard from may be one of those it brings, up before the cloud's answer. It is taken into the
// request's block then. Adopted as well, it would be in two blocks, and what one record says of
// it (that it has had tasks) would be hidden by the other.
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

// instanceKindOfBlock is the kind of a block's machines.
func instanceKindOfBlock(b storage.BlockRecord) provisioning.InstanceKind {
	return provisioning.InstanceKind{InstanceType: b.InstanceType, Zone: b.Zone, Spot: b.Spot}
}
