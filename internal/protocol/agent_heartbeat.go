package protocol

import (
	"encoding/json"
	"net/http"

	"pipitlatch/internal/coordination/messages"
	"pipitlatch/internal/micros"
)

// report is the body of a heartbeat. encoding/json names this type in the texts of its errors, which
// agents get: its name, and that a shard has none, are part of the wire.
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

// noPreemptionNotice is the preemption notice of a machine that got none.
const noPreemptionNotice = -1

// ParseHeartbeat reads an agent's heartbeat.
func ParseHeartbeat(body []byte) (*messages.Heartbeat, error) {
	var r report
	if err := json.Unmarshal(body, &r); err != nil {
		return nil, malformedJSON("report", err)
	}
	if r.Host == "" || len(r.Host) > maxMachineName {
		return nil, malformed("host", "report: host or tenure is missing")
	}
	if r.Tenure == 0 {
		return nil, malformed("tenure", "report: host or tenure is missing")
	}
	heartbeat := &messages.Heartbeat{
		Machine:          r.Host,
		Address:          r.Endpoint,
		InstanceType:     r.Hull,
		Zone:             r.Berth,
		Spot:             r.Loaners,
		AgentEpoch:       r.Tenure,
		Sequence:         r.Tick,
		FencingToken:     r.Warrant,
		PreemptionNotice: noPreemptionNotice,
	}
	if r.RecallS != nil {
		heartbeat.PreemptionNotice = max(0, micros.FromSeconds(*r.RecallS))
	}
	for _, s := range r.Shards {
		job, task, err := parseTaskID(s.Shard)
		if err != nil {
			return nil, malformed("shards.shard", "report: %w", err)
		}
		state, ok := taskStates[s.Phase]
		if !ok {
			return nil, malformed("shards.phase", "report: task %s in an unknown state %q", s.Shard, s.Phase)
		}
		status := messages.TaskStatus{
			AttemptID:    messages.AttemptID{Job: job, Task: task, Number: s.Try},
			State:        state,
			Checkpointed: s.Stored,
		}
		if state == messages.Exited {
			status.ExitReason = parseExitReason(s.Cause)
		}
		heartbeat.Tasks = append(heartbeat.Tasks, status)
	}
	return heartbeat, nil
}

// parseExitReason counts a cause that this version doesn't know as a stop: nothing is believed done.
func parseExitReason(cause string) messages.ExitReason {
	if reason, ok := exitReasons[cause]; ok {
		return reason
	}
	return messages.ExitStopped
}

// EncodeHeartbeatReply writes the answer to a heartbeat.
func EncodeHeartbeatReply(token uint64, commands []messages.Command) []byte {
	return mustJSON(struct {
		Warrant uint64           `json:"warrant"`
		Orders  []commandMessage `json:"orders"`
	}{token, encodeCommands(commands)})
}

// DecodeAgent reads an agent's answer to a call; anything but a heartbeat counts as none. A conflict
// brings a heartbeat, too: the agent refused the commands and tells what it runs.
func DecodeAgent(status int, body []byte) *messages.AgentReply {
	if status != http.StatusOK && status != http.StatusConflict {
		return &messages.AgentReply{}
	}
	heartbeat, err := ParseHeartbeat(body)
	if err != nil {
		return &messages.AgentReply{}
	}
	return &messages.AgentReply{Executed: status == http.StatusOK, Heartbeat: heartbeat}
}
