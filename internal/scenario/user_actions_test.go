package scenario

import (
	"fmt"
	"maps"
	"strconv"
	"strings"

	"pipitlatch/internal/micros"
)

// jobNumber is the number in a job's id.
func jobNumber(id string) int {
	n, err := strconv.Atoi(strings.TrimPrefix(id, "wk-"))
	if err != nil {
		return 0
	}
	return n
}

func jobID(number int) string { return fmt.Sprintf("wk-%06d", number) }

// submission is a number of jobs that are submitted one after the other.
type submission struct {
	first   int // number of the first job
	count   int
	every   micros.Time
	classes int               // jobs take so many classes in turn; 0: one class
	chain   bool              // each depends on the one before, and is submitted when that is accepted
	cancel  float64           // share that is cancelled soon
	fields  map[string]string // of each job
}

func parseSubmit(l *line) (effect, error) {
	s := submission{
		first: jobNumber(l.word(1)), count: l.count("jobs", 1), every: l.seconds("every", 0.2),
		classes: l.count("classes", 0), chain: l.settings["chain"] != "", cancel: l.number("cancelled", 0),
		fields: l.settings,
	}
	return func(w *World) {
		for i := range s.count {
			if s.chain && i > 0 {
				return // submitted when the one before is accepted
			}
			w.after(micros.Time(i)*s.every, func() { s.submit(w, i) })
		}
	}, nil
}

// submit submits the i-th job.
func (s submission) submit(w *World, i int) {
	ref := jobID(s.first + i)
	fields := s.fields
	if s.classes > 0 {
		fields = maps.Clone(s.fields)
		fields["class"] = fmt.Sprintf("%s-%d", s.fields["class"], i%s.classes)
	}
	j := w.users.newJob(ref, fields)
	w.store.restoreCompletion(j)
	w.users.submit(j)
	if s.cancel > 0 && w.random.Float64() < s.cancel {
		w.after(micros.Second+w.random.Int64N(15*micros.Second), func() {
			if !j.told.done {
				w.users.cancel(j)
			}
		})
	}
	if s.chain && i+1 < s.count {
		next := s
		next.fields = maps.Clone(s.fields)
		next.fields["depends_on"] = ref
		w.whenAccepted(j, func() { next.submit(w, i+1) })
	}
}

// whenAccepted waits until a user was told that a job is accepted.
func (w *World) whenAccepted(j *userJob, then func()) {
	if j.told.accepted != 0 {
		then()
		return
	}
	w.after(5*micros.Millisecond, func() { w.whenAccepted(j, then) })
}

// parseResubmit repeats a submission, with other fields if some are given.
func parseResubmit(l *line) (effect, error) {
	ref, fields := l.word(1), l.settings
	return func(w *World) {
		j := w.users.jobs[ref]
		if j == nil {
			return
		}
		if len(fields) > 0 {
			j.body = w.users.newJob(j.ref, fields).body
		}
		w.users.submit(j)
	}, nil
}

// parseCancel cancels jobs, with via=NODE over a connection to that node.
func parseCancel(l *line) (effect, error) {
	first, count, via := jobNumber(l.word(1)), l.count("jobs", 1), l.settings["via"]
	return func(w *World) {
		for i := range count {
			j := w.users.jobs[jobID(first+i)]
			if j == nil {
				continue
			}
			for _, n := range w.nodesFor(via) {
				w.users.pinConnection(j, n)
			}
			w.users.cancel(j)
		}
	}, nil
}

// parseCancelNow cancels some jobs that run.
func parseCancelNow(l *line) (effect, error) {
	count, hang := l.count("n", 4), l.seconds("hang", 0)
	return func(w *World) { w.users.cancelNow(count, hang) }, nil
}

// parseCancelAtEnd cancels a share of jobs at the moment their last task ends.
func parseCancelAtEnd(l *line) (effect, error) {
	share, length := l.number("share", 0.5), l.duration()
	return func(w *World) { w.users.cancelShare, w.users.cancelUntil = share, w.now+length }, nil
}

func parseOddRequests(l *line) (effect, error) {
	length := l.duration()
	return func(w *World) { w.users.sendOddRequests(w.now + length) }, nil
}

func parseVerifyReads(l *line) (effect, error) {
	length := l.duration()
	return func(w *World) { w.users.verifyReadsUntil = w.now + length }, nil
}

// parseUnknownLookups asks for jobs that nobody submitted.
func parseUnknownLookups(l *line) (effect, error) {
	count := l.count("n", 10)
	return func(w *World) {
		for i := range count {
			w.after(micros.Time(i)*5*micros.Millisecond, func() { w.users.lookUpUnknown(fmt.Sprintf("wk-9%05d", i)) })
		}
	}, nil
}
