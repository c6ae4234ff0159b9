package coordination

import "pipitlatch/internal/micros"

// Kinds of service-level objectives, as the settings name them.
const (
	objectiveWait      = "wait"      // a class's tasks must start within a time
	objectiveFinished  = "finished"  // a class's jobs must end within a time
	objectiveGuarantee = "guarantee" // tasks within a team's guaranteed quota must start within a time
)

// This file determines which exceptions to the index order (scheduling.Precedence) apply to a job.
// Flows behind their fair share are handled in fair_shares.go.

// nearObjective reports whether a job is in the last tenth of the time within which a service-level
// objective of its class requires its tasks to start, or the job to finish. This deviates from the
// scheduling model: the index ranks long overdue tasks behind all short ones, so that under load
// such a job starts last and misses its objectives by far. Once an objective has been missed,
// nothing is gained by hurrying, and the index applies again.
func (p *partitionLeader) nearObjective(j *job) bool {
	age := p.core.wall - j.readySince
	for _, o := range p.core.config.Settings.Objectives {
		if o.Class != j.Class {
			continue
		}
		limit := micros.FromSeconds(o.WithinS)
		switch o.Kind {
		case objectiveWait:
		case objectiveFinished:
			// It must start early enough for its slowest task to end in time.
			limit -= micros.Time(float64(p.estimate(j)) * p.core.runtimes.TailRatio(j.Class))
		default:
			continue
		}
		if age > limit*9/10 && age < limit {
			return true
		}
	}
	return false
}

// withinGuarantee reports whether all pending tasks of the job fit into its team's guaranteed quota
// together with everything the team runs. Such work precedes work on borrowed quota, so that it does
// not wait for other teams. This deviates from the scheduling model, whose index has no teams.
func (p *partitionLeader) withinGuarantee(j *job) bool {
	t := p.core.teams[j.Team]
	if t == nil || t.GuaranteeCPU+t.GuaranteeGPU <= 0 {
		return false
	}
	waiting := j.Resources.Times(int64(j.pendingTasks.Len()))
	return t.WithinGuarantee(p.teamUsage[j.Team].Add(waiting))
}
