package coordination

import (
	"pipitlatch/internal/coordination/messages"
	"pipitlatch/internal/micros"
)

const (
	// fleetLogInterval is how often the state of the fleet is logged.
	fleetLogInterval = 10 * micros.Second
	// milliCPUsPerCPU converts from thousandths, in which CPU is counted, to whole CPUs.
	milliCPUsPerCPU = 1000
)

// fleetUsage sums up the machines and the CPU usage of a part of the fleet. CPU is in thousandths.
type fleetUsage struct {
	machines, booting, draining                int
	cpu, cpuBooting                            int64
	cpuForServices, cpuForRunning, cpuStarting int64
}

// add adds a machine to the sums.
func (u *fleetUsage) add(m *machine) {
	u.machines++
	u.cpu += m.instanceType.Capacity.CPU
	if !m.agent.HasHeartbeat() {
		u.booting++
		u.cpuBooting += m.instanceType.Capacity.CPU
	}
	if m.drain.reason != notDraining {
		u.draining++
	}
	for _, a := range m.attempts {
		switch {
		case a.state == messages.Exited:
		case a.isReplica():
			u.cpuForServices += a.resources.CPU
		case a.state == messages.Fetching:
			u.cpuStarting += a.resources.CPU
		default:
			u.cpuForRunning += a.resources.CPU
		}
	}
}

// logFleet logs the usage of the partition's machines, separately for on-demand and spot machines.
func (p *partitionLeader) logFleet(services, arrays []rankedJob) {
	if p.core.now-p.plan.fleetLoggedAt < fleetLogInterval {
		return
	}
	p.plan.fleetLoggedAt = p.core.now
	waiting := waitingTasks(services) + waitingTasks(arrays)
	var onDemand, spot fleetUsage
	for _, m := range p.machines {
		switch {
		case m.instanceType == nil:
		case m.record.Spot:
			spot.add(m)
		default:
			onDemand.add(m)
		}
	}
	p.logFleetUsage(false, &onDemand, waiting)
	p.logFleetUsage(true, &spot, waiting)
}

func (p *partitionLeader) logFleetUsage(spot bool, u *fleetUsage, waiting int) {
	p.core.log(messages.LevelDebug, "fleet summary",
		"partition", p.partition,
		"spot", spot,
		"machines", u.machines,
		"booting", u.booting,
		"draining", u.draining,
		"cpu", u.cpu/milliCPUsPerCPU,
		"cpu_booting", u.cpuBooting/milliCPUsPerCPU,
		"cpu_services", u.cpuForServices/milliCPUsPerCPU,
		"cpu_running", u.cpuForRunning/milliCPUsPerCPU,
		"cpu_starting", u.cpuStarting/milliCPUsPerCPU,
		"tasks_waiting", waiting)
}

// logPlanLimit logs that a planning pass reached its limit of tasks: the job that took the last of
// them, how many it took, and the jobs that were left out.
func (p *partitionLeader) logPlanLimit(last rankedJob, taken int, leftOut []rankedJob) {
	if len(leftOut) == 0 || p.core.now-p.plan.limitLoggedAt < fleetLogInterval {
		return
	}
	p.plan.limitLoggedAt = p.core.now
	p.core.log(messages.LevelInfo, "planning pass reached its limit",
		"partition", p.partition,
		"job", last.job.ID,
		"tasks_taken", taken,
		"tasks_running", len(last.job.activeAttempts),
		"jobs_left_out", len(leftOut),
		"first_left_out", leftOut[0].job.ID,
		"tasks_left_out", waitingTasks(leftOut))
}

// waitingTasks returns the number of pending tasks of the jobs.
func waitingTasks(jobs []rankedJob) int {
	n := 0
	for _, r := range jobs {
		n += r.job.pendingTasks.Len()
	}
	return n
}
