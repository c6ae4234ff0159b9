package config

import "fmt"

// Warnings returns messages on settings that are valid but likely to cause problems. Each begins with
// the path of its field.
func (c *Config) Warnings() []string {
	var out []string
	warn := func(field, format string, args ...any) {
		out = append(out, field+": "+fmt.Sprintf(format, args...))
	}
	s := &c.Settings
	if calls := c.Sockets().Calls; calls < 32 {
		warn("settings.machine_limits.max_connections",
			"%d leave %d for calls to workers: a new holder asks few machines at a time",
			s.MachineLimits.MaxConnections, calls)
	}
	if s.MachineLimits.MemoryMB < 48 {
		warn("settings.machine_limits.memory_mb",
			"%v is little more than a process without jobs needs", s.MachineLimits.MemoryMB)
	}
	if s.Workers.LeaseS < 3*s.Workers.ReportS {
		warn("settings.workers.lease_s",
			"%v is less than three report times of %v: two lost answers end a machine's tasks",
			s.Workers.LeaseS, s.Workers.ReportS)
	}
	for i, t := range s.Teams {
		if t.CPUsMax > 0 && t.CPUs > t.CPUsMax {
			warn(fmt.Sprintf("settings.teams[%d].cpus", i), "%v are guaranteed, but cpus_max allows %v", t.CPUs, t.CPUsMax)
		}
		if t.GPUsMax > 0 && t.GPUs > t.GPUsMax {
			warn(fmt.Sprintf("settings.teams[%d].gpus", i), "%v are guaranteed, but gpus_max allows %v", t.GPUs, t.GPUsMax)
		}
	}
	if l := s.StateLimits(); l.WriteRPS/float64(max(1, s.Nodes)) < 4 {
		warn("settings.state.write_rps", "%v leaves each controller less than 4 changes a second", l.WriteRPS)
	}
	return out
}
