package scheduling

import "pipitlatch/internal/workload"

// MayRunOn tells whether a job's own conditions allow its tasks on a machine: its instance
// types, its zone, and whether it takes spot instances.
func MayRunOn(j *workload.Job, instanceType, zone string, spot bool) bool {
	return (!spot || j.Spot) && (j.Zone == "" || j.Zone == zone) && j.AllowsInstanceType(instanceType)
}
