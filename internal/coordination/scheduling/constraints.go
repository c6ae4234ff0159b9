package scheduling

import "pipitlatch/internal/workload"

// MayRunOn reports whether the placement constraints of a job (instance types, zone, and whether
// spot instances are allowed) permit its tasks on a machine.
func MayRunOn(j *workload.Job, instanceType, zone string, spot bool) bool {
	return (!spot || j.Spot) && (j.Zone == "" || j.Zone == zone) && j.AllowsInstanceType(instanceType)
}
