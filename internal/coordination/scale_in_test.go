package coordination

import (
	"testing"

	"pipitlatch/internal/config"
	"pipitlatch/internal/micros"
	"pipitlatch/internal/storage"
	"pipitlatch/internal/workload"
)

func TestIdleTimeout(t *testing.T) {
	const keepS = 30
	settings := &config.Config{Operator: &config.Operator{IdleKeepS: keepS}}
	p := &partitionLeader{core: &Core{identity: identity{config: settings}}}
	ofType := func(cpu int64, boot micros.Time) *workload.InstanceType {
		return &workload.InstanceType{Capacity: workload.Resources{CPU: cpu}, Boot: boot}
	}
	large := &machine{instanceType: ofType(32_000, 40*micros.Second)}
	small := ofType(8000, 20*micros.Second)
	for _, c := range []struct {
		name         string
		spot         bool
		instanceType *workload.InstanceType
		large        *machine
		idleSince    micros.Time
		surplusSince micros.Time
		want         micros.Time
	}{
		{name: "a spot instance: the full timeout", spot: true, instanceType: small,
			idleSince: 9, want: keepS * micros.Second},
		{name: "an on-demand machine: a third of it", instanceType: small,
			idleSince: 9, want: keepS / 3 * micros.Second},
		{name: "a machine beyond the reserve: the surplus timeout", spot: true, instanceType: small,
			idleSince: 9, surplusSince: 9, want: surplusIdleTimeout},
		{name: "a machine in the reserve: the full timeout", spot: true, instanceType: small,
			idleSince: 10, surplusSince: 9, want: keepS * micros.Second},
		{name: "a replacement for a large machine, even beyond the reserve: three boot times", instanceType: small,
			large: large, idleSince: 9, surplusSince: 9, want: 60 * micros.Second},
		{name: "a spot instance replaces no large machine", spot: true, instanceType: small,
			large: large, idleSince: 9, want: keepS * micros.Second},
		{name: "a machine of the same size replaces no large machine", instanceType: large.instanceType,
			large: large, idleSince: 9, want: keepS / 3 * micros.Second},
		{name: "a machine of unknown type replaces no large machine", large: large,
			idleSince: 9, want: keepS / 3 * micros.Second},
	} {
		t.Run(c.name, func(t *testing.T) {
			m := &machine{
				instanceType: c.instanceType,
				record:       storage.Machine{Spot: c.spot},
				lifecycle:    machineLifecycle{idleSince: c.idleSince},
			}
			if got := p.idleTimeout(m, c.large, c.surplusSince); got != c.want {
				t.Errorf("got %d ms, want %d ms", got/micros.Millisecond, c.want/micros.Millisecond)
			}
		})
	}
}
