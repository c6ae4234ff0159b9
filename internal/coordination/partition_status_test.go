package coordination

import (
	"slices"
	"testing"

	"pipitlatch/internal/storage"
)

func TestDrainingMachinesAreTerminatedOnceNothingIsLost(t *testing.T) {
	tests := []struct {
		reason                drainReason
		wantBusy, wantWithout bool // with tasks, and without
	}{
		{reason: notDraining},
		{reason: drainUnresponsive, wantBusy: true, wantWithout: true},
		{reason: drainBootTimeout, wantBusy: true, wantWithout: true},
		{reason: drainUnresolvedStart, wantBusy: true, wantWithout: true},
		{reason: drainAgentRestarted, wantBusy: true, wantWithout: true},
		{reason: drainUnreachable, wantBusy: true, wantWithout: true},
		{reason: drainKillTimeout, wantBusy: true, wantWithout: true},
		{reason: drainQuarantined, wantWithout: true},
		{reason: drainSlow, wantWithout: true},
		{reason: drainCannotReport, wantWithout: true},
		{reason: drainIdle, wantWithout: true},
		{reason: drainConsolidation, wantWithout: true},
		{reason: drainTransfer, wantWithout: true},
	}
	for _, test := range tests {
		t.Run("reason "+test.reason.String(), func(t *testing.T) {
			f := newAttemptFixture()
			f.machine.drain.reason = test.reason
			if got := f.leader.readyForTermination(f.machine); got != test.wantWithout {
				t.Errorf("without tasks: %v, want %v", got, test.wantWithout)
			}
			f.startActive(0, true)
			if got := f.leader.readyForTermination(f.machine); got != test.wantBusy {
				t.Errorf("with tasks: %v, want %v", got, test.wantBusy)
			}
		})
	}
}

func TestStatusSaysNothingOfMachinesAfterTheTerm(t *testing.T) {
	for name, test := range map[string]struct {
		valid bool
		want  []string
	}{
		"within": {valid: true, want: []string{"m"}},
		"after":  {},
	} {
		t.Run(name, func(t *testing.T) {
			c := newLeadingCore(t)
			p := c.partitions[0]
			c.cache.Machines["m"] = storage.Versioned[storage.Machine]{ModRevision: 31}
			p.machineChanged("m")
			p.machine("m").drain.reason = drainIdle
			if !test.valid {
				c.now += c.config.LeadershipTerm()
			}
			if got := p.status().Terminate; !slices.Equal(got, test.want) {
				t.Errorf("to be terminated %v, want %v", got, test.want)
			}
		})
	}
}
