package coordination

import "pipitlatch/internal/micros"

// spotLosses counts how often spot machines are preempted.
type spotLosses struct {
	losses      int
	machineTime micros.Time // machines times time
}

// spotPriorSeconds is for how many machine seconds one loss is assumed before there is anything
// to go by.
const spotPriorSeconds = 1800

// rate is how often a spot machine is preempted, a second.
func (s *spotLosses) rate() float64 {
	return float64(s.losses+1) / (micros.Seconds(s.machineTime) + spotPriorSeconds)
}
