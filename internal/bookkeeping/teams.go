package bookkeeping

import "pipitlatch/internal/config"

// Team is a team's guarantee and limit in thousandths; a limit of -1 is none.
type Team struct {
	Name                     string
	GuaranteeCPU, GuaranteeG int64
	LimitCPU, LimitGPU       int64
	Queue                    int
}

// Teams builds the team table. A team's queue is a function of the settings
// alone, the same on every controller: one planner sees all of a team's jobs.
func Teams(c *config.Config) map[string]*Team {
	queues := Queues(c)
	out := map[string]*Team{}
	for i, t := range c.Settings.Teams {
		team := &Team{Name: t.Name, GuaranteeCPU: Milli(t.CPUs), GuaranteeG: Milli(t.GPUs),
			LimitCPU: -1, LimitGPU: -1, Queue: i % queues}
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

// Queues is the number of queues.
func Queues(c *config.Config) int {
	return max(1, min(int(c.Operator.Queues), len(c.Settings.Teams)))
}

// Milli converts an amount to thousandths.
func Milli(v float64) int64 { return int64(v*1000 + 0.5) }

// Allows tells whether use stays within the team's limit.
func (t *Team) Allows(use Resources) bool {
	return (t.LimitCPU < 0 || use.CPU <= t.LimitCPU) && (t.LimitGPU < 0 || use.GPU <= t.LimitGPU)
}

// Guaranteed tells whether use fits into the team's guarantee.
func (t *Team) Guaranteed(use Resources) bool {
	return use.CPU <= t.GuaranteeCPU && use.GPU <= t.GuaranteeG
}

// CanEver tells whether the job could run within the team's limit.
func (t *Team) CanEver(j *Job) bool {
	if j.Kind == Service {
		return t.Allows(j.Need.Times(int64(j.Tasks)))
	}
	return t.Allows(j.Need)
}
