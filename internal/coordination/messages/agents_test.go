package messages

import "testing"

func TestAttemptOrder(t *testing.T) {
	attempts := []AttemptID{
		{Job: "wk-1", Task: 2, Number: 9},
		{Job: "wk-1", Task: 3, Number: 1},
		{Job: "wk-1", Task: 3, Number: 2},
		{Job: "wk-2", Task: 0, Number: 0},
	}
	for i, a := range attempts {
		for j, b := range attempts {
			if got := a.Compare(b); (got < 0) != (i < j) || (got == 0) != (i == j) {
				t.Errorf("%v compared with %v: %d", a, b, got)
			}
		}
	}
}

// TestExitReasonNames: each reason has a name of its own in the log.
func TestExitReasonNames(t *testing.T) {
	seen := map[string]ExitReason{}
	for r := NotExited; r <= ExitUnknownTask; r++ {
		name := r.String()
		if other, ok := seen[name]; ok || name == ExitReason(200).String() {
			t.Errorf("reason %d is called %q, like %d or one that there is not", r, name, other)
		}
		seen[name] = r
	}
}
