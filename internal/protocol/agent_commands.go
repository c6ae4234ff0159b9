package protocol

import (
	"pipitlatch/internal/coordination/messages"
	"pipitlatch/internal/micros"
)

// commandMessage is the JSON form of a command to an agent.
type commandMessage struct {
	Verb      string   `json:"verb"`
	Shard     string   `json:"shard"`
	Try       uint64   `json:"try"`
	WindDownS *float64 `json:"wind_down_s,omitempty"`
}

// commandMessages never returns nil, so that an agent receives an empty list rather than null.
func commandMessages(commands []messages.Command) []commandMessage {
	list := make([]commandMessage, 0, len(commands))
	for _, c := range commands {
		message := commandMessage{Verb: operationNames[c.Operation], Shard: taskID(c.Job, c.Task), Try: c.Number}
		if c.Operation == messages.Stop {
			seconds := micros.Seconds(c.GracePeriod)
			message.WindDownS = &seconds
		}
		list = append(list, message)
	}
	return list
}

// EncodeCommands encodes a call that sends commands directly to an agent, outside a heartbeat reply.
func EncodeCommands(call *messages.AgentCall) []byte {
	return mustJSON(struct {
		Warrant uint64           `json:"warrant"`
		Tenure  uint64           `json:"tenure"`
		Orders  []commandMessage `json:"orders"`
	}{call.FencingToken, call.AgentEpoch, commandMessages(call.Commands)})
}
