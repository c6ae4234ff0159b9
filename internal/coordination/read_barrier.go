package coordination

import (
	"slices"

	"pipitlatch/internal/micros"
	"pipitlatch/internal/storage"
)

// readBarrier makes the replica good for answers to users: a read of the state
// service tells a revision, and once the stream has reached it, the replica is
// at least as new as the moment of that read. One read serves all that wait.
type readBarrier struct {
	waiting        []pendingRead // for the next read
	readInFlight   bool
	awaitingStream []pendingRead // read; wait for the stream
	lastReadAt     micros.Time
}

type pendingRead struct {
	deadline micros.Time
	revision uint64
	then     func(ok bool)
}

// readBarrierTimeout is how long a request may wait for the stream.
const readBarrierTimeout = 1200 * micros.Millisecond

// readBarrierInterval bounds the reads while many ask.
const readBarrierInterval = 100 * micros.Millisecond

// linearizableRead calls then(true) when the replica is as new as this moment, and
// then(false), at once where that is known, when it cannot be made so.
func (c *Core) linearizableRead(then func(ok bool)) {
	if !c.synced || c.term.SinceConfirmed(c.now) >= storeStaleAfter {
		then(false) // no news for long: waiting would only hold the answer back
		return
	}
	c.waiting = append(c.waiting, pendingRead{deadline: c.now + readBarrierTimeout, then: then})
	c.advanceReadBarrier()
}

func (c *Core) advanceReadBarrier() {
	late := func(w pendingRead) bool {
		if w.deadline <= c.now {
			w.then(false)
			return true
		}
		return false
	}
	c.waiting = slices.DeleteFunc(c.waiting, late)
	c.awaitingStream = slices.DeleteFunc(c.awaitingStream, late)
	if c.readInFlight || len(c.waiting) == 0 || c.now-c.lastReadAt < readBarrierInterval {
		return
	}
	batch := c.waiting
	ok := c.callStore(&storage.Request{Kind: storage.Get, Key: c.keys.ReadBarrier()}, storage.Deferrable, micros.Second, func(r *storage.Reply) {
		c.readInFlight = false
		if r.Outcome != storage.NotFound {
			for _, w := range batch {
				w.then(false)
			}
			return
		}
		for _, w := range batch {
			w.revision = r.Revision
			c.awaitingStream = append(c.awaitingStream, w)
		}
		c.releaseReads()
	})
	c.waiting = nil
	if !ok {
		for _, w := range batch {
			w.then(false)
		}
		return
	}
	c.readInFlight, c.lastReadAt = true, c.now
}

func (c *Core) releaseReads() {
	var free []pendingRead
	c.awaitingStream = slices.DeleteFunc(c.awaitingStream, func(w pendingRead) bool {
		if w.revision <= c.cache.Revision {
			free = append(free, w)
			return true
		}
		return false
	})
	for _, w := range free {
		w.then(true)
	}
}
