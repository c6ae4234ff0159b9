package coordination

import (
	"testing"

	"pipitlatch/internal/micros"
)

func TestSpotLossRate(t *testing.T) {
	for name, test := range map[string]struct {
		losses spotLosses
		want   float64
	}{
		"one in half an hour without observations": {spotLosses{}, 1.0 / 1800},
		"lower after hours without a loss":         {spotLosses{machineTime: 16200 * micros.Second}, 1.0 / 18000},
		"higher after losses":                      {spotLosses{losses: 9, machineTime: 200 * micros.Second}, 10.0 / 2000},
	} {
		t.Run(name, func(t *testing.T) {
			if got := test.losses.rate(); got != test.want {
				t.Errorf("rate %v, want %v", got, test.want)
			}
		})
	}
}
