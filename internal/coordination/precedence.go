package coordination

import (
	"cmp"
	"slices"

	"pipitlatch/internal/coordination/scheduling"
	"pipitlatch/internal/micros"
)

// The exceptions to the order by the index (scheduling.Precedence), as they are found out about a
// job; flows behind their fair share are in fairness.go.

// nearObjective tells whether a job is in the last part of the time within which its
// class's objectives want its tasks begun, or it finished. Exception to the design:
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
		case "wait":
		case "finished":
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

// maxFirstTaskWait is how long a job waits for the start of its first task before
// that task goes ahead of the index.
const maxFirstTaskWait = 120 * micros.Second

// placeLongWaiting places the first task of the jobs that have waited long for it,
// before all others. Exception to the design: the index ranks what is long and
// late behind all that is short, under load for ever, and every job is to begin.
func (p *partitionLeader) placeLongWaiting(arrays []rankedJob, machines []*scheduling.Machine) {
	var late []rankedJob
	for _, r := range arrays {
		j := r.job
		if p.core.wall-j.readySince > maxFirstTaskWait && len(j.activeAttempts) == 0 && j.completedCount() == 0 {
			late = append(late, r)
		}
	}
	slices.SortStableFunc(late, func(a, b rankedJob) int { return cmp.Compare(a.job.readySince, b.job.readySince) })
	for _, r := range late {
		one := 1
		p.placeArray(r, machines, &one)
	}
}

// withinGuarantee tells whether the job fits into its team's guarantee with all that
// the team runs: such work need not wait on other teams. Exception to the design,
// whose index knows no teams: it comes before what teams borrow.
func (p *partitionLeader) withinGuarantee(j *job) bool {
	t := p.core.teams[j.Team]
	return t != nil && t.GuaranteeCPU+t.GuaranteeGPU > 0 && t.WithinGuarantee(p.teamUsage[j.Team].Add(j.Resources.Times(int64(j.pendingTasks.Len()))))
}
