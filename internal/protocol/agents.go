package protocol

import (
	"encoding/json"
	"errors"
	"fmt"

	"pipitlatch/internal/coordination/messages"

	"pipitlatch/internal/micros"
)

type report struct {
	Host     string   `json:"host"`
	Endpoint string   `json:"endpoint"`
	Hull     string   `json:"hull"`
	Berth    string   `json:"berth"`
	Loaners  bool     `json:"loaners"`
	Tenure   uint64   `json:"tenure"`
	Tick     uint64   `json:"tick"`
	Warrant  uint64   `json:"warrant"`
	RecallS  *float64 `json:"recall_s"`
	Shards   []struct {
		Shard  string `json:"shard"`
		Try    uint64 `json:"try"`
		Phase  string `json:"phase"`
		Cause  string `json:"cause"`
		Stored bool   `json:"stored"`
	} `json:"shards"`
}

var (
	taskStates = map[string]messages.TaskState{
		"fetching": messages.Fetching, "running": messages.Running, "saving": messages.Checkpointing, "exited": messages.Exited,
	}
	causes = map[string]messages.ExitReason{
		"done": messages.ExitCompleted, "stopped": messages.ExitStopped, "error": messages.ExitFailed,
		"no_room": messages.ExitInsufficientResources, "busy": messages.ExitDuplicateTask, "unknown": messages.ExitUnknownTask,
	}
	verbs = map[messages.Operation]string{messages.Start: "run", messages.Stop: "kill", messages.Forget: "forget"}
)

// ParseHeartbeat reads a worker's report.
func ParseHeartbeat(body []byte) (*messages.Heartbeat, error) {
	var r report
	if err := json.Unmarshal(body, &r); err != nil {
		return nil, fmt.Errorf("report: %w", err)
	}
	if r.Host == "" || len(r.Host) > 150 || r.Tenure == 0 {
		return nil, errors.New("report: host or tenure is missing")
	}
	out := &messages.Heartbeat{Machine: r.Host, Address: r.Endpoint, InstanceType: r.Hull, Zone: r.Berth, Spot: r.Loaners,
		AgentEpoch: r.Tenure, Sequence: r.Tick, FencingToken: r.Warrant, PreemptionNotice: -1}
	if r.RecallS != nil {
		out.PreemptionNotice = max(0, micros.FromSeconds(*r.RecallS))
	}
	for _, s := range r.Shards {
		job, task, err := parseTaskID(s.Shard)
		if err != nil {
			return nil, fmt.Errorf("report: %w", err)
		}
		state, ok := taskStates[s.Phase]
		if !ok {
			return nil, fmt.Errorf("report: task %s in an unknown state %q", s.Shard, s.Phase)
		}
		t := messages.TaskStatus{AttemptID: messages.AttemptID{Job: job, Task: task, Number: s.Try}, State: state, Checkpointed: s.Stored}
		if state == messages.Exited {
			// A cause that is not known here counts as a stop: nothing is believed done.
			if t.ExitReason, ok = causes[s.Cause]; !ok {
				t.ExitReason = messages.ExitStopped
			}
		}
		out.Tasks = append(out.Tasks, t)
	}
	return out, nil
}

type order struct {
	Verb      string   `json:"verb"`
	Shard     string   `json:"shard"`
	Try       uint64   `json:"try"`
	WindDownS *float64 `json:"wind_down_s,omitempty"`
}

func commandMessages(cmds []messages.Command) []order {
	out := make([]order, 0, len(cmds))
	for _, c := range cmds {
		o := order{Verb: verbs[c.Operation], Shard: taskID(c.Job, c.Task), Try: c.Number}
		if c.Operation == messages.Stop {
			s := micros.Seconds(c.GracePeriod)
			o.WindDownS = &s
		}
		out = append(out, o)
	}
	return out
}

// EncodeHeartbeatReply writes the answer to a report.
func EncodeHeartbeatReply(token uint64, cmds []messages.Command) []byte {
	return mustJSON(struct {
		Warrant uint64  `json:"warrant"`
		Orders  []order `json:"orders"`
	}{token, commandMessages(cmds)})
}

// EncodeRedirect writes the answer that sends a worker to another controller.
func EncodeRedirect(steward string) []byte {
	return mustJSON(struct {
		Steward string `json:"steward,omitempty"`
	}{steward})
}

// EncodeCommands writes commands that go straight to a worker.
func EncodeCommands(c *messages.AgentCall) []byte {
	return mustJSON(struct {
		Warrant uint64  `json:"warrant"`
		Tenure  uint64  `json:"tenure"`
		Orders  []order `json:"orders"`
	}{c.FencingToken, c.AgentEpoch, commandMessages(c.Commands)})
}

// DecodeAgent reads a worker's answer; anything but a report counts as none.
func DecodeAgent(status int, body []byte) *messages.AgentReply {
	if status != 200 && status != 409 {
		return &messages.AgentReply{}
	}
	r, err := ParseHeartbeat(body)
	if err != nil {
		return &messages.AgentReply{}
	}
	return &messages.AgentReply{Executed: status == 200, Heartbeat: r}
}
