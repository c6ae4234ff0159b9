package scenario

import (
	"fmt"
	"strings"

	"pipitlatch/internal/coordination/messages"
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
		if w.observed.verdicts.behind == nil {
			w.observed.verdicts.behind = map[string]int{}
		}
		if l.Level >= 0 {
			w.observed.verdicts.behind[class]++
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
	w.observed.verdicts.record(w, epochID{leader, number}, job, admit)
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
