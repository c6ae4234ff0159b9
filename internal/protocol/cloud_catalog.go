package protocol

import (
	"encoding/json"

	"pipitlatch/internal/micros"
	"pipitlatch/internal/workload"
)

// instanceTypeMessage is the JSON form of an entry in the cloud's catalog.
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

func decodeCatalog(body []byte) (workload.Catalog, error) {
	var message struct {
		Hulls []instanceTypeMessage `json:"hulls"`
	}
	if err := json.Unmarshal(body, &message); err != nil {
		return nil, malformedJSON("catalog", err)
	}
	catalog := workload.Catalog{}
	for _, m := range message.Hulls {
		if m.SKU == "" || m.Cores <= 0 || m.RAMGB < 0 || m.BootS < 0 || m.Hourly < 0 {
			return nil, malformed("hulls", "catalog: bad type %q", m.SKU)
		}
		catalog[m.SKU] = m.instanceType()
	}
	return catalog, nil
}

func (m *instanceTypeMessage) instanceType() *workload.InstanceType {
	return &workload.InstanceType{
		Name:      m.SKU,
		CacheGB:   m.CacheGB,
		FetchGBps: m.FetchGBps,
		Capacity: workload.Resources{
			CPU: workload.Milli(m.Cores),
			GPU: workload.Milli(m.GPUs),
			Mem: workload.Milli(m.RAMGB),
		},
		Price:     m.Hourly,
		SpotPrice: m.SpotHourly,
		Boot:      micros.FromSeconds(m.BootS),
		Zones:     m.Berths,
	}
}
