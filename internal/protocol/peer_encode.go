package protocol

import (
	flatbuffers "github.com/google/flatbuffers/go"

	"pipitlatch/internal/admission"
	"pipitlatch/internal/coordination/messages"
	"pipitlatch/internal/coordination/provisioning"
	"pipitlatch/internal/protocol/wire"
)

//go:generate flatc --go peers.fbs

// MaxPeerStatusBytes is the maximum size of a message between controllers.
const MaxPeerStatusBytes = 1 << 20

// EncodePeerStatus encodes a message to a peer. A FlatBuffers builder can't start a table while another
// is under construction, so nested objects are written before the table that refers to them.
func EncodePeerStatus(s *messages.PeerStatus) []byte {
	b := flatbuffers.NewBuilder(1024)
	queues := encodeTables(b, s.Partitions, encodePartition)
	shifts := encodeTables(b, s.Transfers, encodeTransfer)
	progress := encodeTables(b, s.Progress, encodeProgress)
	reach := encodeTables(b, s.Reachability, encodeReachability)
	acks := encodeTables(b, s.CancellationAcks, encodeCancellationAck)
	cancelled := encodeStrings(b, s.Cancelled)
	gone := encodeStrings(b, s.TerminatedMachines)
	demand := encodeDemand(b, s.Demand)
	member := b.CreateString(s.From.Member)
	incarnation := b.CreateString(s.From.Incarnation)
	wire.StatusStart(b)
	wire.StatusAddMember(b, member)
	wire.StatusAddIncarnation(b, incarnation)
	wire.StatusAddRevision(b, s.Revision)
	wire.StatusAddStateOk(b, s.StoreReachable)
	wire.StatusAddQueues(b, queues)
	wire.StatusAddGone(b, gone)
	wire.StatusAddShifts(b, shifts)
	wire.StatusAddProgress(b, progress)
	wire.StatusAddRequests(b, s.Usage.Requests)
	wire.StatusAddWrites(b, s.Usage.Writes)
	wire.StatusAddReach(b, reach)
	wire.StatusAddCancelled(b, cancelled)
	wire.StatusAddCancelledUpTo(b, s.CancelledUpTo)
	wire.StatusAddCancelsHeard(b, acks)
	if s.Demand != nil {
		wire.StatusAddDemand(b, demand)
	}
	b.Finish(wire.StatusEnd(b))
	return b.FinishedBytes()
}

// encodeTables encodes a vector of tables.
func encodeTables[T any](
	b *flatbuffers.Builder, list []T, encode func(*flatbuffers.Builder, *T) flatbuffers.UOffsetT,
) flatbuffers.UOffsetT {
	offsets := make([]flatbuffers.UOffsetT, len(list))
	for i := range list {
		offsets[i] = encode(b, &list[i])
	}
	return encodeVector(b, offsets)
}

func encodeStrings(b *flatbuffers.Builder, list []string) flatbuffers.UOffsetT {
	offsets := make([]flatbuffers.UOffsetT, len(list))
	for i, s := range list {
		offsets[i] = b.CreateString(s)
	}
	return encodeVector(b, offsets)
}

// encodeVector encodes a vector of objects that have already been written. It adds the offsets in
// reverse order, because a builder fills its buffer from the end to the front.
func encodeVector(b *flatbuffers.Builder, offsets []flatbuffers.UOffsetT) flatbuffers.UOffsetT {
	b.StartVector(flatbuffers.SizeUOffsetT, len(offsets), flatbuffers.SizeUOffsetT)
	for i := len(offsets) - 1; i >= 0; i-- {
		b.PrependUOffsetT(offsets[i])
	}
	return b.EndVector(len(offsets))
}

func encodePartition(b *flatbuffers.Builder, p *messages.PartitionStatus) flatbuffers.UOffsetT {
	needs := encodeTables(b, p.CapacityRequests, encodeCapacityRequest)
	release := encodeStrings(b, p.Terminate)
	idle := encodeStrings(b, p.Idle)
	lost := encodeStrings(b, p.UnreachableZones)
	lags := encodeTables(b, p.Lags, encodeLag)
	wire.QueueStatusStart(b)
	wire.QueueStatusAddQueue(b, int32(p.Partition))
	wire.QueueStatusAddToken(b, p.FencingToken)
	wire.QueueStatusAddNeeds(b, needs)
	wire.QueueStatusAddRelease(b, release)
	wire.QueueStatusAddIdle(b, idle)
	wire.QueueStatusAddLost(b, lost)
	wire.QueueStatusAddLags(b, lags)
	return wire.QueueStatusEnd(b)
}

func encodeCapacityRequest(b *flatbuffers.Builder, r *provisioning.CapacityRequest) flatbuffers.UOffsetT {
	types := encodeStrings(b, r.InstanceTypes)
	zone := b.CreateString(r.Zone)
	wire.NeedStart(b)
	wire.NeedAddCpu(b, r.Resources.CPU)
	wire.NeedAddGpu(b, r.Resources.GPU)
	wire.NeedAddMem(b, r.Resources.Mem)
	wire.NeedAddCount(b, int32(r.Count))
	wire.NeedAddSpot(b, r.Spot)
	wire.NeedAddTypes(b, types)
	wire.NeedAddZone(b, zone)
	wire.NeedAddService(b, r.Service)
	wire.NeedAddHold(b, r.Hold)
	wire.NeedAddReplicas(b, int32(r.Replicas))
	wire.NeedAddUrgent(b, r.Urgent)
	return wire.NeedEnd(b)
}

func encodeTransfer(b *flatbuffers.Builder, t *messages.MachineTransfer) flatbuffers.UOffsetT {
	machine := b.CreateString(t.Machine)
	wire.ShiftStart(b)
	wire.ShiftAddMachine(b, machine)
	wire.ShiftAddTo(b, int32(t.ToPartition))
	return wire.ShiftEnd(b)
}

func encodeProgress(b *flatbuffers.Builder, p *messages.JobProgress) flatbuffers.UOffsetT {
	id := b.CreateString(p.ID)
	wire.ProgressStart(b)
	wire.ProgressAddJob(b, id)
	wire.ProgressAddDone(b, int32(p.Done))
	wire.ProgressAddRunning(b, int32(p.Running))
	return wire.ProgressEnd(b)
}

func encodeReachability(b *flatbuffers.Builder, z *messages.ZoneReachability) flatbuffers.UOffsetT {
	zone := b.CreateString(z.Zone)
	wire.ZoneReachStart(b)
	wire.ZoneReachAddQueue(b, int32(z.Partition))
	wire.ZoneReachAddZone(b, zone)
	wire.ZoneReachAddAsked(b, int32(z.Probed))
	wire.ZoneReachAddAnswered(b, int32(z.Answered))
	return wire.ZoneReachEnd(b)
}

func encodeCancellationAck(b *flatbuffers.Builder, a *messages.CancellationAck) flatbuffers.UOffsetT {
	member := b.CreateString(a.From.Member)
	incarnation := b.CreateString(a.From.Incarnation)
	wire.CancelsHeardStart(b)
	wire.CancelsHeardAddMember(b, member)
	wire.CancelsHeardAddIncarnation(b, incarnation)
	wire.CancelsHeardAddUpTo(b, a.UpTo)
	return wire.CancelsHeardEnd(b)
}

func encodeLag(b *flatbuffers.Builder, l *admission.FlowLag) flatbuffers.UOffsetT {
	team := b.CreateString(l.Flow.Team)
	class := b.CreateString(l.Flow.Class)
	wire.FlowLagStart(b)
	wire.FlowLagAddTeam(b, team)
	wire.FlowLagAddClass(b, class)
	wire.FlowLagAddTeamLag(b, l.Lag.Team)
	wire.FlowLagAddClassLag(b, l.Lag.Class)
	return wire.FlowLagEnd(b)
}
