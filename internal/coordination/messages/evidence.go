package messages

// EndEvidence is what showed a partition leader that an attempt had ended.
type EndEvidence uint8

const (
	// EndReported means: a heartbeat of the agent's known process reported the attempt as exited or refused.
	EndReported EndEvidence = iota
	// EndNotStarted means: a heartbeat of that process lacks the attempt, and rejects every start of it still under way.
	EndNotStarted
	// EndLaterEpoch means: a heartbeat of a later agent epoch.
	EndLaterEpoch
	// EndLeaseExpired means: the agent lease expired; it ends no attempt whose start was sent.
	EndLeaseExpired
	// EndMachineRemoved means: the cloud confirmed the machine's termination, or the machine moved to another partition.
	EndMachineRemoved
	endEvidenceCount
)

// String returns the evidence as it appears in the log and in metrics.
func (e EndEvidence) String() string {
	switch e {
	case EndReported:
		return "reported"
	case EndNotStarted:
		return "not started"
	case EndLaterEpoch:
		return "later agent epoch"
	case EndLeaseExpired:
		return "agent lease expired"
	case EndMachineRemoved:
		return "machine removed"
	case endEvidenceCount:
	}
	return "unknown"
}
