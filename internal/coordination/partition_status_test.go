package coordination

import (
	"slices"
	"testing"

	"pipitlatch/internal/storage"
)

func TestReadyForTermination(t *testing.T) {
	tests := []struct {
		reason             drainReason
		wantBusy, wantIdle bool // with and without tasks
	}{
		{reason: notDraining},
		{reason: drainUnresponsive, wantBusy: true, wantIdle: true},
		{reason: drainBootTimeout, wantBusy: true, wantIdle: true},
		{reason: drainUnresolvedStart, wantBusy: true, wantIdle: true},
		{reason: drainAgentRestarted, wantBusy: true, wantIdle: true},
		{reason: drainUnreachable, wantBusy: true, wantIdle: true},
		{reason: drainKillTimeout, wantBusy: true, wantIdle: true},
		{reason: drainQuarantined, wantIdle: true},
		{reason: drainSlow, wantIdle: true},
		{reason: drainCannotReport, wantIdle: true},
		{reason: drainIdle, wantIdle: true},
		{reason: drainConsolidation, wantIdle: true},
		{reason: drainTransfer, wantIdle: true},
	}
	for _, test := range tests {
		t.Run("reason "+test.reason.String(), func(t *testing.T) {
			f := newAttemptFixture()
			f.machine.drain.reason = test.reason
			if got := f.leader.readyForTermination(f.machine); got != test.wantIdle {
				t.Errorf("ready without tasks: %v, want %v", got, test.wantIdle)
			}
			f.startActive(0, true)
			if got := f.leader.readyForTermination(f.machine); got != test.wantBusy {
				t.Errorf("ready with tasks: %v, want %v", got, test.wantBusy)
			}
		})
	}
}

func TestStatusOmitsMachinesAfterTerm(t *testing.T) {
	for name, test := range map[string]struct {
		valid bool
		want  []string
	}{
		"within the term": {valid: true, want: []string{"m"}},
		"after the term":  {},
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
				t.Errorf("machines to terminate %v, want %v", got, test.want)
			}
		})
	}
}
