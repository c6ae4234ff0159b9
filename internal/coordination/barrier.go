package coordination

import (
	"slices"

	"pipitlatch/internal/micros"
	"pipitlatch/internal/storage"
)

// barrier makes the replica good for answers to users: a read of the state
// service tells a revision, and once the stream has reached it, the replica is
// at least as new as the moment of that read. One read serves all that wait.
type barrier struct {
	waiting []barrierWait // for the next read
	reading bool
	reached []barrierWait // read; wait for the stream
	readAt  micros.Time
}

type barrierWait struct {
	deadline micros.Time
	revision uint64
	then     func(ok bool)
}

// barrierPatience is how long a request may wait for the stream.
const barrierPatience = 1200 * micros.Millisecond

// barrierPace bounds the reads while many ask.
const barrierPace = 100 * micros.Millisecond

// fresh calls then(true) when the replica is as new as this moment, and
// then(false), at once where that is known, when it cannot be made so.
func (c *Core) fresh(then func(ok bool)) {
	if !c.synced || c.term.SinceConfirmed(c.now) >= staleAfter {
		then(false) // no news for long: waiting would only hold the answer back
		return
	}
	c.waiting = append(c.waiting, barrierWait{deadline: c.now + barrierPatience, then: then})
	c.tickBarrier()
}

func (c *Core) tickBarrier() {
	late := func(w barrierWait) bool {
		if w.deadline <= c.now {
			w.then(false)
			return true
		}
		return false
	}
	c.waiting = slices.DeleteFunc(c.waiting, late)
	c.reached = slices.DeleteFunc(c.reached, late)
	if c.reading || len(c.waiting) == 0 || c.now-c.readAt < barrierPace {
		return
	}
	batch := c.waiting
	ok := c.callState(&storage.Request{Kind: storage.Get, Key: c.keys.ReadBarrier()}, storage.Deferrable, micros.Second, func(r *storage.Reply) {
		c.reading = false
		if r.Outcome != storage.NotFound {
			for _, w := range batch {
				w.then(false)
			}
			return
		}
		for _, w := range batch {
			w.revision = r.Revision
			c.reached = append(c.reached, w)
		}
		c.releaseBarrier()
	})
	c.waiting = nil
	if !ok {
		for _, w := range batch {
			w.then(false)
		}
		return
	}
	c.reading, c.readAt = true, c.now
}

func (c *Core) releaseBarrier() {
	var free []barrierWait
	c.reached = slices.DeleteFunc(c.reached, func(w barrierWait) bool {
		if w.revision <= c.replica.Revision {
			free = append(free, w)
			return true
		}
		return false
	})
	for _, w := range free {
		w.then(true)
	}
}
