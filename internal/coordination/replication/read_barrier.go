package replication

import (
	"slices"

	"pipitlatch/internal/micros"
	"pipitlatch/internal/storage"
)

const (
	// readTimeout is how long a linearizable read may wait for the stream.
	readTimeout = 1200 * micros.Millisecond
	// readInterval bounds the requests while there are many reads.
	readInterval = 100 * micros.Millisecond
	// readRequestTimeout is how long the store's reply is waited for.
	readRequestTimeout = micros.Second
)

// stream is what a read barrier needs of the change stream.
type stream interface {
	// Current tells whether the stream has been heard of late.
	Current() bool
	// Revision is how far the stream has come.
	Revision() uint64
}

// readBarrier makes the cache good for responses to users: a read of the key-value store tells
// its revision, and once the stream has reached that, the cache is at least as new as the
// moment of that read. One request serves all reads that wait.
type readBarrier struct {
	environment    Environment
	stream         stream
	key            string        // of a record that never exists
	waiting        []pendingRead // for the next request
	inFlight       bool
	lastSentAt     micros.Time
	awaitingStream []pendingRead // their revision is known
}

type pendingRead struct {
	deadline micros.Time
	revision uint64
	then     func(ok bool)
}

func newReadBarrier(environment Environment, stream stream, key string) *readBarrier {
	return &readBarrier{environment: environment, stream: stream, key: key}
}

// read calls then when the stream has reached this moment, or cannot.
func (b *readBarrier) read(then func(ok bool)) {
	if !b.stream.Current() {
		then(false) // the stream is silent for long: waiting would only hold the response back
		return
	}
	b.waiting = append(b.waiting, pendingRead{deadline: b.environment.Now() + readTimeout, then: then})
	b.advance()
}

// advance fails the reads whose time is over and sends a request for those that wait.
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
	done := func(reply *storage.Reply) { b.takeRevision(batch, reply) }
	if !b.environment.CallStore(request, storage.Deferrable, readRequestTimeout, done) {
		failAll(batch)
		return
	}
	b.inFlight, b.lastSentAt = true, now
}

// takeRevision takes the store's reply to the request for a batch of reads: as the record does
// not exist, all that a reply tells is the revision.
func (b *readBarrier) takeRevision(batch []pendingRead, reply *storage.Reply) {
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

// failOverdue fails the reads whose time is over, and returns the others.
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
