package replication

import (
	"slices"
	"testing"

	"pipitlatch/internal/coordination/storetest"
	"pipitlatch/internal/micros"
	"pipitlatch/internal/storage"
)

// fakeStream is a change stream whose state is set by the test.
type fakeStream struct {
	stale    bool
	revision uint64
}

func (s *fakeStream) Current() bool    { return !s.stale }
func (s *fakeStream) Revision() uint64 { return s.revision }

// barrierTest is a read barrier with its fake environment and the names of the completed reads.
type barrierTest struct {
	*readBarrier
	environment *storetest.Environment
	stream      *fakeStream
	succeeded   []string
	failed      []string
}

// newBarrierTest returns a barrier at a time of 10 s whose stream has reached revision 10.
func newBarrierTest() *barrierTest {
	b := &barrierTest{
		environment: &storetest.Environment{Time: 10 * micros.Second},
		stream:      &fakeStream{revision: 10},
	}
	b.readBarrier = newReadBarrier(b.environment, b.stream, "test/barrier")
	return b
}

func (b *barrierTest) begin(name string) {
	b.read(func(ok bool) {
		if ok {
			b.succeeded = append(b.succeeded, name)
		} else {
			b.failed = append(b.failed, name)
		}
	})
}

func (b *barrierTest) reach(revision uint64) {
	b.stream.revision = revision
	b.release()
}

func (b *barrierTest) require(t *testing.T, succeeded, failed []string) {
	t.Helper()
	if !slices.Equal(b.succeeded, succeeded) || !slices.Equal(b.failed, failed) {
		t.Fatalf("succeeded %v and failed %v, want %v and %v", b.succeeded, b.failed, succeeded, failed)
	}
}

// notFound returns the store's reply for a missing key at a revision.
func notFound(revision uint64) storage.Reply {
	return storage.Reply{Outcome: storage.NotFound, Revision: revision}
}

func TestReadWaitsUntilTheStreamReachesItsRevision(t *testing.T) {
	b := newBarrierTest()
	b.begin("a")
	call := b.environment.Take(t, storage.Get)
	if call.Request.Key != "test/barrier" || call.Urgency != storage.Deferrable {
		t.Errorf("sent %+v of urgency %d", call.Request, call.Urgency)
	}
	b.reach(99) // no effect before the reply, as the required revision is still unknown
	b.stream.revision = 10
	b.require(t, nil, nil)
	call.Reply(notFound(12))
	b.require(t, nil, nil)
	b.reach(11)
	b.require(t, nil, nil)
	b.reach(12)
	b.require(t, []string{"a"}, nil)
	b.reach(13)
	b.require(t, []string{"a"}, nil)
}

func TestReadSucceedsImmediatelyIfTheStreamHasReachedItsRevision(t *testing.T) {
	b := newBarrierTest()
	b.begin("a")
	b.environment.Take(t, storage.Get).Reply(notFound(10))
	b.require(t, []string{"a"}, nil)
}

// TestReadsShareRequests checks that pending reads share one request. A read that begins while a
// request is in flight needs the next one, as the revision in the reply may predate the read. The test
// also checks that the next request is sent no earlier than readInterval after the previous one.
func TestReadsShareRequests(t *testing.T) {
	b := newBarrierTest()
	b.begin("a")
	first := b.environment.Take(t, storage.Get)
	b.begin("b")
	b.environment.Time += readInterval
	b.begin("c")
	b.environment.RequireNoCall(t) // one in flight at a time
	first.Reply(notFound(10))
	b.require(t, []string{"a"}, nil)
	b.advance()
	second := b.environment.Take(t, storage.Get)
	b.begin("d")
	second.Reply(notFound(10))
	b.require(t, []string{"a", "b", "c"}, nil)
	b.environment.Time += readInterval - 1
	b.advance()
	b.environment.RequireNoCall(t)
	b.environment.Time++
	b.advance()
	b.environment.Take(t, storage.Get)
}

func TestReadFailsImmediately(t *testing.T) {
	t.Run("while the stream is stale", func(t *testing.T) {
		b := newBarrierTest()
		b.stream.stale = true
		b.begin("a")
		b.environment.RequireNoCall(t)
		b.require(t, nil, []string{"a"})
	})
	t.Run("when the request budget is spent", func(t *testing.T) {
		b := newBarrierTest()
		b.environment.OverBudget = true
		b.begin("a")
		b.require(t, nil, []string{"a"})
		b.environment.OverBudget = false
		b.begin("b") // no request was sent, so the interval does not apply
		b.environment.Take(t, storage.Get).Reply(notFound(10))
		b.require(t, []string{"b"}, []string{"a"})
	})
}

func TestReadFailsIfTheStoreDoesNotReturnItsRevision(t *testing.T) {
	for name, outcome := range map[string]storage.Outcome{
		"unavailable":       storage.Unavailable,
		"outcome unknown":   storage.OutcomeUnknown,
		"the record exists": storage.OK,
	} {
		t.Run(name, func(t *testing.T) {
			b := newBarrierTest()
			b.begin("a")
			call := b.environment.Take(t, storage.Get)
			b.begin("b")
			call.Reply(storage.Reply{Outcome: outcome, Revision: 10})
			b.require(t, nil, []string{"a"})
			b.environment.Time += readInterval
			b.advance()
			b.environment.Take(t, storage.Get).Reply(notFound(10))
			b.require(t, []string{"b"}, []string{"a"})
		})
	}
}

func TestReadsTimeOut(t *testing.T) {
	b := newBarrierTest()
	b.begin("waits for the stream")
	b.environment.Take(t, storage.Get).Reply(notFound(12))
	b.begin("waits for a request")
	b.environment.RequireNoCall(t)
	b.environment.Time += readTimeout - 1
	b.environment.OverBudget = true
	b.inFlight = true // no request can be sent for it
	b.advance()
	b.require(t, nil, nil)
	b.environment.Time++
	b.advance()
	b.require(t, nil, []string{"waits for a request", "waits for the stream"})
	b.reach(12)
	b.require(t, nil, []string{"waits for a request", "waits for the stream"})
}
