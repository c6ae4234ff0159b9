package protocol

import (
	"encoding/json"
	"net/http"

	"pipitlatch/internal/coordination/messages"
	"pipitlatch/internal/micros"
)

// report is the body of a heartbeat. Errors of encoding/json that are returned to agents contain the
// name of this type, so the name is part of the wire format. For the same reason the type of a shard
// must stay anonymous.
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

// noPreemptionNotice is the PreemptionNotice of a machine that has not received one.
const noPreemptionNotice = -1

// ParseHeartbeat decodes and validates an agent's heartbeat.
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

// parseExitReason maps a cause that this version doesn't know to ExitStopped, so that the task is not
// taken to have completed.
func parseExitReason(cause string) messages.ExitReason {
	if reason, ok := exitReasons[cause]; ok {
		return reason
	}
	return messages.ExitStopped
}

// EncodeHeartbeatReply encodes the reply to a heartbeat.
func EncodeHeartbeatReply(token uint64, commands []messages.Command) []byte {
	return mustJSON(struct {
		Warrant uint64           `json:"warrant"`
		Orders  []commandMessage `json:"orders"`
	}{token, commandMessages(commands)})
}

// DecodeAgentReply decodes an agent's reply to a call. A reply with status 409 also contains a heartbeat:
// the agent refused the commands and reports the tasks that it runs. Any other status, or a body that is
// not a valid heartbeat, gives an empty AgentReply.
func DecodeAgentReply(status int, body []byte) *messages.AgentReply {
	if status != http.StatusOK && status != http.StatusConflict {
		return &messages.AgentReply{}
	}
	heartbeat, err := ParseHeartbeat(body)
	if err != nil {
		return &messages.AgentReply{}
	}
	return &messages.AgentReply{Executed: status == http.StatusOK, Heartbeat: heartbeat}
}
