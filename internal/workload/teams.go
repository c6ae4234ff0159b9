package workload

import "pipitlatch/internal/config"

// Team is a team's guarantee and limit in thousandths; a limit of -1 is none.
type Team struct {
	Name                       string
	GuaranteeCPU, GuaranteeGPU int64
	LimitCPU, LimitGPU         int64
	Partition                  int
}

// Teams builds the team table. A team's queue is a function of the settings
// alone, the same on every controller: one planner sees all of a team's jobs.
func Teams(c *config.Config) map[string]*Team {
	queues := PartitionCount(c)
	out := map[string]*Team{}
	for i, t := range c.Settings.Teams {
		team := &Team{Name: t.Name, GuaranteeCPU: Milli(t.CPUs), GuaranteeGPU: Milli(t.GPUs),
			LimitCPU: -1, LimitGPU: -1, Partition: i % queues}
		if t.CPUsMax > 0 {
			team.LimitCPU = Milli(t.CPUsMax)
		}
		if t.GPUsMax > 0 {
			team.LimitGPU = Milli(t.GPUsMax)
		}
		out[t.Name] = team
	}
	return out
}

// PartitionCount is the number of queues.
func PartitionCount(c *config.Config) int {
	return max(1, min(int(c.Operator.Queues), len(c.Settings.Teams)))
}

// Milli converts an amount to thousandths.
func Milli(v float64) int64 { return int64(v*1000 + 0.5) }

// WithinLimit tells whether use stays within the team's limit.
func (t *Team) WithinLimit(use Resources) bool {
	return (t.LimitCPU < 0 || use.CPU <= t.LimitCPU) && (t.LimitGPU < 0 || use.GPU <= t.LimitGPU)
}

// WithinGuarantee tells whether use fits into the team's guarantee.
func (t *Team) WithinGuarantee(use Resources) bool {
	return use.CPU <= t.GuaranteeCPU && use.GPU <= t.GuaranteeGPU
}

// CanEverRun tells whether the job could run within the team's limit.
func (t *Team) CanEverRun(j *Job) bool {
	if j.Kind == Service {
		return t.WithinLimit(j.Resources.Times(int64(j.Tasks)))
	}
	return t.WithinLimit(j.Resources)
}
