package coordination

import "pipitlatch/internal/micros"

// Kinds of service-level objectives, as the settings name them.
const (
	objectiveWait      = "wait"      // a class's tasks are to begin within a time
	objectiveFinished  = "finished"  // a class's jobs are to end within a time
	objectiveGuarantee = "guarantee" // what is within a team's guaranteed quota is to begin within a time
)

// This file has the exceptions to the order by the index (scheduling.Precedence), as they are
// found out about a job; flows behind their fair share are in fair_shares.go.

// nearObjective tells whether a job is in the last part of the time within which its
// class's service-level objectives want its tasks begun, or it finished. Exception to the design:
// the index ranks what is long and late behind all that is short, so that under load
// such a job begins last of all, and then long after these times. Past them nothing
// is gained any more, and the index decides again.
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
			// It has to begin so much earlier that its slowest task ends in time.
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

// withinGuarantee tells whether the job fits into its team's guaranteed quota with all
// that the team runs: such work need not wait on other teams. Exception to the design,
// whose index knows no teams: it comes before borrowed quota.
func (p *partitionLeader) withinGuarantee(j *job) bool {
	t := p.core.teams[j.Team]
	if t == nil || t.GuaranteeCPU+t.GuaranteeGPU <= 0 {
		return false
	}
	waiting := j.Resources.Times(int64(j.pendingTasks.Len()))
	return t.WithinGuarantee(p.teamUsage[j.Team].Add(waiting))
}
