package admission

import "pipitlatch/internal/micros"

// recentPeriod is the sliding window of recentCounter, which counts acceptances, admissions by epochs,
// and refusals for lack of capacity as a sign of overload.
const recentPeriod = 5 * micros.Second

// recentCounter counts the events of the recent period in buckets of one second.
type recentCounter struct {
	second micros.Time // the second counted by counts[0]
	counts [recentPeriod / micros.Second]int64
}

// advance drops the buckets that are older than the recent period.
func (r *recentCounter) advance(now micros.Time) {
	second := now / micros.Second
	for ; r.second < second; r.second++ {
		if second-r.second > micros.Time(len(r.counts)) {
			clear(r.counts[:])
			r.second = second
			return
		}
		copy(r.counts[1:], r.counts[:len(r.counts)-1])
		r.counts[0] = 0
	}
}

func (r *recentCounter) add(now micros.Time) {
	r.advance(now)
	r.counts[0]++
}

// total returns the number of events in the recent period.
func (r *recentCounter) total(now micros.Time) int64 {
	r.advance(now)
	sum := int64(0)
	for _, n := range r.counts {
		sum += n
	}
	return sum
}
