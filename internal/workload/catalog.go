package workload

import (
	"slices"

	"pipitlatch/internal/micros"
)

// InstanceType is one entry of the cloud's catalog. It is stored as JSON under its field names, which
// must therefore not change.
type InstanceType struct {
	Name      string
	Capacity  Resources
	CacheGB   float64
	FetchGBps float64
	Price     float64 // per hour
	SpotPrice float64
	Boot      micros.Time
	Zones     []string
}

// Catalog maps the names of the cloud's instance types to their descriptions.
type Catalog map[string]*InstanceType

// Fits reports whether a task of the job fits on at least one instance type that the job allows, in
// an allowed zone.
func (c Catalog) Fits(j *Job) bool {
	for _, t := range c {
		inZone := j.Zone == "" || slices.Contains(t.Zones, j.Zone)
		if inZone && j.AllowsInstanceType(t.Name) && j.Resources.Fits(t.Capacity) {
			return true
		}
	}
	return false
}

// SameTypes reports whether two catalogs have the same instance types. Prices are ignored because
// they fluctuate.
func (c Catalog) SameTypes(o Catalog) bool {
	if len(c) != len(o) {
		return false
	}
	for name, a := range c {
		b := o[name]
		if b == nil || !a.equalExceptPrices(b) {
			return false
		}
	}
	return true
}

func (t *InstanceType) equalExceptPrices(o *InstanceType) bool {
	return t.Capacity == o.Capacity &&
		t.Boot == o.Boot &&
		t.CacheGB == o.CacheGB &&
		t.FetchGBps == o.FetchGBps &&
		slices.Equal(t.Zones, o.Zones)
}
