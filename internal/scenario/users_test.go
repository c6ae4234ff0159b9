package scenario

import (
	"fmt"
	"strings"

	"pipitlatch/internal/coordination/messages"
	"pipitlatch/internal/micros"
	"pipitlatch/internal/protocol"
	"pipitlatch/internal/workload"
)

// users submit, poll and cancel, and hold every answer against the rules.
type users struct {
	w              *World
	jobs           map[string]*userJob
	order          []string
	unknownLookups int // polls for jobs that nobody submitted
	balancers      []*balancer
	startCount     int

	cancelShare      float64 // of jobs that end, cancelled at that moment
	cancelUntil      micros.Time
	verifyReadsUntil micros.Time // users look closely until then
	oddRequests      int
}

func newUsers(w *World) *users {
	u := &users{w: w, jobs: map[string]*userJob{}}
	for _, n := range w.nodes {
		u.balancers = append(u.balancers, &balancer{node: n, readmissionDelay: 3 * micros.Second})
	}
	w.after(200*micros.Millisecond, u.probeHealth)
	u.checkContinuously()
	return u
}

// inputOf makes the input of a request.
type inputOf func(messages.RequestID) messages.Input

// request sends a request on the job's connection and calls then with the status; 0:
// none.
func (u *users) request(j *userJob, patience micros.Time, input inputOf, then replyFunc) {
	w := u.w
	b := u.connect(j)
	if b == nil {
		w.after(10*micros.Millisecond, func() { then(0, nil) })
		return
	}
	n := b.node
	over := false
	end := func(status int, body []byte) {
		if !over {
			over = true
			if status == 0 && j != nil {
				j.requests.connection = nil // given up with its request
			}
			then(status, body)
		}
	}
	w.after(patience, func() { end(0, nil) })
	w.send(usersHost, n.name, func() {
		n.request(input, func(a messages.Response) {
			status, body := userReply(&a)
			w.send(n.name, usersHost, func() {
				if j != nil {
					j.told.retryAfter = a.RetryAfter
				}
				end(status, body)
			})
		})
	})
}

// userReply is an answer to a user on the wire.
func userReply(a *messages.Response) (int, []byte) {
	switch a.Kind {
	case messages.JobAccepted:
		return 201, protocol.EncodeJobStatus(a.Job)
	case messages.JobFound:
		return 200, protocol.EncodeJobStatus(a.Job)
	case messages.RequestMalformed:
		return 400, nil
	case messages.JobUnschedulable:
		return 422, nil
	case messages.JobNotFound:
		return 404, nil
	case messages.Overloaded:
		return 429, nil
	case messages.ServiceUnavailable, messages.HeartbeatAcknowledged, messages.HeartbeatRedirected:
		return 503, nil
	}
	return 503, nil
}

// requestOf asks one node, whatever the balancer thinks.
func (u *users) requestOf(n *node, input inputOf, then func(messages.Response)) {
	u.w.send(usersHost, n.name, func() {
		n.request(input, func(a messages.Response) { u.w.send(n.name, usersHost, func() { then(a) }) })
	})
}

func (u *users) submit(j *userJob) {
	if u.jobs[j.ref] == nil {
		u.jobs[j.ref] = j
		u.order = append(u.order, j.ref)
		j.submittedAt = u.w.now
	}
	j.requests.sent = true
	body := j.body
	input := func(id messages.RequestID) messages.Input {
		ref, job, err := protocol.ParseSubmission(body)
		s := &messages.Submit{Request: id, ID: ref, Job: job}
		if err != nil {
			s.Job, s.Fault = nil, err.Error()
		}
		return s
	}
	j.told.retryAfter = 0
	u.request(j, 5*micros.Second, input, func(status int, body []byte) {
		switch status {
		case 200, 201:
			u.accepted(j, status)
			u.receiveStatus(j, body)
		case 400, 422:
			j.told.refused = status
			if j.told.accepted != 0 {
				u.w.breakRule("forgotten", "%s: accepted, then answered %d", j.ref, status)
			}
		default:
			if wait := u.retryDelay(j); u.w.now+wait-j.submittedAt < 60*micros.Second {
				u.w.after(wait, func() { u.submit(j) })
			}
		}
	})
	if j.requests.submitsEverywhere {
		u.submitElsewhere(j, input)
	}
}

// submitElsewhere sends a submission to all nodes but the one that its user is connected to.
func (u *users) submitElsewhere(j *userJob, input inputOf) {
	for _, b := range u.balancers {
		if j.requests.connection == b || !b.node.up() {
			continue
		}
		u.w.send(usersHost, b.node.name, func() {
			b.node.request(input, func(a messages.Response) {
				if a.Kind == messages.JobAccepted {
					u.accepted(j, 201)
				}
			})
		})
	}
}

// accepted notes that a job was accepted: anew once at most.
func (u *users) accepted(j *userJob, status int) {
	if status == 201 {
		if j.told.timesAccepted++; j.told.timesAccepted > 1 {
			u.w.breakRule("accepted_twice", "%s: 201 a second time", j.ref)
		}
	}
	if j.told.accepted == 0 {
		j.told.accepted = u.w.now
		u.verifyReads(j)
		u.w.after(u.w.random.Int64N(5*micros.Second), func() { u.poll(j) })
	}
}

// retryDelay is when a user submits again that was refused.
func (u *users) retryDelay(j *userJob) micros.Time {
	wait := micros.Second
	if !j.requests.ignoresRetryAfter {
		// Retry-After is in whole seconds, and up to 30 s of it is honoured.
		whole := (j.told.retryAfter + micros.Second - 1) / micros.Second * micros.Second
		wait = max(wait, min(whole, 30*micros.Second))
	}
	return wait + u.w.random.Int64N(micros.Second/2)
}

func (u *users) poll(j *userJob) {
	if j.requests.unansweredSince == 0 && (j.told.done || j.told.cancelled != 0) && u.w.random.IntN(3) > 0 {
		u.w.after(15*micros.Second, func() { u.poll(j) })
		return
	}
	if j.requests.unansweredSince == 0 {
		j.requests.unansweredSince = u.w.now
	}
	u.request(j, 2*micros.Second, func(id messages.RequestID) messages.Input {
		return &messages.Lookup{Request: id, ID: j.ref}
	}, func(status int, body []byte) {
		switch status {
		case 200:
			u.receiveStatus(j, body)
		case 404:
			if j.told.accepted != 0 {
				u.w.breakRule("forgotten", "%s: accepted, then answered 404", j.ref)
			}
		}
		u.w.after(4500*micros.Millisecond+u.w.random.Int64N(micros.Second), func() { u.poll(j) })
	})
}

func (u *users) cancel(j *userJob) {
	j.cancelRequested = true
	u.request(j, 5*micros.Second, func(id messages.RequestID) messages.Input {
		return &messages.Cancel{Request: id, ID: j.ref}
	}, func(status int, body []byte) {
		if status == 200 {
			u.receiveStatus(j, body)
			return
		}
		if status == 404 && j.told.accepted != 0 {
			u.w.breakRule("forgotten", "%s: accepted, then answered 404 when cancelled", j.ref)
		}
		u.w.after(micros.Second+u.w.random.Int64N(micros.Second/2), func() { u.cancel(j) })
	})
}

// cancelNow calls off jobs that run, within a fifth of a second; with hang, a machine
// of each hangs from then on.
func (u *users) cancelNow(n int, hang micros.Time) {
	for _, ref := range u.order {
		j := u.jobs[ref]
		if n == 0 || j.told.accepted == 0 || j.cancelRequested || j.told.done {
			continue
		}
		on := u.w.cloud.machinesMatching(ref)
		if len(on) == 0 {
			continue
		}
		n--
		u.w.after(u.w.random.Int64N(200*micros.Millisecond), func() { u.cancel(j) })
		if hang > 0 {
			on[0].hang(hang)
		}
	}
}

// lookUpUnknown polls for a job that nobody submitted.
func (u *users) lookUpUnknown(ref string) {
	u.request(nil, 2*micros.Second, func(id messages.RequestID) messages.Input {
		return &messages.Lookup{Request: id, ID: ref}
	}, func(status int, _ []byte) { u.checkUnknownLookup(ref, status) })
}

// sendOddRequests sends, every half second, repeats of unfinished jobs, cancellations of done ones
// and jobs that fit no machine or lack a field.
func (u *users) sendOddRequests(until micros.Time) {
	if u.w.now >= until {
		return
	}
	for _, ref := range u.order {
		j := u.jobs[ref]
		switch {
		case j.told.accepted == 0 || u.w.random.IntN(4) > 0:
		case j.told.done:
			j.cancelRequested = true
			u.cancel(j)
		case j.told.cancelled == 0:
			u.submit(j)
		}
	}
	u.oddRequests++
	large := u.newJob(fmt.Sprintf("wk-8%05d", u.oddRequests), map[string]string{"cores": "100000"})
	lacking := u.newJob(fmt.Sprintf("wk-7%05d", u.oddRequests), nil)
	lacking.body = []byte(strings.Replace(string(lacking.body), `"owner"`, `"ownr"`, 1))
	for _, j := range []*userJob{large, lacking} {
		u.submit(j)
		u.w.after(4*micros.Second, func() {
			if j.told.accepted != 0 {
				u.w.breakRule("accepted", "%s: cannot run or lacks a field, but was accepted", j.ref)
			}
		})
	}
	u.w.after(micros.Second/2, func() { u.sendOddRequests(until) })
}

// verifyReads asks at all nodes within milliseconds, and repeats the submission there,
// right after a job was accepted, ended or confirmed as cancelled: none may answer
// anything older.
func (u *users) verifyReads(j *userJob) {
	if u.w.now >= u.verifyReadsUntil {
		return
	}
	done, cancelled := j.told.done, j.told.cancelled != 0
	check := func(n *node, what string, a messages.Response) {
		switch a.Kind {
		case messages.JobAccepted, messages.JobFound:
			u.receiveStatus(j, protocol.EncodeJobStatus(a.Job))
			if (done && a.Job.Phase != workload.Done) || (cancelled && a.Job.Phase != workload.Cancelled) {
				u.w.breakRule("went_back", "%s: %s at %s is answered with something older", j.ref, what, n.name)
			}
		case messages.JobNotFound, messages.RequestMalformed, messages.JobUnschedulable:
			u.w.breakRule("forgotten", "%s: %s at %s answers %v", j.ref, what, n.name, a.Kind)
		case messages.ServiceUnavailable, messages.Overloaded: // try again later
		case messages.HeartbeatAcknowledged, messages.HeartbeatRedirected: // no answers to users
		}
	}
	for _, n := range u.w.nodes {
		for range 3 {
			u.w.after(u.w.random.Int64N(8*micros.Millisecond), func() {
				u.requestOf(n, func(id messages.RequestID) messages.Input {
					return &messages.Lookup{Request: id, ID: j.ref}
				}, func(a messages.Response) { check(n, "a question", a) })
			})
		}
		u.w.after(u.w.random.Int64N(8*micros.Millisecond), func() {
			u.requestOf(n, func(id messages.RequestID) messages.Input {
				ref, job, err := protocol.ParseSubmission(j.body)
				if err != nil {
					u.w.breakRule("bench", "%v", err)
				}
				return &messages.Submit{Request: id, ID: ref, Job: job}
			}, func(a messages.Response) { check(n, "a repeated submission", a) })
		})
	}
}
