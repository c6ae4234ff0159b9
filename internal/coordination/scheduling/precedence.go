package scheduling

import (
	"cmp"

	"pipitlatch/internal/admission"
	"pipitlatch/internal/micros"
)

// Precedence is the sort key of a queued array job: the exceptions to the index order, in the
// order in which they apply, followed by the index. Each exception is the smallest one that proved
// effective; docs/design.md gives the measurements.
type Precedence struct {
	// WithinGuarantee is set for a job that fits into its team's guaranteed quota; it must not wait
	// behind jobs that borrow capacity beyond theirs.
	WithinGuarantee bool
	// Lag is how far the job's flow is behind its fair share, or zero if within the bound.
	Lag admission.Lag
	// NearObjective is set if the start-time objective of the job's class or the job's completion
	// objective is close. Such jobs are ordered by ReadySince, earliest first.
	NearObjective bool
	ReadySince    micros.Time
	// Queued holds the job's index.
	Queued *QueuedJob
}

// Compare returns a negative number if p goes before o, and a positive number if it goes after o.
// The indices must have been set by Rank.
func (p Precedence) Compare(o Precedence) int {
	switch {
	case p.WithinGuarantee != o.WithinGuarantee:
		return compareTrueFirst(p.WithinGuarantee)
	case p.Lag != o.Lag:
		return p.Lag.Compare(o.Lag)
	case p.NearObjective != o.NearObjective:
		return compareTrueFirst(p.NearObjective)
	case p.NearObjective:
		return cmp.Compare(p.ReadySince, o.ReadySince)
	}
	return cmp.Compare(o.Queued.Index, p.Queued.Index)
}

// compareTrueFirst returns the comparison result that orders a true value before a false one.
func compareTrueFirst(value bool) int {
	if value {
		return -1
	}
	return 1
}
