package coordination

import (
	"testing"

	"pipitlatch/internal/coordination/agents"
)

func TestPersistMachineUse(t *testing.T) {
	p := newLeaderInContact(t)
	block := p.core.keys.Block("b0")
	if got := machineUseWrites(t, p); len(got) != 0 {
		t.Fatalf("all machines are recorded as in use, but %v is written", got)
	}
	for _, m := range p.machines[:3] {
		m.record.Used = false
	}
	if got := machineUseWrites(t, p); len(got) != 1 || got[block] != 1 {
		t.Fatalf("wrote %v, want block b0 once for three machines", got)
	}
	if got := machineUseWrites(t, p); len(got) != 0 {
		t.Fatalf("wrote %v while the block is being written", got)
	}
	p.core.now += useWriteTimeout
	for _, m := range p.machines[:3] {
		m.requiredToken++
	}
	if got := machineUseWrites(t, p); len(got) != 0 {
		t.Fatalf("wrote %v before the machines acknowledged the required token", got)
	}
	for _, m := range p.machines[:3] {
		m.requiredToken--
	}
	p.machines[0].modRevision++
	p.machines[1].drain.reason = drainSlow
	p.machines[2].agent = agents.HeartbeatState{}
	if got := machineUseWrites(t, p); len(got) != 0 {
		t.Fatalf("wrote %v for a machine of a changed block, a draining one, and one without a heartbeat", got)
	}
	p.machines[1].drain.reason = notDraining
	if got := machineUseWrites(t, p); got[block] != 1 {
		t.Fatalf("wrote %v after the write timed out, want block b0", got)
	}
}
