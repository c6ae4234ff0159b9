package scheduling

import (
	"slices"
	"testing"

	"pgregory.net/rapid"

	"pipitlatch/internal/admission"
	"pipitlatch/internal/micros"
)

// TestPrecedence: each exception goes before all that come after it, whatever these say.
func TestPrecedence(t *testing.T) {
	low, high := &Queued{Index: 1}, &Queued{Index: 9}
	order := []Precedence{
		{Guaranteed: true, Queued: high},
		{Guaranteed: true, Queued: low},
		{Behind: admission.Lag{Team: 9, Class: 1}, Queued: low},
		{Behind: admission.Lag{Team: 5, Class: 8}, Queued: low},
		{Behind: admission.Lag{Team: 5, Class: 7}, Queued: high, NearObjective: true},
		{Behind: admission.Lag{Class: 3}, Queued: low},
		{NearObjective: true, Ready: 10, Queued: low},
		{NearObjective: true, Ready: 20, Queued: high},
		{Ready: 1, Queued: high},
		{Ready: 30, Queued: low},
	}
	for i, p := range order {
		for k, o := range order {
			if got := p.Compare(o); (got < 0) != (i < k) || (got > 0) != (i > k) {
				t.Errorf("%d against %d: %d", i, k, got)
			}
		}
	}
}

// TestPrecedenceIsAnOrder: any jobs can be sorted by it.
func TestPrecedenceIsAnOrder(t *testing.T) {
	draw := rapid.Custom(func(t *rapid.T) Precedence {
		small := rapid.Int64Range(0, 2)
		return Precedence{Guaranteed: rapid.Bool().Draw(t, "guaranteed"), NearObjective: rapid.Bool().Draw(t, "objective"),
			Behind: admission.Lag{Team: small.Draw(t, "team"), Class: small.Draw(t, "class")}, Ready: micros.Time(small.Draw(t, "ready")),
			Queued: &Queued{Index: float64(small.Draw(t, "index"))}}
	})
	rapid.Check(t, func(t *rapid.T) {
		list := rapid.SliceOfN(draw, 2, 12).Draw(t, "jobs")
		slices.SortFunc(list, Precedence.Compare)
		for i := range list {
			for k := i + 1; k < len(list); k++ {
				if list[i].Compare(list[k]) > 0 {
					t.Fatalf("%+v after %+v", list[i], list[k])
				}
			}
		}
	})
}
