package protocol

import (
	"encoding/json"

	"pipitlatch/internal/coordination/messages"
	"pipitlatch/internal/micros"
)

// decodeInstanceNames decodes the names of the instances that a request returned.
func decodeInstanceNames(body []byte) ([]string, error) {
	var message struct {
		Hosts []string `json:"hosts"`
	}
	if err := json.Unmarshal(body, &message); err != nil {
		return nil, malformedJSON("rental", err)
	}
	for _, name := range message.Hosts {
		if name == "" || len(name) > maxMachineName {
			return nil, malformed("hosts", "rental: bad machine name %q", name)
		}
	}
	return message.Hosts, nil
}

// decodeInstances decodes one page of the cloud's instance list. It skips instances whose names can't
// be part of a storage key, because no instance of this cluster has such a name.
func decodeInstances(body []byte) (instances []messages.Instance, more bool, err error) {
	var message struct {
		Hosts []struct {
			Ref      string  `json:"ref"`
			Endpoint string  `json:"endpoint"`
			Hull     string  `json:"hull"`
			Berth    string  `json:"berth"`
			Loaners  bool    `json:"loaners"`
			Phase    string  `json:"phase"`
			HeldS    float64 `json:"held_s"`
		} `json:"hosts"`
		HasNext bool `json:"has_next"`
	}
	if err := json.Unmarshal(body, &message); err != nil {
		return nil, false, malformedJSON("list", err)
	}
	for _, h := range message.Hosts {
		if h.Ref == "" || len(h.Ref) > maxMachineName {
			continue
		}
		instances = append(instances, messages.Instance{
			Machine:      h.Ref,
			Address:      h.Endpoint,
			InstanceType: h.Hull,
			Zone:         h.Berth,
			Spot:         h.Loaners,
			Running:      h.Phase == instanceRunning,
			Failed:       h.Phase == instanceFailed,
			Age:          micros.FromSeconds(h.HeldS),
		})
	}
	return instances, message.HasNext, nil
}
