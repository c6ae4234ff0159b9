package protocol

import (
	"pipitlatch/internal/admission"
	"pipitlatch/internal/coordination/messages"
	"pipitlatch/internal/coordination/provisioning"
	"pipitlatch/internal/protocol/wire"
	"pipitlatch/internal/storage"
	"pipitlatch/internal/workload"
)

// minPeerStatusBytes is a lower bound for the size of a message, which contains at least the offset of
// its root and a table.
const minPeerStatusBytes = 8

// DecodePeerStatus decodes a message from a peer. FlatBuffers does not verify a message before reading
// it, so a corrupt one can cause a panic, which is recovered and returned as an error.
func DecodePeerStatus(raw []byte) (s *messages.PeerStatus, err error) {
	defer func() {
		if r := recover(); r != nil {
			s, err = nil, malformed("", "malformed peer status: %v", r)
		}
	}()
	if len(raw) < minPeerStatusBytes {
		return nil, malformed("", "malformed peer status: %d bytes", len(raw))
	}
	w := wire.GetRootAsStatus(raw, 0)
	s = &messages.PeerStatus{
		From:               storage.Process{Member: string(w.Member()), Incarnation: string(w.Incarnation())},
		Revision:           w.Revision(),
		StoreReachable:     w.StateOk(),
		TerminatedMachines: decodeStrings(w.GoneLength(), w.Gone),
		Usage:              storage.Usage{Requests: w.Requests(), Writes: w.Writes()},
		Cancelled:          decodeStrings(w.CancelledLength(), w.Cancelled),
		CancelledUpTo:      w.CancelledUpTo(),
		CancellationAcks:   decodeTables(w.CancelsHeardLength(), w.CancelsHeard, decodeCancellationAck),
		Reachability:       decodeTables(w.ReachLength(), w.Reach, decodeReachability),
		Partitions:         decodeTables(w.QueuesLength(), w.Queues, decodePartition),
		Transfers:          decodeTables(w.ShiftsLength(), w.Shifts, decodeTransfer),
		Progress:           decodeTables(w.ProgressLength(), w.Progress, decodeProgress),
	}
	if demand := w.Demand(nil); demand != nil {
		// An invalid demand is ignored; the rest of the message is still used.
		if d, err := decodeDemand(demand); err == nil {
			s.Demand = d
		}
	}
	if s.From.Member == "" {
		return nil, malformed("member", "malformed peer status: no member")
	}
	return s, nil
}

// decodeTables decodes a vector of tables; it returns nil for an empty one.
func decodeTables[Table, T any](n int, at func(*Table, int) bool, decode func(*Table) T) []T {
	var list []T
	for i := range n {
		var table Table
		at(&table, i)
		list = append(list, decode(&table))
	}
	return list
}

// decodeStrings decodes a vector of strings; it returns nil for an empty one.
func decodeStrings(n int, at func(int) []byte) []string {
	var list []string
	for i := range n {
		list = append(list, string(at(i)))
	}
	return list
}

func decodePartition(q *wire.QueueStatus) messages.PartitionStatus {
	return messages.PartitionStatus{
		Partition:        int(q.Queue()),
		FencingToken:     q.Token(),
		Terminate:        decodeStrings(q.ReleaseLength(), q.Release),
		Idle:             decodeStrings(q.IdleLength(), q.Idle),
		UnreachableZones: decodeStrings(q.LostLength(), q.Lost),
		Lags:             decodeTables(q.LagsLength(), q.Lags, decodeLag),
		CapacityRequests: decodeTables(q.NeedsLength(), q.Needs, decodeCapacityRequest),
	}
}

func decodeCapacityRequest(n *wire.Need) provisioning.CapacityRequest {
	return provisioning.CapacityRequest{
		Resources:     workload.Resources{CPU: n.Cpu(), GPU: n.Gpu(), Mem: n.Mem()},
		Count:         int(n.Count()),
		Spot:          n.Spot(),
		InstanceTypes: decodeStrings(n.TypesLength(), n.Types),
		Zone:          string(n.Zone()),
		Service:       n.Service(),
		Hold:          n.Hold(),
		Replicas:      int(n.Replicas()),
		Urgent:        n.Urgent(),
	}
}

func decodeTransfer(s *wire.Shift) messages.MachineTransfer {
	return messages.MachineTransfer{Machine: string(s.Machine()), ToPartition: int(s.To())}
}

func decodeProgress(p *wire.Progress) messages.JobProgress {
	return messages.JobProgress{ID: string(p.Job()), Done: int(p.Done()), Running: int(p.Running())}
}

func decodeReachability(z *wire.ZoneReach) messages.ZoneReachability {
	return messages.ZoneReachability{
		Partition: int(z.Queue()),
		Zone:      string(z.Zone()),
		Probed:    int(z.Asked()),
		Answered:  int(z.Answered()),
	}
}

func decodeCancellationAck(h *wire.CancelsHeard) messages.CancellationAck {
	return messages.CancellationAck{
		From: storage.Process{Member: string(h.Member()), Incarnation: string(h.Incarnation())},
		UpTo: h.UpTo(),
	}
}

func decodeLag(l *wire.FlowLag) admission.FlowLag {
	return admission.FlowLag{
		Flow: admission.Flow{Team: string(l.Team()), Class: string(l.Class())},
		Lag:  admission.Lag{Team: l.TeamLag(), Class: l.ClassLag()},
	}
}
