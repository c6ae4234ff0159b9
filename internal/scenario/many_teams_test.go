package scenario

import (
	"fmt"
	"strings"
	"testing"
)

// TestHundredsOfTeams: under overload, with more teams than an epoch's record has windows,
// one team asks for most. Every other team is served, within the same bounds on memory and
// records as a few.
func TestHundredsOfTeams(t *testing.T) {
	const teams, each = 200, 2
	var names, jobs strings.Builder
	names.WriteString("greedy:0:0")
	for i := range teams {
		fmt.Fprintf(&names, ",team-%03d:0:0", i)
		fmt.Fprintf(&jobs, "at %d.%d submit wk-2%05d jobs=%d every=25 ", 20+i%25, i%10, i*10, each)
		fmt.Fprintf(&jobs, "class=small team=team-%03d cores=1 ram=1 runs=1\n", i)
	}
	w := playWorld(t, "cluster seed=3 fair=yes connections=2000 teams="+names.String()+`
type small cores=8 ram=32 boot=5 capacity=12 spot_capacity=0 fetch=5
at 0 store limits ops=12 kb=8 write_rps=25
at 15 submit wk-100000 jobs=2000 every=0.02 class=bulk team=greedy cores=1 ram=1 runs=1
`+jobs.String()+"until 170\n")
	for _, b := range w.broken {
		t.Errorf("rule broken: %s", b)
	}
	if w.store.tooLarge > 0 {
		t.Errorf("%d requests were refused for their size", w.store.tooLarge)
	}
	served, accepted := map[string]int{}, map[string]int{}
	for _, ref := range w.users.order {
		if j := w.users.jobs[ref]; j.told.accepted != 0 {
			served[j.spec.team]++
			accepted[j.spec.class]++
		}
	}
	if without := teams + 1 - len(served); without > 0 {
		t.Errorf("%d teams were not served at all", without)
	}
	t.Logf("accepted: %d of %d small jobs, %d of 2000 of the greedy team", accepted["small"], teams*each, accepted["bulk"])
	if accepted["small"] < teams*each*9/10 {
		t.Errorf("%d of %d small jobs accepted", accepted["small"], teams*each)
	}
	if len(w.observed.verdicts.byEpoch) == 0 {
		t.Error("no epoch")
	}
}
