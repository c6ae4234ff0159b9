package scheduling

import (
	"slices"
	"testing"

	"pgregory.net/rapid"

	"pipitlatch/internal/admission"
	"pipitlatch/internal/micros"
)

// TestPrecedence checks that each exception overrides all lower-ranked criteria.
func TestPrecedence(t *testing.T) {
	low, high := &QueuedJob{Index: 1}, &QueuedJob{Index: 9}
	order := []struct {
		name       string
		precedence Precedence
	}{
		{"within guarantee, high index", Precedence{WithinGuarantee: true, Queued: high}},
		{"within guarantee, low index", Precedence{WithinGuarantee: true, Queued: low}},
		{"largest team lag", Precedence{Lag: admission.Lag{Team: 9, Class: 1}, Queued: low}},
		{"team lag, larger class lag", Precedence{Lag: admission.Lag{Team: 5, Class: 8}, Queued: low}},
		{"team lag, smaller class lag", Precedence{Lag: admission.Lag{Team: 5, Class: 7}, Queued: high, NearObjective: true}},
		{"class lag only", Precedence{Lag: admission.Lag{Class: 3}, Queued: low}},
		{"near objective, ready first", Precedence{NearObjective: true, ReadySince: 10, Queued: low}},
		{"near objective, ready later", Precedence{NearObjective: true, ReadySince: 20, Queued: high}},
		{"high index, ready first", Precedence{ReadySince: 1, Queued: high}},
		{"low index, ready later", Precedence{ReadySince: 30, Queued: low}},
	}
	for i, p := range order {
		t.Run(p.name, func(t *testing.T) {
			for k, o := range order {
				if got := p.precedence.Compare(o.precedence); (got < 0) != (i < k) || (got > 0) != (i > k) {
					t.Errorf("against %q: got %d", o.name, got)
				}
			}
		})
	}
}

// TestPrecedenceSortsConsistently checks that sorting by Compare leaves no pair of jobs out of order.
func TestPrecedenceSortsConsistently(t *testing.T) {
	draw := rapid.Custom(func(t *rapid.T) Precedence {
		small := rapid.Int64Range(0, 2)
		return Precedence{
			WithinGuarantee: rapid.Bool().Draw(t, "within guarantee"),
			NearObjective:   rapid.Bool().Draw(t, "near objective"),
			Lag:             admission.Lag{Team: small.Draw(t, "team"), Class: small.Draw(t, "class")},
			ReadySince:      micros.Time(small.Draw(t, "ready")),
			Queued:          &QueuedJob{Index: float64(small.Draw(t, "index"))},
		}
	})
	rapid.Check(t, func(t *rapid.T) {
		list := rapid.SliceOfN(draw, 2, 12).Draw(t, "jobs")
		slices.SortFunc(list, Precedence.Compare)
		for i := range list {
			for k := i + 1; k < len(list); k++ {
				if list[i].Compare(list[k]) > 0 {
					t.Fatalf("%+v sorted before %+v", list[i], list[k])
				}
			}
		}
	})
}
