package coordination

import "pipitlatch/internal/micros"

// spotLosses estimates how often spot machines are lost: preempted, or unresponsive.
type spotLosses struct {
	losses      int
	machineTime micros.Time // total run time of all spot machines
}

// spotPriorSeconds is the prior of the estimate: one loss in this many machine seconds is assumed
// before any has been observed.
const spotPriorSeconds = 1800

// rate returns the estimated losses per spot machine and second.
func (s *spotLosses) rate() float64 {
	return float64(s.losses+1) / (micros.Seconds(s.machineTime) + spotPriorSeconds)
}
