package scenario

import (
	"encoding/json"
	"fmt"
	"net/url"
	"strconv"
	"strings"

	"pipitlatch/internal/micros"
	"pipitlatch/internal/protocol"
)

type instanceType struct {
	name                                                      string
	cores, ramGB, price, spotPrice, cacheGB, fetchGBPerSecond float64
	bootTime                                                  micros.Time
	zones                                                     []string
	capacity                                                  map[string]int // by zone+kind
}

// cloud is a stand-in of the cloud.
type cloud struct {
	w                 *World
	instanceTypes     []*instanceType
	machines          map[string]*machine
	inCreationOrder   []*machine // the same
	byAddress         map[string]*machine
	instanceRequests  map[string][]string // machines by request: a repeated one has the same answer
	lastMachineNumber int
	listingLag        micros.Time
	listings          []listing
	faults            cloudFaultState
}

// cloudFaultState are the faults that the cloud has now.
type cloudFaultState struct {
	down             bool
	neverBootShare   float64     // of new machines
	bootFactor       float64     // boots take so many times longer
	createDelay      micros.Time // instance requests are carried out so much later, and not answered
	createReplyDelay micros.Time // answers to instance requests come so late, which are carried out at once
}

type listing struct {
	at   micros.Time
	rows []map[string]any
}

func newCloud(w *World) *cloud {
	c := &cloud{
		w: w, machines: map[string]*machine{}, byAddress: map[string]*machine{}, instanceRequests: map[string][]string{},
		listingLag: micros.FromSeconds(w.config.Settings.Cloud.ListLagS), faults: cloudFaultState{bootFactor: 1},
	}
	c.recordListing()
	return c
}

// sorted are all machines ever created, by name, which is the order of their creation.
func (c *cloud) sorted() []*machine { return c.inCreationOrder }

// recordListing keeps what later lists, which lag, will show.
func (c *cloud) recordListing() {
	var rows []map[string]any
	for _, m := range c.sorted() {
		if m.lifecycle.terminated {
			continue
		}
		phase := "starting"
		if m.lifecycle.booted {
			phase = "running"
		}
		if m.lifecycle.gone && c.w.now-m.lifecycle.goneAt > 30*micros.Second {
			phase = "failed"
		}
		rows = append(rows, map[string]any{
			"ref": m.name, "endpoint": m.address, "hull": m.instanceType.name, "berth": m.zone, "loaners": m.spot,
			"phase": phase, "held_s": micros.Seconds(c.w.now - m.createdAt),
		})
	}
	c.listings = append(c.listings, listing{c.w.now, rows})
	if len(c.listings) > 200 {
		c.listings = c.listings[100:]
	}
	c.w.after(500*micros.Millisecond, c.recordListing)
}

func (c *cloud) handle(r protocol.HTTPRequest, reply replyFunc) {
	c.w.after(50*micros.Millisecond+c.w.random.Int64N(100*micros.Millisecond), func() {
		if c.faults.down {
			reply(503, []byte(`{"error":"trouble"}`))
			return
		}
		if c.faults.createDelay > 0 && r.Path == "/machines" && r.Method == "POST" {
			c.w.after(c.faults.createDelay, func() { c.createMachines(r.Body) })
			return // no answer; executed late
		}
		if c.faults.createReplyDelay > 0 && r.Path == "/machines" && r.Method == "POST" {
			status, body := c.createMachines(r.Body)
			c.w.after(c.faults.createReplyDelay, func() { reply(status, body) })
			return
		}
		c.serve(r, reply)
	})
}

func (c *cloud) serve(r protocol.HTTPRequest, reply replyFunc) {
	u, err := url.Parse(r.Path)
	if err != nil {
		reply(400, nil)
		return
	}
	switch {
	case u.Path == "/catalog":
		c.serveCatalog(reply)
	case u.Path == "/machines" && r.Method == "POST":
		reply(c.createMachines(r.Body))
	case u.Path == "/machines/delete":
		c.terminateMachines(r.Body, reply)
	case u.Path == "/machines":
		c.serveListing(u.Query(), reply)
	default:
		reply(404, nil)
	}
}

func (c *cloud) serveCatalog(reply replyFunc) {
	var types []map[string]any
	for _, t := range c.instanceTypes {
		types = append(types, map[string]any{
			"sku": t.name, "cores": t.cores, "gpus": 0, "ram_gb": t.ramGB, "cache_gb": t.cacheGB,
			"fetch_gb_per_s": t.fetchGBPerSecond, "hourly": t.price, "spot_price": t.spotPrice,
			"boot_s": micros.Seconds(t.bootTime), "berths": t.zones,
		})
	}
	reply(200, encode(map[string]any{"hulls": types}))
}

func (c *cloud) terminateMachines(body []byte, reply replyFunc) {
	var d struct {
		Hosts []string `json:"hosts"`
	}
	if json.Unmarshal(body, &d) != nil {
		reply(400, nil)
		return
	}
	for _, name := range d.Hosts {
		if m := c.machines[name]; m != nil && !m.lifecycle.terminated {
			m.vanish()
			m.lifecycle.terminated = true
			m.instanceType.capacity[m.zone+marketKey(m.spot)]++
		}
	}
	reply(200, []byte(`{}`))
}

// serveListing answers with a page of a listing that is between one and two lags old.
func (c *cloud) serveListing(q url.Values, reply replyFunc) {
	want := c.w.now - c.listingLag - c.w.random.Int64N(int64(c.listingLag)+1)
	rows := []map[string]any{}
	for i := len(c.listings) - 1; i >= 0; i-- {
		if c.listings[i].at > want {
			continue
		}
		for _, row := range c.listings[i].rows {
			if row["ref"].(string) > q.Get("after") {
				rows = append(rows, row)
			}
		}
		break
	}
	page, _ := strconv.Atoi(q.Get("page"))
	more := len(rows) > page
	reply(200, encode(map[string]any{"hosts": rows[:min(page, len(rows))], "has_next": more}))
}

// marketKey is the end of a key of capacities: spot machines have their own.
func marketKey(spot bool) string {
	if spot {
		return "/spot"
	}
	return "/on-demand"
}

func (c *cloud) createMachines(body []byte) (int, []byte) {
	var r struct {
		Request      string `json:"charter"`
		InstanceType string `json:"hull"`
		Zone         string `json:"berth"`
		Spot         bool   `json:"loaners"`
		Count        int    `json:"count"`
	}
	if json.Unmarshal(body, &r) != nil || r.Request == "" || r.Count < 1 || r.Count > 50 {
		return 400, []byte(`{"error":"malformed"}`)
	}
	if hosts, ok := c.instanceRequests[r.Request]; ok {
		return 200, encode(map[string]any{"hosts": hosts})
	}
	var hosts []string
	for _, t := range c.instanceTypes {
		if t.name != r.InstanceType {
			continue
		}
		key := r.Zone + marketKey(r.Spot)
		for len(hosts) < r.Count && t.capacity[key] > 0 {
			t.capacity[key]--
			hosts = append(hosts, c.addMachine(t, r.Zone, r.Spot, false).name)
		}
	}
	if len(hosts) == 0 {
		return 503, []byte(`{"error":"no capacity"}`)
	}
	c.instanceRequests[r.Request] = hosts
	return 200, encode(map[string]any{"hosts": hosts})
}

func (c *cloud) addMachine(t *instanceType, zone string, spot, up bool) *machine {
	c.lastMachineNumber++
	n := c.lastMachineNumber
	m := &machine{
		w: c.w, name: fmt.Sprintf("vm-%06d", n), instanceType: t, zone: zone, spot: spot, createdAt: c.w.now,
		address: fmt.Sprintf("10.1.%d.%d:9000", n/250, n%250+1), speed: 0.95 + 0.1*c.w.random.Float64(),
		tasks: map[string]*agentTask{}, cache: imageCache{arrivals: map[string]micros.Time{}},
	}
	if c.w.loopback.listenAddress != nil {
		m.address = c.w.loopback.listenAddress(m)
	}
	c.machines[m.name] = m
	c.inCreationOrder = append(c.inCreationOrder, m)
	c.byAddress[m.address] = m
	boot := micros.Time(float64(t.bootTime) * (0.6 + 0.9*c.w.random.Float64()) * c.faults.bootFactor)
	if up {
		boot = 0
	}
	if !up && c.w.random.Float64() < c.faults.neverBootShare {
		return m
	}
	c.w.after(boot, m.boot)
	return m
}

var fleetFractions = map[string]int{"half": 2, "third": 3, "fifth": 5, "tenth": 10}

// machinesMatching finds machines by name, or "any", a job's id for one with a task of it,
// "spot" for all spot machines, "machines" for all, "third" for every third (also
// half, fifth, tenth), "zone-a" for those of a zone.
func (c *cloud) machinesMatching(what string) []*machine {
	if m := c.machines[what]; m != nil {
		return []*machine{m}
	}
	var out []*machine
	for i, m := range c.sorted() {
		if m.lifecycle.gone || !m.lifecycle.booted {
			continue
		}
		switch {
		case what == "machines", fleetFractions[what] > 0 && i%fleetFractions[what] == 0, what == "zone-"+m.zone:
			out = append(out, m)
		case what == "spot" && m.spot, what == "all":
			out = append(out, m)
		case what == "any", strings.HasPrefix(what, "wk-") && m.runsTaskOf(what):
			return []*machine{m}
		}
	}
	return out
}
