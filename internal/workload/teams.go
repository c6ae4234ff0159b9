package workload

import "pipitlatch/internal/config"

// Team holds a team's guaranteed quota and quota limit, in thousandths of CPUs and GPUs. A limit of
// -1 means no limit.
type Team struct {
	Name                       string
	GuaranteeCPU, GuaranteeGPU int64
	LimitCPU, LimitGPU         int64
	Partition                  int
}

// Teams returns the configured teams by name. A team's partition depends only on the settings, so
// that it is the same on every controller and one partition leader sees all of a team's jobs.
func Teams(c *config.Config) map[string]*Team {
	partitions := PartitionCount(c)
	teams := map[string]*Team{}
	for i, t := range c.Settings.Teams {
		team := &Team{Name: t.Name, GuaranteeCPU: Milli(t.CPUs), GuaranteeGPU: Milli(t.GPUs),
			LimitCPU: -1, LimitGPU: -1, Partition: i % partitions}
		if t.CPUsMax > 0 {
			team.LimitCPU = Milli(t.CPUsMax)
		}
		if t.GPUsMax > 0 {
			team.LimitGPU = Milli(t.GPUsMax)
		}
		teams[t.Name] = team
	}
	return teams
}

// PartitionCount returns the number of partitions: as configured, but at least one and at most one
// for each team.
func PartitionCount(c *config.Config) int {
	return max(1, min(int(c.Operator.Queues), len(c.Settings.Teams)))
}

// Milli converts an amount to thousandths, rounding to the nearest.
func Milli(v float64) int64 { return int64(v*1000 + 0.5) }

// WithinLimit reports whether a usage stays within the team's quota limit.
func (t *Team) WithinLimit(usage Resources) bool {
	return (t.LimitCPU < 0 || usage.CPU <= t.LimitCPU) && (t.LimitGPU < 0 || usage.GPU <= t.LimitGPU)
}

// WithinGuarantee reports whether a usage fits into the team's guaranteed quota.
func (t *Team) WithinGuarantee(usage Resources) bool {
	return usage.CPU <= t.GuaranteeCPU && usage.GPU <= t.GuaranteeGPU
}

// CanEverRun reports whether the team's quota limit allows the job to run at all: at least one task
// of an array, or all replicas of a service.
func (t *Team) CanEverRun(j *Job) bool {
	if j.Kind == Service {
		return t.WithinLimit(j.Resources.Times(int64(j.Tasks)))
	}
	return t.WithinLimit(j.Resources)
}
