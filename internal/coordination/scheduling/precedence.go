package scheduling

import (
	"cmp"

	"pipitlatch/internal/admission"
	"pipitlatch/internal/micros"
)

// Precedence is what places an array's job among the others: the exceptions to the order by
// the index, in the order in which they apply, and then the index. Each exception is the
// smallest that worked; docs/design.md has their figures.
type Precedence struct {
	// WithinGuarantee: it fits into its team's guaranteed quota, and does not wait on what
	// others borrow.
	WithinGuarantee bool
	// Lag is how far its flow is behind its fair share, if that is more than the bound.
	Lag admission.Lag
	// NearObjective: its class's tasks are to have begun, or it is to be finished, soon. Of
	// these the one that is ready longest goes first.
	NearObjective bool
	ReadySince    micros.Time
	// Queued has the index.
	Queued *QueuedJob
}

// Compare orders jobs whose index is known; negative: p goes first.
func (p Precedence) Compare(o Precedence) int {
	switch {
	case p.WithinGuarantee != o.WithinGuarantee:
		return first(p.WithinGuarantee)
	case p.Lag != o.Lag:
		return p.Lag.Compare(o.Lag)
	case p.NearObjective != o.NearObjective:
		return first(p.NearObjective)
	case p.NearObjective:
		return cmp.Compare(p.ReadySince, o.ReadySince)
	}
	return cmp.Compare(o.Queued.Index, p.Queued.Index)
}

// first orders what it is true for before the rest.
func first(is bool) int {
	if is {
		return -1
	}
	return 1
}
