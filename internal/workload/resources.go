package workload

// Resources holds amounts of CPUs, GPUs and gigabytes of memory, in thousandths.
type Resources struct {
	CPU int64 `json:"c"`
	GPU int64 `json:"g,omitempty"`
	Mem int64 `json:"m"`
}

// Add returns r + o.
func (r Resources) Add(o Resources) Resources {
	return Resources{r.CPU + o.CPU, r.GPU + o.GPU, r.Mem + o.Mem}
}

// Sub returns r - o.
func (r Resources) Sub(o Resources) Resources {
	return Resources{r.CPU - o.CPU, r.GPU - o.GPU, r.Mem - o.Mem}
}

// Times returns r multiplied by n.
func (r Resources) Times(n int64) Resources {
	return Resources{r.CPU * n, r.GPU * n, r.Mem * n}
}

// Min returns the lesser amount of each resource.
func (r Resources) Min(o Resources) Resources {
	return Resources{min(r.CPU, o.CPU), min(r.GPU, o.GPU), min(r.Mem, o.Mem)}
}

// Max returns the greater amount of each resource.
func (r Resources) Max(o Resources) Resources {
	return Resources{max(r.CPU, o.CPU), max(r.GPU, o.GPU), max(r.Mem, o.Mem)}
}

// Fits reports whether r fits into o.
func (r Resources) Fits(o Resources) bool {
	return r.CPU <= o.CPU && r.GPU <= o.GPU && r.Mem <= o.Mem
}

// maxCount is the result of Count when r is zero, and its upper bound.
const maxCount = 1 << 20

// Count returns how many times r fits into o.
func (r Resources) Count(o Resources) int64 {
	count := int64(maxCount)
	for _, amounts := range [...]struct{ each, available int64 }{
		{r.CPU, o.CPU},
		{r.GPU, o.GPU},
		{r.Mem, o.Mem},
	} {
		if amounts.each > 0 {
			count = min(count, max(0, amounts.available)/amounts.each)
		}
	}
	return count
}
