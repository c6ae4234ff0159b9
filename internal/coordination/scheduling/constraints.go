package scheduling

import "pipitlatch/internal/workload"

// MayRunOn reports whether a machine meets the placement constraints of a job: its instance types,
// its zone, and whether it may use spot instances.
func MayRunOn(j *workload.Job, instanceType, zone string, spot bool) bool {
	return (!spot || j.Spot) && (j.Zone == "" || j.Zone == zone) && j.AllowsInstanceType(instanceType)
}
