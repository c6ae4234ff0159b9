package protocol

import (
	"encoding/json"
	"fmt"
	"net/url"
	"strconv"

	"pipitlatch/internal/coordination/messages"

	"pipitlatch/internal/micros"
	"pipitlatch/internal/workload"
)

// HTTPRequest is a request as a client sends it.
type HTTPRequest struct {
	Method string
	Path   string
	Body   []byte
}

// EncodeCloudRequest writes a request to the cloud.
func EncodeCloudRequest(c *messages.CloudCall) HTTPRequest {
	switch c.Operation {
	case messages.CloudRequestInstances:
		return HTTPRequest{"POST", "/machines", mustJSON(struct {
			Charter string `json:"charter"`
			Hull    string `json:"hull"`
			Berth   string `json:"berth"`
			Loaners bool   `json:"loaners"`
			Count   int    `json:"count"`
		}{c.InstanceRequestID, c.InstanceRequest.InstanceType, c.InstanceRequest.Zone, c.InstanceRequest.Spot, c.InstanceRequest.Count})}
	case messages.CloudTerminate:
		return HTTPRequest{"POST", "/machines/delete", mustJSON(struct {
			Hosts []string `json:"hosts"`
		}{c.Names})}
	case messages.CloudList:
		q := url.Values{"page": {strconv.Itoa(c.Limit)}}
		if c.After != "" {
			q.Set("after", c.After)
		}
		return HTTPRequest{"GET", "/machines?" + q.Encode(), nil}
	default:
		return HTTPRequest{"GET", "/catalog", nil}
	}
}

type instanceTypeMessage struct {
	SKU        string   `json:"sku"`
	Cores      float64  `json:"cores"`
	GPUs       float64  `json:"gpus"`
	RAMGB      float64  `json:"ram_gb"`
	CacheGB    float64  `json:"cache_gb"`
	FetchGBps  float64  `json:"fetch_gb_per_s"`
	Hourly     float64  `json:"hourly"`
	SpotHourly float64  `json:"spot_price"`
	BootS      float64  `json:"boot_s"`
	Berths     []string `json:"berths"`
}

// DecodeCloudReply reads the cloud's answer. One that cannot be read counts as lost:
// what it was about may have happened.
func DecodeCloudReply(kind messages.CloudOperation, status int, body []byte) (*messages.CloudReply, error) {
	lost := &messages.CloudReply{Outcome: messages.CloudOutcomeUnknown}
	switch status {
	case 200:
	case 429:
		return &messages.CloudReply{Outcome: messages.CloudRejected}, nil
	case 503:
		var e struct {
			Error string `json:"error"`
		}
		if err := json.Unmarshal(body, &e); err == nil && e.Error == "no capacity" && kind == messages.CloudRequestInstances {
			return &messages.CloudReply{Outcome: messages.CloudInsufficientCapacity}, nil
		}
		return &messages.CloudReply{Outcome: messages.CloudRejected}, nil
	default:
		return lost, fmt.Errorf("cloud: status %d", status)
	}
	out := &messages.CloudReply{Outcome: messages.CloudOK}
	var err error
	switch kind {
	case messages.CloudCatalog:
		out.Catalog, err = decodeCatalog(body)
	case messages.CloudRequestInstances:
		out.Names, err = decodeInstanceRequest(body)
	case messages.CloudList:
		out.Instances, out.More, err = decodeInstances(body)
	}
	if err != nil {
		return lost, fmt.Errorf("cloud: %w", err)
	}
	return out, nil
}

// maxMachineName bounds a machine's name, which is part of keys.
const maxMachineName = 150

func decodeCatalog(body []byte) (workload.Catalog, error) {
	var c struct {
		Hulls []instanceTypeMessage `json:"hulls"`
	}
	if err := json.Unmarshal(body, &c); err != nil {
		return nil, fmt.Errorf("catalog: %w", err)
	}
	catalog := workload.Catalog{}
	for _, h := range c.Hulls {
		if h.SKU == "" || h.Cores <= 0 || h.RAMGB < 0 || h.BootS < 0 || h.Hourly < 0 {
			return nil, fmt.Errorf("catalog: bad type %q", h.SKU)
		}
		catalog[h.SKU] = &workload.InstanceType{Name: h.SKU, CacheGB: h.CacheGB, FetchGBps: h.FetchGBps,
			Capacity: workload.Resources{CPU: workload.Milli(h.Cores), GPU: workload.Milli(h.GPUs), Mem: workload.Milli(h.RAMGB)},
			Price:    h.Hourly, SpotPrice: h.SpotHourly, Boot: micros.FromSeconds(h.BootS), Zones: h.Berths}
	}
	return catalog, nil
}

func decodeInstanceRequest(body []byte) ([]string, error) {
	var h struct {
		Hosts []string `json:"hosts"`
	}
	if err := json.Unmarshal(body, &h); err != nil {
		return nil, fmt.Errorf("rental: %w", err)
	}
	for _, name := range h.Hosts {
		if name == "" || len(name) > maxMachineName {
			return nil, fmt.Errorf("rental: bad machine name %q", name)
		}
	}
	return h.Hosts, nil
}

func decodeInstances(body []byte) (machines []messages.Instance, more bool, err error) {
	var l struct {
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
	if err := json.Unmarshal(body, &l); err != nil {
		return nil, false, fmt.Errorf("list: %w", err)
	}
	for _, h := range l.Hosts {
		if h.Ref == "" || len(h.Ref) > maxMachineName {
			continue
		}
		machines = append(machines, messages.Instance{Machine: h.Ref, Address: h.Endpoint, InstanceType: h.Hull, Zone: h.Berth,
			Spot: h.Loaners, Running: h.Phase == "running", Failed: h.Phase == "failed", Age: micros.FromSeconds(h.HeldS)})
	}
	return machines, l.HasNext, nil
}
