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

type machineType struct {
	name                                  string
	cores, ram, price, spot, cache, fetch float64
	boot                                  micros.Time
	zones                                 []string
	room                                  map[string]int // by zone+kind
}

// cloud is a stand-in of the cloud.
type cloud struct {
	w         *World
	types     []*machineType
	machines  map[string]*machine
	created   []*machine // the same, in order
	byAddress map[string]*machine
	charters  map[string][]string
	next      int
	down      bool
	neverUp   float64 // share of new machines
	slowBoot  float64 // factor
	late      micros.Time
	slowly    micros.Time // answers to rentals come so late, which are carried out at once
	lag       micros.Time
	snapshots []snapshot
}

type snapshot struct {
	at   micros.Time
	rows []map[string]any
}

func newCloud(w *World) *cloud {
	c := &cloud{w: w, machines: map[string]*machine{}, byAddress: map[string]*machine{}, charters: map[string][]string{}, slowBoot: 1,
		lag: micros.FromSeconds(w.conf.Settings.Cloud.ListLagS)}
	c.snap()
	return c
}

// sorted are all machines ever rented, by name, which is the order of their creation.
func (c *cloud) sorted() []*machine { return c.created }

// snap keeps what later lists, which lag, will show.
func (c *cloud) snap() {
	var rows []map[string]any
	for _, m := range c.sorted() {
		if m.deleted {
			continue
		}
		phase := "starting"
		if m.booted {
			phase = "running"
		}
		if m.gone && c.w.now-m.goneAt > 30*micros.Second {
			phase = "failed"
		}
		rows = append(rows, map[string]any{"ref": m.name, "endpoint": m.address, "hull": m.kind.name, "berth": m.zone, "loaners": m.spot,
			"phase": phase, "held_s": micros.Seconds(c.w.now - m.rented)})
	}
	c.snapshots = append(c.snapshots, snapshot{c.w.now, rows})
	if len(c.snapshots) > 200 {
		c.snapshots = c.snapshots[100:]
	}
	c.w.after(500*micros.Millisecond, c.snap)
}

func (c *cloud) handle(r protocol.HTTPRequest, reply func(int, []byte)) {
	c.w.after(50*micros.Millisecond+c.w.rng.Int64N(100*micros.Millisecond), func() {
		if c.down {
			reply(503, []byte(`{"error":"trouble"}`))
			return
		}
		if c.late > 0 && r.Path == "/machines" && r.Method == "POST" {
			c.w.after(c.late, func() { c.rent(r.Body) })
			return // no answer; executed late
		}
		if c.slowly > 0 && r.Path == "/machines" && r.Method == "POST" {
			status, body := c.rent(r.Body)
			c.w.after(c.slowly, func() { reply(status, body) })
			return
		}
		c.serve(r, reply)
	})
}

func (c *cloud) serve(r protocol.HTTPRequest, reply func(int, []byte)) {
	u, err := url.Parse(r.Path)
	if err != nil {
		reply(400, nil)
		return
	}
	switch {
	case u.Path == "/catalog":
		var hulls []map[string]any
		for _, t := range c.types {
			hulls = append(hulls, map[string]any{"sku": t.name, "cores": t.cores, "gpus": 0, "ram_gb": t.ram, "cache_gb": t.cache,
				"fetch_gb_per_s": t.fetch, "hourly": t.price, "spot_price": t.spot, "boot_s": micros.Seconds(t.boot), "berths": t.zones})
		}
		reply(200, encode(map[string]any{"hulls": hulls}))
	case u.Path == "/machines" && r.Method == "POST":
		reply(c.rent(r.Body))
	case u.Path == "/machines/delete":
		var d struct {
			Hosts []string `json:"hosts"`
		}
		if json.Unmarshal(r.Body, &d) != nil {
			reply(400, nil)
			return
		}
		for _, h := range d.Hosts {
			if m := c.machines[h]; m != nil && !m.deleted {
				m.vanish()
				m.deleted = true
				m.kind.room[m.zone+kindOf(m.spot)]++
			}
		}
		reply(200, []byte(`{}`))
	case u.Path == "/machines":
		want := c.w.now - c.lag - c.w.rng.Int64N(int64(c.lag)+1)
		rows := []map[string]any{}
		for i := len(c.snapshots) - 1; i >= 0; i-- {
			if c.snapshots[i].at <= want {
				for _, row := range c.snapshots[i].rows {
					if row["ref"].(string) > u.Query().Get("after") {
						rows = append(rows, row)
					}
				}
				break
			}
		}
		page, _ := strconv.Atoi(u.Query().Get("page"))
		more := len(rows) > page
		reply(200, encode(map[string]any{"hosts": rows[:min(page, len(rows))], "has_next": more}))
	default:
		reply(404, nil)
	}
}

func kindOf(spot bool) string {
	if spot {
		return "/spot"
	}
	return "/ordinary"
}

func (c *cloud) rent(body []byte) (int, []byte) {
	var r struct {
		Charter string `json:"charter"`
		Hull    string `json:"hull"`
		Berth   string `json:"berth"`
		Loaners bool   `json:"loaners"`
		Count   int    `json:"count"`
	}
	if json.Unmarshal(body, &r) != nil || r.Charter == "" || r.Count < 1 || r.Count > 50 {
		return 400, []byte(`{"error":"malformed"}`)
	}
	if hosts, ok := c.charters[r.Charter]; ok {
		return 200, encode(map[string]any{"hosts": hosts})
	}
	var hosts []string
	for _, t := range c.types {
		if t.name != r.Hull {
			continue
		}
		key := r.Berth + kindOf(r.Loaners)
		for len(hosts) < r.Count && t.room[key] > 0 {
			t.room[key]--
			hosts = append(hosts, c.add(t, r.Berth, r.Loaners, false).name)
		}
	}
	if len(hosts) == 0 {
		return 503, []byte(`{"error":"no capacity"}`)
	}
	c.charters[r.Charter] = hosts
	return 200, encode(map[string]any{"hosts": hosts})
}

func (c *cloud) add(t *machineType, zone string, spot, up bool) *machine {
	c.next++
	m := &machine{w: c.w, name: fmt.Sprintf("vm-%06d", c.next), kind: t, zone: zone, spot: spot, rented: c.w.now,
		address: fmt.Sprintf("10.1.%d.%d:9000", c.next/250, c.next%250+1), speed: 0.95 + 0.1*c.w.rng.Float64(), tasks: map[string]*workerTask{}, arriving: map[string]micros.Time{}}
	if c.w.listen != nil {
		m.address = c.w.listen(m)
	}
	c.machines[m.name] = m
	c.created = append(c.created, m)
	c.byAddress[m.address] = m
	boot := micros.Time(float64(t.boot) * (0.6 + 0.9*c.w.rng.Float64()) * c.slowBoot)
	if up {
		boot = 0
	}
	if !up && c.w.rng.Float64() < c.neverUp {
		return m
	}
	c.w.after(boot, m.boot)
	return m
}

var parts = map[string]int{"half": 2, "third": 3, "fifth": 5, "tenth": 10}

// pick finds machines by name, or "any", a job's id for one with a task of it,
// "spot" for all spot machines, "machines" for all, "third" for every third (also
// half, fifth, tenth), "zone-a" for those of a zone.
func (c *cloud) pick(what string) []*machine {
	if m := c.machines[what]; m != nil {
		return []*machine{m}
	}
	var out []*machine
	for i, m := range c.sorted() {
		if m.gone || !m.booted {
			continue
		}
		switch {
		case what == "machines", parts[what] > 0 && i%parts[what] == 0, what == "zone-"+m.zone:
			out = append(out, m)
		case what == "spot" && m.spot, what == "all":
			out = append(out, m)
		case what == "any", strings.HasPrefix(what, "wk-") && m.runs(what):
			return []*machine{m}
		}
	}
	return out
}
