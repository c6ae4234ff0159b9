package protocol

import (
	"fmt"

	"pipitlatch/internal/coordination/messages"

	flatbuffers "github.com/google/flatbuffers/go"

	"pipitlatch/internal/admission"
	"pipitlatch/internal/coordination/provisioning"
	"pipitlatch/internal/protocol/wire"
	"pipitlatch/internal/storage"
	"pipitlatch/internal/workload"
)

//go:generate flatc --go siblings.fbs

// MaxPeerStatusBytes bounds a message between controllers.
const MaxPeerStatusBytes = 1 << 20

func strings(b *flatbuffers.Builder, list []string) flatbuffers.UOffsetT {
	offs := make([]flatbuffers.UOffsetT, len(list))
	for i, s := range list {
		offs[i] = b.CreateString(s)
	}
	return vector(b, offs)
}

func vector(b *flatbuffers.Builder, offs []flatbuffers.UOffsetT) flatbuffers.UOffsetT {
	b.StartVector(4, len(offs), 4)
	for i := len(offs) - 1; i >= 0; i-- {
		b.PrependUOffsetT(offs[i])
	}
	return b.EndVector(len(offs))
}

// EncodePeerStatus writes a message to a sibling.
func EncodePeerStatus(s *messages.PeerStatus) []byte {
	b := flatbuffers.NewBuilder(1024)
	queues, shifts, progress := encodePartitions(b, s.Partitions), encodeTransfers(b, s.Transfers), encodeProgress(b, s.Progress)
	reach, heard := encodeReachability(b, s.Reachability), encodeCancellationAcks(b, s.CancellationAcks)
	cancelled, gone := strings(b, s.Cancelled), strings(b, s.TerminatedMachines)
	demand := encodeDemand(b, s.Demand)
	member, incarnation := b.CreateString(s.From.Member), b.CreateString(s.From.Incarnation)
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
	wire.StatusAddCancelsHeard(b, heard)
	if s.Demand != nil {
		wire.StatusAddDemand(b, demand)
	}
	b.Finish(wire.StatusEnd(b))
	return b.FinishedBytes()
}

func encodePartitions(b *flatbuffers.Builder, list []messages.PartitionStatus) flatbuffers.UOffsetT {
	var queues []flatbuffers.UOffsetT
	for _, q := range list {
		needs, release, idle, lost := encodeCapacityRequests(b, q.CapacityRequests), strings(b, q.Terminate), strings(b, q.Idle), strings(b, q.UnreachableZones)
		lags := encodeLags(b, q.Lags)
		wire.QueueStatusStart(b)
		wire.QueueStatusAddQueue(b, int32(q.Partition))
		wire.QueueStatusAddToken(b, q.FencingToken)
		wire.QueueStatusAddNeeds(b, needs)
		wire.QueueStatusAddRelease(b, release)
		wire.QueueStatusAddIdle(b, idle)
		wire.QueueStatusAddLost(b, lost)
		wire.QueueStatusAddLags(b, lags)
		queues = append(queues, wire.QueueStatusEnd(b))
	}
	return vector(b, queues)
}

func encodeCapacityRequests(b *flatbuffers.Builder, list []provisioning.CapacityRequest) flatbuffers.UOffsetT {
	var needs []flatbuffers.UOffsetT
	for _, n := range list {
		types, zone := strings(b, n.InstanceTypes), b.CreateString(n.Zone)
		wire.NeedStart(b)
		wire.NeedAddCpu(b, n.Resources.CPU)
		wire.NeedAddGpu(b, n.Resources.GPU)
		wire.NeedAddMem(b, n.Resources.Mem)
		wire.NeedAddCount(b, int32(n.Count))
		wire.NeedAddSpot(b, n.Spot)
		wire.NeedAddTypes(b, types)
		wire.NeedAddZone(b, zone)
		wire.NeedAddService(b, n.Service)
		wire.NeedAddHold(b, n.Hold)
		wire.NeedAddReplicas(b, int32(n.Replicas))
		wire.NeedAddUrgent(b, n.Urgent)
		needs = append(needs, wire.NeedEnd(b))
	}
	return vector(b, needs)
}

func encodeTransfers(b *flatbuffers.Builder, list []messages.MachineTransfer) flatbuffers.UOffsetT {
	var shifts []flatbuffers.UOffsetT
	for _, sh := range list {
		m := b.CreateString(sh.Machine)
		wire.ShiftStart(b)
		wire.ShiftAddMachine(b, m)
		wire.ShiftAddTo(b, int32(sh.ToPartition))
		shifts = append(shifts, wire.ShiftEnd(b))
	}
	return vector(b, shifts)
}

func encodeProgress(b *flatbuffers.Builder, list []messages.JobProgress) flatbuffers.UOffsetT {
	var progress []flatbuffers.UOffsetT
	for _, p := range list {
		id := b.CreateString(p.ID)
		wire.ProgressStart(b)
		wire.ProgressAddJob(b, id)
		wire.ProgressAddDone(b, int32(p.Done))
		wire.ProgressAddRunning(b, int32(p.Running))
		progress = append(progress, wire.ProgressEnd(b))
	}
	return vector(b, progress)
}

func encodeReachability(b *flatbuffers.Builder, list []messages.ZoneReachability) flatbuffers.UOffsetT {
	var reach []flatbuffers.UOffsetT
	for _, z := range list {
		zone := b.CreateString(z.Zone)
		wire.ZoneReachStart(b)
		wire.ZoneReachAddQueue(b, int32(z.Partition))
		wire.ZoneReachAddZone(b, zone)
		wire.ZoneReachAddAsked(b, int32(z.Probed))
		wire.ZoneReachAddAnswered(b, int32(z.Answered))
		reach = append(reach, wire.ZoneReachEnd(b))
	}
	return vector(b, reach)
}

func encodeCancellationAcks(b *flatbuffers.Builder, list []messages.CancellationAck) flatbuffers.UOffsetT {
	var heard []flatbuffers.UOffsetT
	for _, h := range list {
		member, incarnation := b.CreateString(h.From.Member), b.CreateString(h.From.Incarnation)
		wire.CancelsHeardStart(b)
		wire.CancelsHeardAddMember(b, member)
		wire.CancelsHeardAddIncarnation(b, incarnation)
		wire.CancelsHeardAddUpTo(b, h.UpTo)
		heard = append(heard, wire.CancelsHeardEnd(b))
	}
	return vector(b, heard)
}

func encodeLags(b *flatbuffers.Builder, list []admission.FlowLag) flatbuffers.UOffsetT {
	var lags []flatbuffers.UOffsetT
	for _, l := range list {
		team, class := b.CreateString(l.Flow.Team), b.CreateString(l.Flow.Class)
		wire.FlowLagStart(b)
		wire.FlowLagAddTeam(b, team)
		wire.FlowLagAddClass(b, class)
		wire.FlowLagAddTeamLag(b, l.Lag.Team)
		wire.FlowLagAddClassLag(b, l.Lag.Class)
		lags = append(lags, wire.FlowLagEnd(b))
	}
	return vector(b, lags)
}

// encodeDemand writes what a controller was asked for; a flow whose sketch can't be written
// is left out: the next message has it.
func encodeDemand(b *flatbuffers.Builder, d *admission.Demand) flatbuffers.UOffsetT {
	if d == nil {
		return 0
	}
	var flows []flatbuffers.UOffsetT
	for _, f := range d.Flows {
		sketch, err := admission.EncodeSketch(f.Asked)
		if err != nil {
			continue
		}
		asked := b.CreateByteVector(sketch)
		team, class := b.CreateString(f.Flow.Team), b.CreateString(f.Flow.Class)
		wire.FlowDemandStart(b)
		wire.FlowDemandAddTeam(b, team)
		wire.FlowDemandAddClass(b, class)
		wire.FlowDemandAddAsked(b, asked)
		wire.FlowDemandAddAccepted(b, f.Accepted)
		wire.FlowDemandAddAdmitted(b, f.Admitted)
		flows = append(flows, wire.FlowDemandEnd(b))
	}
	list := vector(b, flows)
	wire.DemandStart(b)
	wire.DemandAddFlows(b, list)
	wire.DemandAddRefused(b, d.Refused)
	wire.DemandAddAdmitted(b, d.Admitted)
	wire.DemandAddAcceptRate(b, d.AcceptRate)
	return wire.DemandEnd(b)
}

// decodeDemand reads what a sibling was asked for.
func decodeDemand(w *wire.Demand) (*admission.Demand, error) {
	if n := w.FlowsLength(); n > 2*admission.MaxFlows {
		return nil, fmt.Errorf("damaged status: %d flows", n)
	}
	d := &admission.Demand{Refused: w.Refused(), Admitted: w.Admitted(), AcceptRate: w.AcceptRate()}
	for i := range w.FlowsLength() {
		var f wire.FlowDemand
		w.Flows(&f, i)
		asked, err := admission.DecodeSketch(f.AskedBytes())
		if err != nil {
			return nil, fmt.Errorf("damaged status: %w", err)
		}
		d.Flows = append(d.Flows, admission.FlowDemand{Flow: admission.Flow{Team: string(f.Team()), Class: string(f.Class())},
			Asked: asked, Accepted: f.Accepted(), Admitted: f.Admitted()})
	}
	return d, nil
}

func stringList(n int, at func(int) []byte) []string {
	var out []string
	for i := range n {
		out = append(out, string(at(i)))
	}
	return out
}

// DecodePeerStatus reads a message from a sibling. FlatBuffers are not verified when
// they are read, so a damaged one ends in a panic, which becomes an error here.
func DecodePeerStatus(raw []byte) (s *messages.PeerStatus, err error) {
	defer func() {
		if r := recover(); r != nil {
			s, err = nil, fmt.Errorf("damaged status: %v", r)
		}
	}()
	if len(raw) < 8 {
		return nil, fmt.Errorf("damaged status: %d bytes", len(raw))
	}
	w := wire.GetRootAsStatus(raw, 0)
	s = &messages.PeerStatus{From: storage.Process{Member: string(w.Member()), Incarnation: string(w.Incarnation())},
		Revision: w.Revision(), StoreReachable: w.StateOk(), TerminatedMachines: stringList(w.GoneLength(), w.Gone),
		Usage:     storage.Usage{Requests: w.Requests(), Writes: w.Writes()},
		Cancelled: stringList(w.CancelledLength(), w.Cancelled), CancelledUpTo: w.CancelledUpTo()}
	for i := range w.CancelsHeardLength() {
		var h wire.CancelsHeard
		w.CancelsHeard(&h, i)
		s.CancellationAcks = append(s.CancellationAcks, messages.CancellationAck{
			From: storage.Process{Member: string(h.Member()), Incarnation: string(h.Incarnation())}, UpTo: h.UpTo()})
	}
	for i := range w.ReachLength() {
		var z wire.ZoneReach
		w.Reach(&z, i)
		s.Reachability = append(s.Reachability, messages.ZoneReachability{Partition: int(z.Queue()), Zone: string(z.Zone()), Probed: int(z.Asked()), Answered: int(z.Answered())})
	}
	for i := range w.QueuesLength() {
		var q wire.QueueStatus
		w.Queues(&q, i)
		s.Partitions = append(s.Partitions, decodePartition(&q))
	}
	for i := range w.ShiftsLength() {
		var sh wire.Shift
		w.Shifts(&sh, i)
		s.Transfers = append(s.Transfers, messages.MachineTransfer{Machine: string(sh.Machine()), ToPartition: int(sh.To())})
	}
	for i := range w.ProgressLength() {
		var p wire.Progress
		w.Progress(&p, i)
		s.Progress = append(s.Progress, messages.JobProgress{ID: string(p.Job()), Done: int(p.Done()), Running: int(p.Running())})
	}
	if demand := w.Demand(nil); demand != nil {
		// What is wrong with it must not lose what else the message tells.
		if d, err := decodeDemand(demand); err == nil {
			s.Demand = d
		}
	}
	if s.From.Member == "" {
		return nil, fmt.Errorf("damaged status: no member")
	}
	return s, nil
}

func decodePartition(q *wire.QueueStatus) messages.PartitionStatus {
	out := messages.PartitionStatus{Partition: int(q.Queue()), FencingToken: q.Token(),
		Terminate: stringList(q.ReleaseLength(), q.Release), Idle: stringList(q.IdleLength(), q.Idle), UnreachableZones: stringList(q.LostLength(), q.Lost)}
	for k := range q.LagsLength() {
		var l wire.FlowLag
		q.Lags(&l, k)
		out.Lags = append(out.Lags, admission.FlowLag{Flow: admission.Flow{Team: string(l.Team()), Class: string(l.Class())}, Lag: admission.Lag{Team: l.TeamLag(), Class: l.ClassLag()}})
	}
	for k := range q.NeedsLength() {
		var n wire.Need
		q.Needs(&n, k)
		out.CapacityRequests = append(out.CapacityRequests, provisioning.CapacityRequest{Resources: workload.Resources{CPU: n.Cpu(), GPU: n.Gpu(), Mem: n.Mem()},
			Count: int(n.Count()), Spot: n.Spot(), InstanceTypes: stringList(n.TypesLength(), n.Types), Zone: string(n.Zone()),
			Service: n.Service(), Hold: n.Hold(), Replicas: int(n.Replicas()), Urgent: n.Urgent()})
	}
	return out
}
