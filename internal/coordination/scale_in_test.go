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
		{name: "a spot instance for the usual time", spot: true, instanceType: small,
			idleSince: 9, want: keepS * micros.Second},
		{name: "an ordinary machine for a third of it", instanceType: small,
			idleSince: 9, want: keepS / 3 * micros.Second},
		{name: "a machine beyond the reserve for less", spot: true, instanceType: small,
			idleSince: 9, surplusSince: 9, want: surplusIdleTimeout},
		{name: "a machine in the reserve for the usual time", spot: true, instanceType: small,
			idleSince: 10, surplusSince: 9, want: keepS * micros.Second},
		{name: "one that takes over from a large one, beyond the reserve or not, for three boots", instanceType: small,
			large: large, idleSince: 9, surplusSince: 9, want: 60 * micros.Second},
		{name: "a spot instance takes over nothing", spot: true, instanceType: small,
			large: large, idleSince: 9, want: keepS * micros.Second},
		{name: "one as large takes over nothing", instanceType: large.instanceType,
			large: large, idleSince: 9, want: keepS / 3 * micros.Second},
		{name: "one of an unknown type takes over nothing", large: large,
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
