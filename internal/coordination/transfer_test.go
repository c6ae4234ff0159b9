package coordination

import (
	"slices"
	"testing"

	"pipitlatch/internal/coordination/messages"
	"pipitlatch/internal/micros"
	"pipitlatch/internal/storage"
)

// newTransferCore returns a core that leads partition 0, which has one unused machine. Partition 1 has
// another leader.
func newTransferCore(t *testing.T) *Core {
	t.Helper()
	c := newServingCore(t)
	for key, value := range map[string]any{
		c.keys.Partition(0): storage.PartitionRecord{Leader: c.process},
		c.keys.Partition(1): storage.PartitionRecord{Leader: storage.Process{Member: "n1", Incarnation: "x"}},
		c.keys.Block("b"): storage.BlockRecord{
			InstanceType: "m",
			Zone:         "a",
			Machines:     map[string]storage.MachineRecord{"vm-000001": {}},
		},
	} {
		item := storage.Item{Key: key, Value: storage.Encode(value), ModRevision: 30}
		if _, _, err := c.cache.Apply(item); err != nil {
			t.Fatal(err)
		}
	}
	c.partitions[0] = newPartitionLeader(c, 0, c.cache.Partitions[0])
	c.output = &messages.Output{}
	return c
}

func TestTransferIsOneTransactionGuardedByBothTokens(t *testing.T) {
	c := newTransferCore(t)
	c.transferMachine(messages.MachineTransfer{Machine: "vm-000001", ToPartition: 1})
	if len(c.output.StoreCalls) != 1 {
		t.Fatalf("%d store requests, want 1", len(c.output.StoreCalls))
	}
	r := c.output.StoreCalls[0].Request
	newBlock := c.keys.Block("m30-vm-000001")
	wantCompares := []storage.Compare{
		{Key: c.keys.Partition(0), ModRevision: 30},
		{Key: c.keys.Partition(1), ModRevision: 30},
		{Key: c.keys.Block("b"), ModRevision: 30},
		{Key: newBlock},
	}
	if !slices.Equal(r.Compares, wantCompares) {
		t.Errorf("compares %+v, want %+v", r.Compares, wantCompares)
	}
	var keys []string
	for _, put := range r.Puts {
		keys = append(keys, put.Key)
	}
	if want := []string{newBlock, c.keys.Partition(0), c.keys.Partition(1), c.keys.Block("b")}; !slices.Equal(keys, want) {
		t.Errorf("puts %v, want %v", keys, want)
	}
}

func TestTransferIsNotStarted(t *testing.T) {
	tests := []struct {
		name   string
		to     int
		change func(c *Core, m *machine)
	}{
		{name: "to the same partition", change: func(*Core, *machine) {}},
		{name: "to a partition without a record", to: 2, change: func(*Core, *machine) {}},
		{name: "of a draining machine", to: 1, change: func(_ *Core, m *machine) { m.drain.reason = drainIdle }},
		{name: "of a machine with commands", to: 1, change: func(_ *Core, m *machine) { m.commands.Add(messages.Command{}) }},
		{name: "after the end of the term", to: 1, change: func(c *Core, _ *machine) { c.now += 1000 * micros.Second }},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := newTransferCore(t)
			m := c.partitions[0].machine("vm-000001")
			test.change(c, m)
			before := m.drain
			c.transferMachine(messages.MachineTransfer{Machine: "vm-000001", ToPartition: test.to})
			if len(c.output.StoreCalls) > 0 || m.drain != before {
				t.Errorf("%d store requests, drain %+v, want none and %+v", len(c.output.StoreCalls), m.drain, before)
			}
		})
	}
}

func TestMachineKeepsDrainingWhileTransferMayBeApplied(t *testing.T) {
	tests := []struct {
		name    string
		outcome storage.Outcome
		want    drainReason
	}{
		{name: "applied", outcome: storage.OK, want: drainTransfer},
		{name: "unknown", outcome: storage.OutcomeUnknown, want: drainTransfer},
		{name: "conflict", outcome: storage.Conflict, want: notDraining},
		{name: "unavailable", outcome: storage.Unavailable, want: notDraining},
		{name: "invalid", outcome: storage.Invalid, want: notDraining},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := newTransferCore(t)
			m := c.partitions[0].machine("vm-000001")
			c.transferMachine(messages.MachineTransfer{Machine: "vm-000001", ToPartition: 1})
			if m.drain.reason != drainTransfer {
				t.Fatalf("drain reason %v before the reply", m.drain.reason)
			}
			completion := &messages.StoreCompletion{
				Call:  c.output.StoreCalls[0].Call,
				Reply: &storage.Reply{Outcome: test.outcome},
			}
			c.lastTick = c.now // no tick in this step
			c.Step(c.now, c.wall, completion)
			if m.drain.reason != test.want {
				t.Errorf("drain reason %v, want %v", m.drain.reason, test.want)
			}
		})
	}
}
