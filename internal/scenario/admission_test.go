package scenario

import (
	"fmt"
	"strings"

	"pipitlatch/internal/coordination/messages"

	"pipitlatch/internal/micros"
)

// fairSettings are a node's operators' settings of fair admission: `fair=yes` for all nodes,
// `fair=some` for all but the last, `lag=20`, `weights=alpha:3,beta.bulk:2`.
func fairSettings(l *line, node int) string {
	fair := l.settings["fair"]
	if fair == "" || (fair == "some" && node == int(l.number("nodes", 3))-1) {
		return ""
	}
	var b strings.Builder
	fmt.Fprintf(&b, "fair_admission { enabled: true lag_s: %d ", int(l.number("lag", 60)))
	for _, w := range strings.FieldsFunc(l.settings["weights"], func(r rune) bool { return r == ',' }) {
		name, weight, _ := strings.Cut(w, ":")
		team, class, _ := strings.Cut(name, ".")
		fmt.Fprintf(&b, "weights { team: %q class: %q weight: %s } ", team, class, weight)
	}
	b.WriteString("}")
	return b.String()
}

// epochID names an epoch: a leader uses a number once.
type epochID struct{ leader, number uint64 }

// verdicts are what controllers said to submissions under epochs, from their logs.
type verdicts struct {
	behind  map[string]int // lines that told that a class is behind its fair share
	byEpoch map[epochID]map[string]bool
}

// observeAdmissionLog holds what a controller logs of admission against the rule that no reference gets
// two verdicts in one epoch, whichever nodes it asks.
func (w *World) observeAdmissionLog(l messages.LogRecord) {
	if l.Message != "admission verdict" && l.Message != "flow behind its fair share" {
		return
	}
	fields := map[string]any{}
	for i := 0; i+1 < len(l.Attributes); i += 2 {
		if name, ok := l.Attributes[i].(string); ok {
			fields[name] = l.Attributes[i+1]
		}
	}
	if class, ok := fields["class"].(string); ok {
		if w.verdicts.behind == nil {
			w.verdicts.behind = map[string]int{}
		}
		if l.Level >= 0 {
			w.verdicts.behind[class]++
		}
		return
	}
	job, _ := fields["job"].(string)
	number, _ := fields["epoch"].(uint64)
	leader, _ := fields["leader"].(uint64)
	admit, ok := fields["admit"].(bool)
	if !ok || number == 0 {
		w.breakRule("bench", "verdict of another form: %v", l.Attributes)
		return
	}
	w.verdicts.record(w, epochID{leader, number}, job, admit)
}

func (v *verdicts) record(w *World, epoch epochID, job string, admit bool) {
	if v.byEpoch == nil {
		v.byEpoch = map[epochID]map[string]bool{}
	}
	if v.byEpoch[epoch] == nil {
		v.byEpoch[epoch] = map[string]bool{}
	}
	if had, ok := v.byEpoch[epoch][job]; ok && had != admit {
		w.breakRule("two_verdicts", "%s: %v and %v in epoch %d", job, had, admit, epoch.number)
	}
	v.byEpoch[epoch][job] = admit
}

// jobsOfClass are the jobs of a class.
func (u *users) jobsOfClass(class string) []*userJob {
	var out []*userJob
	for _, ref := range u.order {
		if j := u.jobs[ref]; j.class == class {
			out = append(out, j)
		}
	}
	return out
}

// expectAcceptedShare: the share of a class's jobs that were accepted.
func (w *World) expectAcceptedShare(l *line, _ *userJob) string {
	jobs, taken := w.users.jobsOfClass(l.word(2)), 0
	for _, j := range jobs {
		if j.accepted != 0 {
			taken++
		}
	}
	if len(jobs) == 0 {
		return "no jobs"
	}
	if share := float64(taken) / float64(len(jobs)); share < l.number("least", 0) || share > l.number("most", 1) {
		return fmt.Sprintf("%d of %d", taken, len(jobs))
	}
	return ""
}

// expectBegunInTime: every job of a class that was accepted long enough ago began in time.
func (w *World) expectBegunInTime(l *line, _ *userJob) string {
	within := l.seconds("within", 60)
	for _, j := range w.users.jobsOfClass(l.word(2)) {
		if j.accepted == 0 || j.cancelled != 0 || w.now-j.accepted < within {
			continue
		}
		if j.firstStart == 0 || j.firstStart-j.accepted > within {
			return fmt.Sprintf("%s began %v s after it was accepted", j.ref, micros.Seconds(j.firstStart-j.accepted))
		}
	}
	return ""
}

// expectBehind: how often a class was told to be behind its fair share by more than the bound.
func (w *World) expectBehind(l *line, _ *userJob) string {
	if n := float64(w.verdicts.behind[l.word(2)]); n < l.number("least", 0) || n > l.number("most", 1e9) {
		return fmt.Sprintf("%v times", n)
	}
	return ""
}

// expectEpochs: under which submissions were judged.
func (w *World) expectEpochs(l *line, _ *userJob) string {
	if n := float64(len(w.verdicts.byEpoch)); n < l.number("least", 0) || n > l.number("most", 1e9) {
		return fmt.Sprintf("%v", n)
	}
	return ""
}
