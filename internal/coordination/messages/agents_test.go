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

// TestExitReasonNames checks that each exit reason has a distinct name in the log.
func TestExitReasonNames(t *testing.T) {
	seen := map[string]ExitReason{}
	for r := NotExited; r <= ExitUnknownTask; r++ {
		name := r.String()
		if other, ok := seen[name]; ok || name == ExitReason(200).String() {
			t.Errorf("the name of reason %d, %q, is also that of reason %d or of undefined reasons", r, name, other)
		}
		seen[name] = r
	}
}

func TestCommandListInLog(t *testing.T) {
	id := AttemptID{Job: "wk-000412", Task: 3, Number: 644874491}
	list := CommandList{
		{Operation: Stop, AttemptID: id},
		{Operation: Forget, AttemptID: id},
		{Operation: Start, AttemptID: id},
	}
	const want = "stop wk-000412/3@644874491, forget wk-000412/3@644874491, start wk-000412/3@644874491"
	if got := list.String(); got != want {
		t.Errorf("got %q, want %q", got, want)
	}
}
