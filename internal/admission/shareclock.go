package admission

import "pipitlatch/internal/micros"

// shareClock computes how far each of several parties lags behind its fair share of their total
// service, by start-time fair queueing: the tag of a party advances by the service it receives divided
// by its weight, and virtual time advances by the fair share. A party that starts to wait gets the
// current virtual time as its tag, so that idle parties accumulate no credit.
type shareClock struct {
	virtual    int64 // virtual time, in milli-CPU milliseconds for a weight of 1
	rate       int64 // advance of virtual time per millisecond
	advancedAt micros.Time
	bound      micros.Time // lags are capped at twice the bound
	parties    map[string]*party
}

// party is a participant in the sharing: a team, or a class within its team.
type party struct {
	tag     int64
	weight  int64
	use     int64 // milli CPU
	waiting bool
	// inheritedLag is the lag under the previous partition leader, until the rate is known and it can
	// be converted to a tag.
	inheritedLag micros.Time
}

func newShareClock(now, bound micros.Time) *shareClock {
	return &shareClock{advancedAt: now, bound: bound, parties: map[string]*party{}}
}

// load is the resource use of a party, and whether it has work that waits for capacity only.
type load struct {
	use     int64
	weight  int64
	waiting bool
}

// advance updates the tags to the given time, with the loads of the previous call, and stores the new
// loads.
func (c *shareClock) advance(now micros.Time, loads map[string]load) {
	c.accrue(now)
	next := map[string]*party{}
	for name, l := range loads {
		p := &party{tag: c.virtual}
		if old := c.parties[name]; old != nil && (old.waiting || old.tag > c.virtual) {
			p.tag, p.inheritedLag = old.tag, old.inheritedLag
		}
		p.use, p.weight, p.waiting = l.use, l.weight, l.waiting
		next[name] = p
	}
	for name, old := range c.parties {
		// A party that is ahead of its fair share remains so during a short time without work.
		if next[name] == nil && old.tag > c.virtual {
			next[name] = &party{tag: old.tag, weight: old.weight}
		}
	}
	c.parties = next
	c.setRate()
}

// setRate sets the rate of virtual time: the total use of the waiting parties, per unit of weight.
func (c *shareClock) setRate() {
	use, weights := int64(0), int64(0)
	for _, p := range c.parties {
		if p.waiting {
			use += p.use
			weights += p.weight
		}
	}
	c.rate = 0
	if weights == 0 {
		return
	}
	c.rate = use / weights
	for _, p := range c.parties {
		if p.inheritedLag > 0 && c.rate > 0 {
			p.tag -= min(p.inheritedLag, 2*c.bound) / micros.Millisecond * c.rate
			p.inheritedLag = 0
		}
	}
}

// accrue adds the service received since the last update to the tags.
func (c *shareClock) accrue(now micros.Time) {
	elapsed := (now - c.advancedAt) / micros.Millisecond
	if elapsed <= 0 {
		return
	}
	c.advancedAt += elapsed * micros.Millisecond
	c.virtual += c.rate * elapsed
	maxOffset := c.rate * 2 * c.bound / micros.Millisecond
	for _, p := range c.parties {
		p.tag = max(p.tag+p.use*elapsed/max(1, p.weight), c.virtual-maxOffset)
		if p.waiting {
			p.tag = min(p.tag, c.virtual+maxOffset) // a negative lag is capped in the same way
		}
	}
}

// lag returns how far a party is behind, in time at its fair share; negative if it received more.
func (c *shareClock) lag(name string) micros.Time {
	p := c.parties[name]
	switch {
	case p == nil:
		return 0
	case p.inheritedLag > 0:
		return p.inheritedLag
	case c.rate == 0:
		return 0
	}
	return (c.virtual - p.tag) / c.rate * micros.Millisecond
}

// restore sets the lag that a party had under the previous partition leader.
func (c *shareClock) restore(name string, lag micros.Time) {
	if lag > 0 {
		c.parties[name] = &party{tag: c.virtual, weight: 1, waiting: true, inheritedLag: lag}
	}
}
