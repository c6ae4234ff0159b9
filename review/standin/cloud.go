package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"sort"
	"strconv"
	"sync"
	"time"
)

// machineType is an entry of the catalog.
type machineType struct {
	Name      string   `json:"sku"`
	Cores     float64  `json:"cores"`
	GPUs      float64  `json:"gpus"`
	RAM       float64  `json:"ram_gb"`
	Cache     float64  `json:"cache_gb"`
	Fetch     float64  `json:"fetch_gb_per_s"`
	Price     float64  `json:"hourly"`
	SpotPrice float64  `json:"spot_price"`
	Boot      float64  `json:"boot_s"`
	Zones     []string `json:"berths"`
}

// instance is a machine that the cloud has rented out.
type instance struct {
	name, kind, zone string
	spot             bool
	rented           time.Time
	up               time.Time // when its worker starts
	gone             time.Time
	died             time.Time
	worker           *worker
}

// quickBoot is the boot time of machines that are requested: at times they are up within a second or two.
const quickBoot = 2 * time.Second

// cloud is a stand-in of the cloud.
type cloud struct {
	mu        sync.Mutex
	types     []machineType
	room      map[string]int // machines that can still be rented, by type, zone and kind
	lag       time.Duration
	instances map[string]*instance
	granted   map[string][]string
	nextName  int
	world     *world
	rps       float64
	calls     bucket
}

func newCloud(wd *world, types []machineType, lag time.Duration, rps float64) *cloud {
	return &cloud{
		types: types, room: map[string]int{}, lag: lag, instances: map[string]*instance{},
		granted: map[string][]string{}, world: wd, rps: rps,
	}
}

func roomKey(kind, zone string, spot bool) string { return fmt.Sprint(kind, "/", zone, "/", spot) }

func (c *cloud) typeOf(name string) *machineType {
	for i := range c.types {
		if c.types[i].Name == name {
			return &c.types[i]
		}
	}
	return nil
}

// rent adds a machine whose worker starts after boot. The caller holds the lock.
func (c *cloud) rent(kind, zone string, spot bool, age, boot time.Duration) *instance {
	c.nextName++
	now := time.Now()
	i := &instance{
		name: fmt.Sprintf("vm-%06d", c.nextName), kind: kind, zone: zone, spot: spot,
		rented: now.Add(-age), up: now.Add(boot),
	}
	i.worker = newWorker(c.world, i, c.typeOf(kind))
	c.instances[i.name] = i
	time.AfterFunc(boot, func() { i.worker.start() })
	return i
}

// offer sets how many machines of a type can be rented in a zone.
func (c *cloud) offer(n int, kind, zone string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.room[roomKey(kind, zone, false)] = n
}

// add adds machines that are up, or about to be, when the day begins.
func (c *cloud) add(n int, kind, zone string, boot time.Duration) []*instance {
	c.mu.Lock()
	defer c.mu.Unlock()
	var added []*instance
	for range n {
		added = append(added, c.rent(kind, zone, false, time.Minute, boot))
	}
	return added
}

// die stops a machine with all that is on it.
func (c *cloud) die(i *instance) {
	c.mu.Lock()
	i.died = time.Now()
	c.mu.Unlock()
	i.worker.die("machine stopped")
}

func (c *cloud) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	time.Sleep(cloudLatency)
	body, err := io.ReadAll(io.LimitReader(r.Body, maxBody))
	if err != nil {
		answer(w, 400, map[string]any{"error": "malformed"})
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.calls.take(1, 2*c.rps, c.rps, time.Now()) {
		answer(w, 429, map[string]any{"error": "too many requests"})
		return
	}
	switch r.Method + " " + r.URL.Path {
	case "GET /catalog":
		answer(w, 200, map[string]any{"hulls": c.types})
	case "GET /machines":
		c.list(w, r)
	case "POST /machines":
		c.request(w, body)
	case "POST /machines/delete":
		c.delete(w, body)
	default:
		answer(w, 400, map[string]any{"error": "malformed"})
	}
}

func (c *cloud) list(w http.ResponseWriter, r *http.Request) {
	after := r.URL.Query().Get("after")
	page, _ := strconv.Atoi(r.URL.Query().Get("page"))
	if page <= 0 || page > 500 {
		page = 500
	}
	at := time.Now().Add(-c.lag)
	var names []string
	for name, i := range c.instances {
		if name > after && i.rented.Before(at) && (i.gone.IsZero() || i.gone.After(at)) {
			names = append(names, name)
		}
	}
	sort.Strings(names)
	rows := []map[string]any{}
	for _, name := range names[:min(page, len(names))] {
		i := c.instances[name]
		phase := "starting"
		if i.up.Before(at) {
			phase = "running"
		}
		if !i.died.IsZero() && i.died.Add(30*time.Second).Before(at) {
			phase = "failed"
		}
		rows = append(rows, map[string]any{
			"ref": name, "endpoint": i.worker.address, "hull": i.kind, "berth": i.zone, "loaners": i.spot,
			"phase": phase, "held_s": at.Sub(i.rented).Seconds(),
		})
	}
	answer(w, 200, map[string]any{"hosts": rows, "has_next": len(names) > page})
}

func (c *cloud) request(w http.ResponseWriter, body []byte) {
	var q struct {
		Name  string `json:"charter"`
		Kind  string `json:"hull"`
		Zone  string `json:"berth"`
		Spot  bool   `json:"loaners"`
		Count int    `json:"count"`
	}
	if json.Unmarshal(body, &q) != nil || q.Name == "" || c.typeOf(q.Kind) == nil || q.Count < 1 || q.Count > 50 {
		answer(w, 400, map[string]any{"error": "malformed"})
		return
	}
	if names, ok := c.granted[q.Name]; ok {
		answer(w, 200, map[string]any{"hosts": names})
		return
	}
	key := roomKey(q.Kind, q.Zone, q.Spot)
	n := min(q.Count, c.room[key])
	c.world.note("cloud: request %s for %d %s in %s spot=%v: %d", q.Name, q.Count, q.Kind, q.Zone, q.Spot, n)
	if n == 0 {
		answer(w, 503, map[string]any{"error": "no capacity"})
		return
	}
	c.room[key] -= n
	names := []string{}
	for range n {
		names = append(names, c.rent(q.Kind, q.Zone, q.Spot, 0, quickBoot).name)
	}
	c.granted[q.Name] = names
	answer(w, 200, map[string]any{"hosts": names})
}

func (c *cloud) delete(w http.ResponseWriter, body []byte) {
	var q struct {
		Names []string `json:"hosts"`
	}
	if json.Unmarshal(body, &q) != nil || len(q.Names) > 100 {
		answer(w, 400, map[string]any{"error": "malformed"})
		return
	}
	for _, name := range q.Names {
		i := c.instances[name]
		if i == nil || !i.gone.IsZero() {
			continue
		}
		i.gone = time.Now()
		c.room[roomKey(i.kind, i.zone, i.spot)]++
		c.world.note("cloud: %s is deleted", name)
		i.worker.die("machine deleted")
	}
	answer(w, 200, map[string]any{})
}

// count returns how many machines are rented out.
func (c *cloud) count() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	n := 0
	for _, i := range c.instances {
		if i.gone.IsZero() {
			n++
		}
	}
	return n
}
