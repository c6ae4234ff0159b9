package agents

import "testing"

func TestRuntimeRatio(t *testing.T) {
	tests := []struct {
		name         string
		ratios       []float64
		wantSlowness float64
		wantSlow     bool
	}{
		{"no tasks", nil, 1, false},
		{"as fast as others", []float64{1, 1, 1}, 1, false},
		{"faster than others", []float64{0.5, 0.5, 0.5}, 1, false},
		{"within the variation of healthy machines", []float64{1.5, 1.5, 1.5}, 1, false},
		{"beyond the variation of healthy machines", []float64{2, 2}, 1.5, false},
		{"four times as long", []float64{4, 4, 4}, 2.8, true},
		{"too few tasks to classify", []float64{8, 8}, 4.5, false},
		{"exactly at the limit", []float64{3.5, 3.5, 3.5}, 2.5, false},
		{"ratio of one hung task is capped at 20", []float64{1000, 1, 1, 1, 1, 1}, 3.375, true},
		{"one hung task among many", []float64{1000, 1, 1, 1, 1, 1, 1, 1, 1, 1, 1, 1, 1, 1}, 2.1875, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			var r RuntimeRatio
			for _, ratio := range test.ratios {
				r.Observe(ratio)
			}
			if got := r.Slowness(); got != test.wantSlowness {
				t.Errorf("Slowness = %v, want %v", got, test.wantSlowness)
			}
			if got := r.IsSlow(); got != test.wantSlow {
				t.Errorf("IsSlow = %v, want %v", got, test.wantSlow)
			}
		})
	}
}
