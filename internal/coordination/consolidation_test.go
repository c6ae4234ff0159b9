package coordination

import "testing"

// TestObserveArrays checks that a rise counts at once, while a fall counts by a fraction per pass
// that grows with the fleet.
func TestObserveArrays(t *testing.T) {
	for _, c := range []struct {
		name      string
		recent    int64
		now       int64
		fleetSize int
		want      int64
	}{
		{"a rise at once", 1000, 5000, 10, 5000},
		{"a twentieth of a fall in a small fleet", 1000, 0, 10, 950},
		{"a tenth of a fall with 64 machines", 1000, 0, 64, 900},
		{"a quarter of a fall in a large fleet", 1000, 0, 4000, 750},
		{"a fall towards the current use", 1000, 600, 64, 960},
		{"without machines", 1000, 0, 0, 950},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := consolidationState{recentArrayCPU: c.recent}
			s.observeArrays(c.now, c.fleetSize)
			if s.recentArrayCPU != c.want {
				t.Errorf("got %d, want %d", s.recentArrayCPU, c.want)
			}
		})
	}
}
