package protocol

import "math"

// Limits of the fields of a submission. Those of amounts are far above the size of any machine and far
// below overflow.
const (
	maxAmount        = 1e6
	maxSeconds       = 1e8
	maxTextBytes     = 200
	maxInstanceTypes = 64
)

// fieldChecker validates the fields of a submission and collects the errors, so that a user receives all
// of them at once, in the order in which the fields were checked.
type fieldChecker struct{ errs []error }

func (c *fieldChecker) malformed(field, format string, args ...any) {
	c.errs = append(c.errs, malformedField(field, format, args...))
}

// amount checks a required number between 0 and limit.
func (c *fieldChecker) amount(field string, v *float64, limit float64) float64 {
	switch {
	case v == nil:
		c.malformed(field, "missing")
		return 0
	case math.IsNaN(*v) || *v < 0 || *v > limit:
		c.malformed(field, "out of range: %v", *v)
		return 0
	}
	return *v
}

// text checks a required string.
func (c *fieldChecker) text(field string, v *string) string {
	if v == nil || *v == "" || len(*v) > maxTextBytes {
		c.malformed(field, "missing, empty or too long")
		return ""
	}
	return *v
}

// flag checks a required boolean.
func (c *fieldChecker) flag(field string, v *bool) bool {
	if v == nil {
		c.malformed(field, "missing")
		return false
	}
	return *v
}

// enumValue checks a required string that names a value of an enumeration.
func enumValue[T any](c *fieldChecker, field string, v *string, values map[string]T) T {
	name := c.text(field, v)
	value, ok := values[name]
	if !ok {
		c.malformed(field, "unknown: %q", name)
	}
	return value
}

// tasks checks the number of tasks in a job.
func (c *fieldChecker) tasks(field string, v *int) int {
	if v == nil || *v < 1 || *v > MaxTasks {
		c.malformed(field, "missing or out of range")
		return 0
	}
	return *v
}

// instanceTypes checks the names of the instance types that a job may run on; null means all.
func (c *fieldChecker) instanceTypes(field string, names []string) []string {
	if names != nil && (len(names) == 0 || len(names) > maxInstanceTypes) {
		c.malformed(field, "must be null or name 1 to 64 types")
	}
	for _, name := range names {
		if name == "" || len(name) > maxTextBytes {
			c.malformed(field, "a name is empty or too long")
			break
		}
	}
	return names
}

// dependencies checks the ids of the jobs that a job depends on and removes duplicates.
func (c *fieldChecker) dependencies(field string, ids []string) []string {
	var unique []string
	seen := map[string]bool{}
	for _, id := range ids {
		if !ValidJobID(id) {
			c.malformed(field, "an entry is not of the form wk-000000")
			break
		}
		if !seen[id] {
			seen[id] = true
			unique = append(unique, id)
		}
	}
	return unique
}
