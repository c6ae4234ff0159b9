package replication

import (
	"slices"

	"pipitlatch/internal/micros"
	"pipitlatch/internal/storage"
)

const (
	// readTimeout limits how long a linearizable read waits for the change stream.
	readTimeout = 1200 * micros.Millisecond
	// readInterval is the minimum time between two requests, however many reads are pending.
	readInterval = 100 * micros.Millisecond
	// readRequestTimeout limits the wait for the store's reply.
	readRequestTimeout = micros.Second
)

// stream is the part of the change stream that a read barrier depends on.
type stream interface {
	// Current reports whether the stream has been confirmed recently.
	Current() bool
	// Revision returns the latest revision that the stream has reached.
	Revision() uint64
}

// readBarrier provides linearizable reads of the cache. A request to the key-value store returns
// its current revision; once the change stream has reached that revision, the cache is at least
// as recent as the request. One request serves all pending reads.
type readBarrier struct {
	environment    Environment
	stream         stream
	key            string        // key of a record that never exists
	waiting        []pendingRead // reads to be served by the next request
	inFlight       bool
	lastSentAt     micros.Time
	awaitingStream []pendingRead // reads whose revision is known
}

type pendingRead struct {
	deadline micros.Time
	revision uint64
	then     func(ok bool)
}

func newReadBarrier(environment Environment, stream stream, key string) *readBarrier {
	return &readBarrier{environment: environment, stream: stream, key: key}
}

// read calls then(true) once the stream has caught up with this call, or then(false) if it cannot.
func (b *readBarrier) read(then func(ok bool)) {
	if !b.stream.Current() {
		then(false) // the stream is stale: waiting would only delay the response
		return
	}
	b.waiting = append(b.waiting, pendingRead{deadline: b.environment.Now() + readTimeout, then: then})
	b.advance()
}

// advance fails reads that have timed out, and sends a request for the pending ones.
func (b *readBarrier) advance() {
	now := b.environment.Now()
	b.waiting = failOverdue(b.waiting, now)
	b.awaitingStream = failOverdue(b.awaitingStream, now)
	if b.inFlight || len(b.waiting) == 0 || now-b.lastSentAt < readInterval {
		return
	}
	batch := b.waiting
	b.waiting = nil
	request := &storage.Request{Kind: storage.Get, Key: b.key}
	done := func(reply *storage.Reply) { b.handleRevision(batch, reply) }
	if !b.environment.CallStore(request, storage.Deferrable, readRequestTimeout, done) {
		failAll(batch)
		return
	}
	b.inFlight, b.lastSentAt = true, now
}

// handleRevision handles the store's reply to the request for a batch of reads. As the record does
// not exist, a successful reply contains only the revision.
func (b *readBarrier) handleRevision(batch []pendingRead, reply *storage.Reply) {
	b.inFlight = false
	if reply.Outcome != storage.NotFound {
		failAll(batch)
		return
	}
	for _, read := range batch {
		read.revision = reply.Revision
		b.awaitingStream = append(b.awaitingStream, read)
	}
	b.release()
}

// release completes the reads whose revision the stream has reached.
func (b *readBarrier) release() {
	revision := b.stream.Revision()
	var reached []pendingRead
	b.awaitingStream = slices.DeleteFunc(b.awaitingStream, func(read pendingRead) bool {
		if read.revision > revision {
			return false
		}
		reached = append(reached, read)
		return true
	})
	for _, read := range reached {
		read.then(true)
	}
}

// failOverdue fails the reads that have timed out, and returns the others.
func failOverdue(reads []pendingRead, now micros.Time) []pendingRead {
	return slices.DeleteFunc(reads, func(read pendingRead) bool {
		if read.deadline > now {
			return false
		}
		read.then(false)
		return true
	})
}

func failAll(reads []pendingRead) {
	for _, read := range reads {
		read.then(false)
	}
}
