package scheduling

import (
	"fmt"
	"testing"

	"pipitlatch/internal/micros"
	"pipitlatch/internal/workload"
)

// cpuResources returns the resources of a task that requires the given number of CPUs.
func cpuResources(cpu int64) workload.Resources {
	return workload.Resources{CPU: cpu * 1000, Mem: 1000}
}

func TestTimelineGaps(t *testing.T) {
	tl := NewTimeline(0, cpuResources(8))
	tl.steps[0].free.Mem = 64_000
	tl.Reserve(cpuResources(6), 0, 10*s)       // 2 CPUs free from 0 to 10 s
	tl.Reserve(cpuResources(4), 20*s, 10*s)    // 8 free from 10 to 20 s, 4 from 20 to 30 s
	tl.Reserve(cpuResources(8), 40*s, Forever) // none free from 40 s
	for _, c := range []struct {
		cpu          int64
		from, length micros.Time
		want         micros.Time
		found        bool
	}{
		{2, 0, 40 * s, 0, true},
		{2, 0, 41 * s, 0, false},
		{4, 0, 30 * s, 10 * s, true},
		{8, 0, 10 * s, 10 * s, true},
		{8, 0, 11 * s, 0, false},
		{8, 15 * s, 5 * s, 15 * s, true},
		{8, 16 * s, 5 * s, 30 * s, true},
		{1, 0, Forever, 0, false},
	} {
		t.Run(fmt.Sprintf("%d CPUs for %d s from %d s", c.cpu, c.length/s, c.from/s), func(t *testing.T) {
			got, found := tl.Gap(cpuResources(c.cpu), c.from, c.length)
			if found != c.found || (found && got != c.want) {
				t.Errorf("got %d s %v, want %d s %v", got/s, found, c.want/s, c.found)
			}
		})
	}
}
