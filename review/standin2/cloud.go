package main

import (
	"fmt"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"
)

// machineType is one type of the cloud's catalog.
type machineType struct {
	name      string
	cores     float64
	ramGB     float64
	fetchGBps float64
	bootS     float64 // as the catalog says
	bootsIn   float64 // as machines do here, in seconds
	zones     []string
	capacity  int      // ordinary machines that can be rented; none are spot machines
	noneIn    []string // zones that have none of them at present
}

// host is a rented machine.
type host struct {
	name   string
	ip     string // every machine has an address of its own, as in a real network
	kind   *machineType
	zone   string
	rented time.Time
	up     time.Time // zero: not yet
	gone   time.Time // zero: it is there
	worker *worker
}

// cloud is the stand-in of the cloud.
type cloud struct {
	world *world
	types []*machineType
	lag   time.Duration

	mu     sync.Mutex
	calls  *bucket
	hosts  []*host // in the order of their names
	grants map[string][]string
}

func newCloud(w *world, types []*machineType) *cloud {
	return &cloud{
		world: w, types: types, lag: seconds(w.shape.listLagS), calls: newBucket(w.shape.cloudRPS, 2),
		grants: map[string][]string{},
	}
}

func (c *cloud) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /catalog", c.limited(c.catalog))
	mux.HandleFunc("POST /machines", c.limited(c.rent))
	mux.HandleFunc("POST /machines/delete", c.limited(c.remove))
	mux.HandleFunc("GET /machines", c.limited(c.list))
	return mux
}

func (c *cloud) limited(next http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		c.mu.Lock()
		defer c.mu.Unlock()
		if !c.calls.take(1) {
			replyError(w, http.StatusTooManyRequests, "too many requests")
			return
		}
		next(w, r)
	}
}

func (c *cloud) catalog(w http.ResponseWriter, _ *http.Request) {
	types := []map[string]any{}
	for _, t := range c.types {
		types = append(types, map[string]any{
			"sku": t.name, "cores": t.cores, "gpus": 0, "ram_gb": t.ramGB, "cache_gb": 80,
			"fetch_gb_per_s": t.fetchGBps, "hourly": 0.6, "spot_price": 0.2, "boot_s": t.bootS, "berths": t.zones,
		})
	}
	reply(w, http.StatusOK, map[string]any{"hulls": types})
}

func (c *cloud) rent(w http.ResponseWriter, r *http.Request) {
	var body struct {
		RequestID string `json:"charter"`
		Type      string `json:"hull"`
		Zone      string `json:"berth"`
		Loaners   bool   `json:"loaners"`
		Count     int    `json:"count"`
	}
	if !readJSON(w, r, &body) {
		return
	}
	if names, ok := c.grants[body.RequestID]; ok {
		reply(w, http.StatusOK, map[string]any{"hosts": names})
		return
	}
	kind := c.typeOf(body.Type)
	if kind == nil || body.Count < 1 || body.Count > 50 {
		replyError(w, http.StatusBadRequest, "malformed")
		return
	}
	count := min(body.Count, kind.capacity)
	if body.Loaners || count == 0 || slices.Contains(kind.noneIn, body.Zone) {
		replyError(w, http.StatusServiceUnavailable, "no capacity")
		return
	}
	kind.capacity -= count
	names := []string{}
	for range count {
		h := c.add(kind, body.Zone, time.Now())
		names = append(names, h.name)
		time.AfterFunc(seconds(kind.bootsIn), func() { c.boot(h) })
	}
	c.grants[body.RequestID] = names
	c.world.rec.note("cloud rents %d of %d %s in %s for %s: %v", count, body.Count, body.Type, body.Zone,
		body.RequestID, names)
	reply(w, http.StatusOK, map[string]any{"hosts": names})
}

func (c *cloud) typeOf(name string) *machineType {
	for _, t := range c.types {
		if t.name == name {
			return t
		}
	}
	return nil
}

func (c *cloud) add(kind *machineType, zone string, rented time.Time) *host {
	n := len(c.hosts) + 1
	h := &host{
		name: fmt.Sprintf("vm-%06d", n), ip: fmt.Sprintf("127.101.102.%d", 100+n%150), kind: kind, zone: zone,
		rented: rented,
	}
	c.hosts = append(c.hosts, h)
	return h
}

// boot brings a rented machine up, unless it was deleted before.
func (c *cloud) boot(h *host) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !h.gone.IsZero() {
		return
	}
	k, err := startWorker(c.world, place{h.name, h.kind.name, h.zone}, h.kind, h.ip)
	if err != nil {
		c.world.rec.note("no worker for %s: %v", h.name, err)
		return
	}
	h.worker, h.up = k, time.Now()
}

// addRunning adds a machine that is up since before the start.
func (c *cloud) addRunning(kind *machineType) *host {
	c.mu.Lock()
	h := c.add(kind, kind.zones[0], time.Now().Add(-10*time.Minute))
	c.mu.Unlock()
	c.boot(h)
	h.up = h.rented.Add(time.Minute)
	return h
}

func (c *cloud) remove(w http.ResponseWriter, r *http.Request) {
	var body struct {
		Hosts []string `json:"hosts"`
	}
	if !readJSON(w, r, &body) {
		return
	}
	c.world.rec.note("cloud deletes %v", body.Hosts)
	for _, name := range body.Hosts {
		for _, h := range c.hosts {
			if h.name == name && h.gone.IsZero() {
				h.gone = time.Now()
				h.kind.capacity++
				if h.worker != nil {
					h.worker.end("machine deleted")
					h.worker.server.close()
				}
			}
		}
	}
	reply(w, http.StatusOK, map[string]any{})
}

// list lists the machines as they were one lag ago.
func (c *cloud) list(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	page, _ := strconv.Atoi(q.Get("page"))
	page = max(1, min(page, 500))
	at := time.Now().Add(-c.lag)
	hosts, more := []map[string]any{}, false
	for _, h := range c.hosts {
		if h.name <= q.Get("after") || h.rented.After(at) || (!h.gone.IsZero() && !h.gone.After(at)) {
			continue
		}
		if len(hosts) == page {
			more = true
			break
		}
		item := map[string]any{
			"ref": h.name, "hull": h.kind.name, "berth": h.zone, "loaners": false,
			"phase": h.phase(at), "held_s": at.Sub(h.rented).Seconds(), "endpoint": "",
		}
		if h.worker != nil {
			item["endpoint"] = h.worker.server.address
		}
		hosts = append(hosts, item)
	}
	reply(w, http.StatusOK, map[string]any{"hosts": hosts, "has_next": more})
}

// phase returns the phase in which a machine is listed for a time.
func (h *host) phase(at time.Time) string {
	if h.up.IsZero() || h.up.After(at) {
		return "starting"
	}
	return "running"
}
