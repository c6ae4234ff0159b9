package coordination

import (
	"slices"

	"pipitlatch/internal/coordination/messages"

	"pipitlatch/internal/micros"
)

// All that reasons about cancellations beyond the conditional write itself is here.
//
// A cancellation binds from its commit: from then on any node may tell it to a user,
// and cancel_s runs. Three things end the tasks in time, each without the others: the
// holder's stream shows it; a sibling that knows of it tells the holder (a notice, which
// only stops work); and the holder's term, after which it answers no worker, so that
// leases run out. What was told to stop and is not shown gone in time makes its
// machine go.

const (
	// maxCancellationNotices bounds the cancellations that are kept to be told, and heard.
	maxCancellationNotices = 8192
	// maxNoticesPerMessage bounds those in one message.
	maxNoticesPerMessage = 500
)

// cancellationNotice is a cancellation that is a fact: committed here, or shown by the stream.
type cancellationNotice struct {
	job      string
	sequence uint64 // counts the notices of this process
	revision uint64 // at which it was committed
	at       micros.Time
}

// cancellations is what this controller tells of, and heard from its siblings.
type cancellations struct {
	notices      []cancellationNotice // oldest first
	lastSequence uint64               // number of the newest
	noticed      map[string]bool
	acked        map[string]messages.CancellationAck // by member: how far its notices came
	requested    map[string]micros.Time              // jobs that a sibling knows to be cancelled: since when
	expiredAt    micros.Time
}

func newCancellations() cancellations {
	return cancellations{noticed: map[string]bool{}, acked: map[string]messages.CancellationAck{}, requested: map[string]micros.Time{}}
}

// cancellationNoticeTTL is how long a cancellation may matter to somebody who has not heard of it:
// within cancel_s, what he holds has ended by itself.
func (c *Core) cancellationNoticeTTL() micros.Time {
	return 2 * micros.FromSeconds(c.config.Settings.Workers.CancelS)
}

// noteCancellation notes a cancellation that is committed: by this controller, which is about
// to tell its user, or by another, as the stream shows. Whoever knows of it tells it on,
// since the one that committed it may end right after its answer.
func (c *Core) noteCancellation(id string, revision uint64, own bool) {
	s := &c.cancellations
	if s.noticed[id] {
		return
	}
	s.noticed[id] = true
	s.lastSequence++
	s.notices = append(s.notices, cancellationNotice{id, s.lastSequence, revision, c.now})
	if len(s.notices) > maxCancellationNotices {
		delete(s.noticed, s.notices[0].job)
		s.notices = s.notices[1:]
	}
	if own {
		c.status.soon = true // the holder is to hear of it at once
		c.requestCancel(id)
	}
}

// cancellationNoticesFor are the cancellations that a sibling may not know of: its stream had not come
// that far when it last spoke, nor has it said that it heard of them.
func (c *Core) cancellationNoticesFor(member string) (jobs []string, upTo uint64) {
	var heard, revision uint64
	if p := c.peers.Latest(member); p != nil {
		revision = p.Status.Revision
		for _, h := range p.Status.CancellationAcks {
			if h.From == c.process {
				heard = h.UpTo
			}
		}
	}
	for _, w := range c.cancellations.notices {
		if w.sequence <= heard || w.revision <= revision {
			continue
		}
		if len(jobs) == maxNoticesPerMessage {
			break
		}
		jobs, upTo = append(jobs, w.job), w.sequence
	}
	return jobs, upTo
}

// receiveCancellationNotices takes a sibling's notices. They are believed for stopping only: nobody is told
// that a job is cancelled, and no term gets longer, before the stream shows it. So a
// late or repeated notice does no harm.
func (c *Core) receiveCancellationNotices(s *messages.PeerStatus) {
	if len(s.Cancelled) == 0 || s.From == c.process {
		return
	}
	mine := &c.cancellations
	if h := mine.acked[s.From.Member]; h.From != s.From || h.UpTo < s.CancelledUpTo {
		mine.acked[s.From.Member] = messages.CancellationAck{From: s.From, UpTo: s.CancelledUpTo}
		c.status.soon = true
	}
	for _, id := range s.Cancelled {
		if _, ok := mine.requested[id]; ok || len(mine.requested) >= maxCancellationNotices {
			continue
		}
		mine.requested[id] = c.now
		c.requestCancel(id)
	}
}

// cancellationAcks is what siblings are told of how far their notices came.
func (c *Core) cancellationAcks() []messages.CancellationAck {
	var out []messages.CancellationAck
	for _, m := range sortedKeys(c.cancellations.acked) {
		out = append(out, c.cancellations.acked[m])
	}
	return out
}

// expireCancellationNotices forgets what matters to nobody any more.
func (c *Core) expireCancellationNotices() {
	s := &c.cancellations
	if c.now-s.expiredAt < micros.Second {
		return
	}
	s.expiredAt = c.now
	for len(s.notices) > 0 && c.now-s.notices[0].at > c.cancellationNoticeTTL() {
		delete(s.noticed, s.notices[0].job)
		s.notices = s.notices[1:]
	}
	for id, at := range s.requested {
		if c.now-at > c.cancellationNoticeTTL() {
			delete(s.requested, id)
		}
	}
}

// requestCancel stops all work of a job that is known to be cancelled, before the stream
// shows it.
func (c *Core) requestCancel(id string) {
	for _, n := range sortedKeys(c.partitions) {
		if j := c.partitions[n].jobs[id]; j != nil {
			c.partitions[n].requestCancel(j)
		}
	}
}

func (p *partitionLeader) requestCancel(j *job) {
	if j.cancelRequested {
		return
	}
	j.cancelRequested = true
	p.core.log(messages.LevelInfo, "job cancellation received", "job", j.ID, "tasks", len(j.activeAttempts))
	for _, t := range sortedKeys(j.activeAttempts) {
		p.kill(j.activeAttempts[t])
	}
	for _, a := range j.duplicateAttempts {
		p.kill(a)
	}
	p.plan.stale = true
}

// isCancelled tells whether a job is cancelled as far as the stream shows.
func (c *Core) isCancelled(id string) bool {
	e := c.cache.Jobs[id]
	return e != nil && e.Cancelled()
}

// kill stops a task of a cancelled job. The cancellation came after the news before
// this: it would have been in them. From there its clock is taken to run.
func (p *partitionLeader) kill(a *attempt) {
	if a.state == messages.Exited {
		return
	}
	p.stopAttempt(a, 0)
	if a.state == messages.Exited || a.stop.killDeadline != 0 {
		return // its start was not sent yet; or it is counted already
	}
	// A worker that has its last answer by then loses the task to its lease within
	// cancel_s, and as much time is left for the cloud to delete the machine.
	// One whose time is over already still gets the moment that a stop takes.
	a.stop.killDeadline = max(p.core.replica.PreviousWatchSentAt()+p.core.config.LeadershipTerm(), p.core.now+killLatency)
	p.pendingKills = append(p.pendingKills, a)
}

// killLatency is how long a stop takes at most where nothing is wrong.
const killLatency = 1500 * micros.Millisecond

// killAdopted is kill for a task that a predecessor left: when its job was cancelled is
// not known, but its machine just spoke under this token, so that a stop takes a moment.
func (p *partitionLeader) killAdopted(a *attempt) {
	p.kill(a)
	if a.stop.killDeadline != 0 {
		a.stop.killDeadline = min(a.stop.killDeadline, p.core.now+2*p.suspicionTimeout())
	}
}

// drainOverdueKills gives up the machines on which a cancelled task is not shown gone in
// time: hung, or out of reach. They are deleted, and get no answers, so that their lease
// ends too. A kill is done when its task is gone, not when it was sent.
func (p *partitionLeader) drainOverdueKills() {
	p.pendingKills = slices.DeleteFunc(p.pendingKills, func(a *attempt) bool {
		if a.state == messages.Exited || p.machine(a.machine.id) != a.machine {
			return true
		}
		if p.core.now < a.stop.killDeadline || a.machine.decommissioned() {
			return false
		}
		p.startDrain(a.machine, drainKillTimeout)
		return false
	})
}
