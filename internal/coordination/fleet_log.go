package coordination

import (
	"cmp"
	"slices"

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

// logPlanLimit logs that a planning pass reached a limit: the array that took most of it, the arrays that
// were left out, and how many of their tasks started all the same.
func (p *partitionLeader) logPlanLimit(placements []arrayPlacement, leftOut []*arrayPlacement, started int) {
	if p.core.now-p.plan.limitLoggedAt < fleetLogInterval {
		return
	}
	p.plan.limitLoggedAt = p.core.now
	largest := slices.MaxFunc(placements, func(a, b arrayPlacement) int { return cmp.Compare(a.placed, b.placed) })
	tasks := 0
	for _, a := range leftOut {
		tasks += a.left()
	}
	p.core.log(messages.LevelInfo, "planning pass reached its limit",
		"partition", p.partition,
		"largest_job", largest.job.ID,
		"tasks_placed", largest.placed,
		"tasks_running", len(largest.job.activeAttempts),
		"jobs_left_out", len(leftOut),
		"first_left_out", leftOut[0].job.ID,
		"tasks_left_out", tasks,
		"tasks_started", started)
}

// logRequestTurns logs that there are more different capacity requests than one status message takes.
func (p *partitionLeader) logRequestTurns(requests int) {
	if p.core.now-p.plan.turnsLoggedAt < fleetLogInterval {
		return
	}
	p.plan.turnsLoggedAt = p.core.now
	p.core.log(messages.LevelInfo, "capacity requests take turns",
		"partition", p.partition,
		"requests", requests,
		"in_message", maxCapacityRequests)
}

// waitingTasks returns the number of pending tasks of the jobs.
func waitingTasks(jobs []rankedJob) int {
	n := 0
	for _, r := range jobs {
		n += r.job.pendingTasks.Len()
	}
	return n
}
