package cancellation

import (
	"fmt"
	"slices"
	"testing"

	"pipitlatch/internal/coordination/messages"
	"pipitlatch/internal/micros"
	"pipitlatch/internal/storage"
)

const (
	now = 1000 * micros.Second
	ttl = 70 * micros.Second
)

var (
	self = storage.Process{Member: "n1", Incarnation: "x"}
	peer = storage.Process{Member: "n2", Incarnation: "x"}
)

func newExchange() *Exchange { return NewExchange(self, ttl) }

// withJobs returns an exchange that holds cancellations committed at revisions 101, 102 and so on.
func withJobs(count int) *Exchange {
	e := newExchange()
	for i := range count {
		e.RecordCommitted(now, jobName(i), uint64(101+i))
	}
	return e
}

func jobName(i int) string { return fmt.Sprintf("j%05d", i) }

func jobNames(from, to int) []string {
	var names []string
	for i := from; i < to; i++ {
		names = append(names, jobName(i))
	}
	return names
}

// peerStatus returns a status of the peer with the revision of its change stream and its acknowledgements.
func peerStatus(revision uint64, acks ...messages.CancellationAck) *messages.PeerStatus {
	return &messages.PeerStatus{From: peer, Revision: revision, CancellationAcks: acks}
}

// statusWithNotices returns a status of a process that contains notices of cancelled jobs.
func statusWithNotices(from storage.Process, upTo uint64, jobs ...string) *messages.PeerStatus {
	return &messages.PeerStatus{From: from, Cancelled: jobs, CancelledUpTo: upTo}
}

func requireNotices(t *testing.T, e *Exchange, to *messages.PeerStatus, want []string, wantUpTo uint64) {
	t.Helper()
	if jobs, upTo := e.NoticesFor(to); !slices.Equal(jobs, want) || upTo != wantUpTo {
		t.Errorf("%d notices %v up to %d, want %d %v up to %d", len(jobs), jobs, upTo, len(want), want, wantUpTo)
	}
}

func TestNoticesForPeer(t *testing.T) {
	ack := func(from storage.Process, upTo uint64) messages.CancellationAck {
		return messages.CancellationAck{From: from, UpTo: upTo}
	}
	earlier := storage.Process{Member: self.Member, Incarnation: "w"}
	tests := []struct {
		name     string
		peer     *messages.PeerStatus
		want     []string
		wantUpTo uint64
	}{
		{"no status received", nil, jobNames(0, 4), 4},
		{"change stream includes the second", peerStatus(102), jobNames(2, 4), 4},
		{"first acknowledged", peerStatus(0, ack(peer, 4), ack(self, 1)), jobNames(1, 4), 4},
		{"fewer acknowledged than in its change stream", peerStatus(103, ack(self, 1)), jobNames(3, 4), 4},
		{"more acknowledged than in its change stream", peerStatus(101, ack(self, 3)), jobNames(3, 4), 4},
		{"change stream includes all", peerStatus(104), nil, 0},
		{"all acknowledged", peerStatus(0, ack(self, 4)), nil, 0},
		{"notices of an earlier process acknowledged", peerStatus(0, ack(earlier, 4)), jobNames(0, 4), 4},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			requireNotices(t, withJobs(4), test.peer, test.want, test.wantUpTo)
		})
	}
}

func TestNoticesPerMessageAreLimited(t *testing.T) {
	e := withJobs(maxNoticesPerMessage + 2)
	requireNotices(t, e, nil, jobNames(0, maxNoticesPerMessage), maxNoticesPerMessage)
	rest := peerStatus(0, messages.CancellationAck{From: self, UpTo: maxNoticesPerMessage})
	requireNotices(t, e, rest, jobNames(maxNoticesPerMessage, maxNoticesPerMessage+2), maxNoticesPerMessage+2)
}

func TestCommittedIsNewOnce(t *testing.T) {
	e := newExchange()
	if e.Known("j") {
		t.Error("known before it was committed")
	}
	if !e.RecordCommitted(now, "j", 101) {
		t.Error("the first commit is not reported as new")
	}
	if e.RecordCommitted(now, "j", 102) {
		t.Error("the same cancellation is reported as new when the change stream delivers it")
	}
	if !e.Known("j") {
		t.Error("not known after it was committed")
	}
	requireNotices(t, e, nil, []string{"j"}, 1)
}

func TestStoredNoticesAreLimited(t *testing.T) {
	e := withJobs(maxNotices)
	if !e.Known(jobName(0)) {
		t.Error("the oldest notice was dropped before the limit was exceeded")
	}
	e.RecordCommitted(now, "last", 1<<20)
	if e.Known(jobName(0)) || !e.Known(jobName(1)) || !e.Known("last") {
		t.Error("want only the oldest notice dropped, and the newest kept")
	}
	if jobs, _ := e.NoticesFor(nil); jobs[0] != jobName(1) {
		t.Errorf("the first notice is %s, want the second committed", jobs[0])
	}
}

func TestReceive(t *testing.T) {
	restarted := storage.Process{Member: peer.Member, Incarnation: "y"}
	tests := []struct {
		name     string
		status   *messages.PeerStatus // after notices of a and b, up to 7
		wantJobs []string
		wantAck  messages.CancellationAck
	}{
		{"new jobs", statusWithNotices(peer, 9, "c", "d"), []string{"c", "d"}, messages.CancellationAck{From: peer, UpTo: 9}},
		{"repeated notice", statusWithNotices(peer, 7, "a", "b"), nil, messages.CancellationAck{}},
		{"some jobs new", statusWithNotices(peer, 8, "b", "c"), []string{"c"}, messages.CancellationAck{From: peer, UpTo: 8}},
		{"late notice does not reduce the acknowledgement",
			statusWithNotices(peer, 6, "a"), nil, messages.CancellationAck{}},
		{"restarted peer numbers its notices from 1",
			statusWithNotices(restarted, 1, "a"), nil, messages.CancellationAck{From: restarted, UpTo: 1}},
		{"no notices", statusWithNotices(peer, 9), nil, messages.CancellationAck{}},
		{"this controller's own status", statusWithNotices(self, 9, "c"), nil, messages.CancellationAck{}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			e := newExchange()
			e.Receive(now, statusWithNotices(peer, 7, "a", "b"))
			jobs, newAck := e.Receive(now, test.status)
			if !slices.Equal(jobs, test.wantJobs) {
				t.Errorf("jobs to stop %v, want %v", jobs, test.wantJobs)
			}
			if want := test.wantAck != (messages.CancellationAck{}); newAck != want {
				t.Errorf("new acknowledgement: %v, want %v", newAck, want)
			}
			want := messages.CancellationAck{From: peer, UpTo: 7}
			if newAck {
				want = test.wantAck
			}
			if got := e.Acks(); !slices.Equal(got, []messages.CancellationAck{want}) {
				t.Errorf("acknowledgements %v, want %v", got, want)
			}
			for _, job := range test.wantJobs {
				if !e.Known(job) {
					t.Errorf("job %s is not known to be cancelled", job)
				}
			}
		})
	}
}

func TestReceivedNoticesAreNotForwarded(t *testing.T) {
	e := newExchange()
	e.Receive(now, statusWithNotices(peer, 1, "a"))
	requireNotices(t, e, nil, nil, 0)
	if !e.RecordCommitted(now, "a", 101) {
		t.Error("a commit is not reported as new after a peer's notice of it")
	}
	requireNotices(t, e, nil, []string{"a"}, 1)
}

func TestReceivedNoticesAreLimited(t *testing.T) {
	e := newExchange()
	if jobs, _ := e.Receive(now, statusWithNotices(peer, 1, jobNames(0, maxNotices+1)...)); len(jobs) != maxNotices {
		t.Errorf("%d jobs to stop, want %d", len(jobs), maxNotices)
	}
	if e.Known(jobName(maxNotices)) {
		t.Error("more received notices are stored than the limit allows")
	}
}

func TestAcksAreSortedByMember(t *testing.T) {
	e := newExchange()
	var want []messages.CancellationAck
	for _, member := range []string{"n9", "n3", "n5", "n2"} {
		from := storage.Process{Member: member, Incarnation: "x"}
		e.Receive(now, statusWithNotices(from, 4, "a"))
		want = append(want, messages.CancellationAck{From: from, UpTo: 4})
	}
	slices.SortFunc(want, func(a, b messages.CancellationAck) int {
		if a.From.Member < b.From.Member {
			return -1
		}
		return 1
	})
	if got := e.Acks(); !slices.Equal(got, want) {
		t.Errorf("acknowledgements %v, want %v", got, want)
	}
	if got := newExchange().Acks(); got != nil {
		t.Errorf("acknowledgements %v without any notices", got)
	}
}

func TestNoticesExpire(t *testing.T) {
	tests := []struct {
		name     string
		at       []micros.Time // times of the calls to Expire
		want     []string      // jobs still known
		wantGone []string      // jobs no longer known
	}{
		{"kept until the ttl has passed",
			[]micros.Time{now + ttl}, []string{"committed", "requested", "committed later", "requested later"}, nil},
		{"removed after the ttl, later ones kept",
			[]micros.Time{now + ttl + 1},
			[]string{"committed later", "requested later"}, []string{"committed", "requested"}},
		{"not removed again within the interval",
			[]micros.Time{now + ttl, now + ttl + expiryInterval - 1}, []string{"committed", "requested"}, nil},
		{"removed again after the interval",
			[]micros.Time{now + ttl, now + ttl + expiryInterval}, nil,
			[]string{"committed", "requested", "committed later", "requested later"}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			e := newExchange()
			e.RecordCommitted(now, "committed", 101)
			e.RecordCommitted(now+1, "committed later", 102)
			e.Receive(now, statusWithNotices(peer, 1, "requested"))
			e.Receive(now+1, statusWithNotices(peer, 2, "requested later"))
			for _, at := range test.at {
				e.Expire(at)
			}
			requireKnown(t, e, true, test.want)
			requireKnown(t, e, false, test.wantGone)
			jobs, _ := e.NoticesFor(nil)
			for _, job := range test.wantGone {
				if slices.Contains(jobs, job) {
					t.Errorf("a notice of %q is still sent", job)
				}
			}
		})
	}
}

func requireKnown(t *testing.T, e *Exchange, want bool, jobs []string) {
	t.Helper()
	for _, job := range jobs {
		if got := e.Known(job); got != want {
			t.Errorf("%q known: %v, want %v", job, got, want)
		}
	}
}
