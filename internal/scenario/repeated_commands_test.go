package scenario

import (
	"fmt"
	"strings"
	"testing"

	"pipitlatch/internal/micros"
)

// TestCopyOfExecutedStart shows what the protocol excludes, and what it leaves open, when a copy of an executed
// start command arrives at an agent.
func TestCopyOfExecutedStart(t *testing.T) {
	const (
		job   = "wk-000001"
		token = 40
	)
	start := agentCommand{Operation: "run", Task: job + "/0", Attempt: 7}
	stop := agentCommand{Operation: "kill", Task: job + "/0", Attempt: 7}
	forget := agentCommand{Operation: "forget", Task: job + "/0", Attempt: 7}
	call := func(m *machine, token uint64, commands ...agentCommand) {
		m.handleCommands(encode(map[string]any{"warrant": token, "tenure": 1, "orders": commands}), func(int, []byte) {})
	}
	tests := []struct {
		name    string
		between func(m *machine) // since the attempt was stopped
		starts  bool
	}{
		{"attempt not forgotten", func(*machine) {}, false},
		{"attempt forgotten", func(m *machine) { call(m, token, forget) }, true},
		{"forgotten under a higher token", func(m *machine) { call(m, token+1, forget) }, false},
		{"next agent epoch", func(m *machine) {
			m.agent.acknowledgedAt = m.w.now - 100*micros.Second
			m.expireLease()
		}, false},
		{"agent restarted, no contact since", func(m *machine) { freshAgent(m) }, true},
		{"agent restarted, told the same token", func(m *machine) { freshAgent(m); call(m, token) }, true},
		{"agent restarted, told a higher token", func(m *machine) { freshAgent(m); call(m, token+1) }, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			w := playWorld(t, "cluster\ntype small cores=8 ram=32\nmachine small on-demand\n"+
				"at 0 submit "+job+" tasks=1 cores=2 runs=100\nuntil 1\n")
			m := w.cloud.sorted()[0]
			m.agent.epoch, m.agent.fencingToken, m.tasks = 1, 0, map[string]*agentTask{}
			call(m, token, start)
			call(m, token, stop)
			test.between(m)
			call(m, token, start)
			task := m.tasks[fmt.Sprintf("%s#%d", start.Task, start.Attempt)]
			if got := task != nil && task.phase != "exited"; got != test.starts {
				t.Errorf("the copy starts the task: %v, want %v", got, test.starts)
			}
		})
	}
}

// freshAgent leaves a machine as its agent's restart does.
func freshAgent(m *machine) {
	m.tasks = map[string]*agentTask{}
	m.agent.epoch, m.agent.fencingToken, m.agent.sequence = 1, 0, 0
}

// TestRestartedAgentIsGivenUpSoon bounds what the protocol leaves open: an agent that restarted within its lease
// executes copies of earlier starts until the first contact, also of tasks that were moved or cancelled before.
// The controller notices by its next probe, and the machine is terminated.
func TestRestartedAgentIsGivenUpSoon(t *testing.T) {
	const (
		restartAt = 30 * micros.Second
		within    = 6 * micros.Second // two suspicion timeouts of two heartbeats of 1.5 s
	)
	text := `cluster teams=alpha:32:64
type small cores=8 ram=32 boot=8 capacity=4 spot_capacity=0
machine small on-demand n=4
at 0 agent all repeat-commands by=35 for=40
at 0 submit wk-000001 jobs=4 tasks=1 cores=5 runs=100
at 0 submit wk-000010 jobs=4 tasks=1 cores=3 runs=100
at 20 cancel wk-000010
at 20 cancel wk-000011
at 30 agent all restart back=0.2
until 90
`
	repeated := map[string]bool{}
	logf := func(format string, args ...any) {
		if line := fmt.Sprintf(format, args...); strings.Contains(line, "start command executed again") {
			repeated[line] = true
		}
	}
	s, err := parseScript(text)
	if err != nil {
		t.Fatal(err)
	}
	for seed := range uint64(20) {
		w, err := s.play("", seed+1, logf)
		if err != nil {
			t.Fatal(err)
		}
		given := 0
		for _, m := range w.cloud.machines {
			if m.createdAt < restartAt && m.agent.incarnation > 0 {
				given++
				if !m.lifecycle.terminated || m.lifecycle.goneAt > restartAt+within {
					t.Errorf("seed %d: %s terminated: %v, at %.1f s, want within %d s of its restart",
						seed+1, m.name, m.lifecycle.terminated, micros.Seconds(m.lifecycle.goneAt), within/micros.Second)
				}
			}
		}
		if given == 0 {
			t.Errorf("seed %d: no agent restarted", seed+1)
		}
	}
	t.Logf("%d starts executed again were logged", len(repeated))
	if len(repeated) == 0 {
		t.Error("no start was executed again: the test shows nothing")
	}
}
