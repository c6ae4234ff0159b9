package admission

import "pipitlatch/internal/micros"

// shareClock computes how far each of several parties has fallen behind its fair share of what they
// are served together, by start-time fair queueing: each has a tag that grows with the service it
// gets, divided by its weight, and virtual time grows with the fair share. One that begins to wait
// gets the present virtual time as its tag, so that nobody saves up.
type shareClock struct {
	virtual    int64 // milli CPU times milliseconds, for a weight of 1
	rate       int64 // of virtual time, a millisecond
	advancedAt micros.Time
	bound      micros.Time // lags beyond twice the bound are not remembered
	parties    map[string]*party
}

// party is one of those that share.
type party struct {
	tag     int64
	weight  int64
	use     int64 // milli CPU
	waiting bool
	// inheritedLag is the lag under the former partition leader, until the rate is known.
	inheritedLag micros.Time
}

func newShareClock(now, bound micros.Time) *shareClock {
	return &shareClock{advancedAt: now, bound: bound, parties: map[string]*party{}}
}

// load is what a party uses, and whether it has work that waits for nothing but capacity.
type load struct {
	use     int64
	weight  int64
	waiting bool
}

// advance brings the tags up to a time, by the loads of the last call, and takes new loads.
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
		// What was used ahead of the fair share is not forgotten by a moment without work.
		if next[name] == nil && old.tag > c.virtual {
			next[name] = &party{tag: old.tag, weight: old.weight}
		}
	}
	c.parties = next
	c.setRate()
}

// setRate sets the rate of virtual time: the fair share of what those that wait use together.
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

// accrue adds what was used since the last time.
func (c *shareClock) accrue(now micros.Time) {
	elapsed := (now - c.advancedAt) / micros.Millisecond
	if elapsed <= 0 {
		return
	}
	c.advancedAt += elapsed * micros.Millisecond
	c.virtual += c.rate * elapsed
	remembered := c.rate * 2 * c.bound / micros.Millisecond
	for _, p := range c.parties {
		p.tag = max(p.tag+p.use*elapsed/max(1, p.weight), c.virtual-remembered)
		if p.waiting {
			p.tag = min(p.tag, c.virtual+remembered) // nor is more than that held against a party
		}
	}
}

// lag is for how long in sum a party got nothing of its fair share; negative: it got more.
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

// restore takes the lag that a party had under the former partition leader.
func (c *shareClock) restore(name string, lag micros.Time) {
	if lag > 0 {
		c.parties[name] = &party{tag: c.virtual, weight: 1, waiting: true, inheritedLag: lag}
	}
}
