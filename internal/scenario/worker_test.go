package scenario

import (
	"encoding/json"
	"slices"
	"sort"
	"strconv"
	"strings"

	"pipitlatch/internal/coordination/messages"

	"pipitlatch/internal/micros"
	"pipitlatch/internal/protocol"
)

type workerTask struct {
	id     string
	try    uint64
	phase  string
	cause  string
	stored bool
	job    *userJob
	life   int
}

// machine is a rented machine with its worker agent.
type machine struct {
	w       *World
	name    string
	address string
	kind    *machineType
	zone    string
	spot    bool
	rented  micros.Time
	speed   float64

	booted  bool
	gone    bool
	goneAt  micros.Time
	deleted bool
	hung    bool
	thaw    []func()
	sick    bool
	late    micros.Time // commands sent straight to it are delayed by up to this
	recall  micros.Time // when it is taken; 0: no notice
	off     bool        // between two runs of the worker
	life    int         // counts them

	mute      bool        // its reports reach nobody
	stubborn  bool        // stops have no effect
	keptUntil micros.Time // reports are kept until then, for the next holder
	copies    int         // of every report
	copyBy    micros.Time // copies of its reports come up to this late
	copyUntil micros.Time // reports are copied until then

	tenure   uint64
	tick     uint64
	warrant  uint64
	answered micros.Time // when the last answered report was sent
	steward  string      // node it reports to
	inFlight bool
	report   int // counts report timers
	lastSent micros.Time
	warned   micros.Time // last time a higher token counted as a change
	tasks    map[string]*workerTask
	images   []cachedImage          // most recently used last
	arriving map[string]micros.Time // images being fetched: when they will be there
}

func (m *machine) boot() {
	if m.gone || m.booted {
		return
	}
	m.booted = true
	m.tenure = 1
	m.answered = m.w.now
	m.steward = m.w.nodes[m.w.rng.IntN(len(m.w.nodes))].name
	m.watchLease()
	m.sendReport()
}

// restart ends the worker and begins it anew under its old name: tenure, tick and
// token start again.
func (m *machine) restart(back micros.Time) {
	if m.gone || !m.booted {
		return
	}
	m.off = true
	m.life++
	m.report++
	m.tasks, m.images, m.arriving = map[string]*workerTask{}, nil, map[string]micros.Time{}
	m.w.after(back, func() {
		m.off, m.inFlight, m.hung, m.thaw = false, false, false, nil
		m.tenure, m.tick, m.warrant, m.warned = 1, 0, 0, 0
		m.answered = m.w.now
		m.steward = m.w.nodes[m.w.rng.IntN(len(m.w.nodes))].name
		m.do(m.sendReport)
	})
}

func (m *machine) vanish() {
	m.gone = true
	m.goneAt = m.w.now
	m.tasks = map[string]*workerTask{}
}

// do runs something on the machine: later, if it hangs.
func (m *machine) do(run func()) {
	if m.gone || m.off {
		return
	}
	if m.hung {
		m.thaw = append(m.thaw, run)
		return
	}
	m.expire()
	run()
}

func (m *machine) hang(length micros.Time) {
	m.hung = true
	m.w.after(length, func() {
		m.hung = false
		late := m.thaw
		m.thaw = nil
		for _, run := range late {
			m.do(run)
		}
	})
}

// expire ends the session if its lease has run out.
func (m *machine) expire() {
	if m.w.now-m.answered <= micros.FromSeconds(m.w.conf.Settings.Workers.LeaseS) {
		return
	}
	m.tasks = map[string]*workerTask{}
	m.tenure++
	m.tick = 0
	m.answered = m.w.now
}

func (m *machine) watchLease() {
	m.w.after(100*micros.Millisecond, func() {
		if m.gone {
			return
		}
		if m.off {
			m.watchLease()
			return
		}
		m.expire() // a hanging machine can only go on within its lease
		m.watchLease()
	})
}

func (m *machine) ids() []string {
	out := make([]string, 0, len(m.tasks))
	for id := range m.tasks {
		out = append(out, id)
	}
	if len(out) > 1 {
		sort.Strings(out)
	}
	return out
}

func (m *machine) runs(job string) bool {
	for _, t := range m.tasks {
		if strings.HasPrefix(t.id, job+"/") && t.on() {
			return true
		}
	}
	return false
}

// on tells whether the task counts as being on its machine.
func (t *workerTask) on() bool { return t.phase == "running" || t.phase == "saving" }

func (m *machine) body() []byte {
	m.tick++
	shards := []map[string]any{}
	for _, id := range m.ids() {
		t := m.tasks[id]
		s := map[string]any{"shard": t.id, "try": t.try, "phase": t.phase}
		if t.phase == "exited" {
			s["cause"] = t.cause
			s["stored"] = t.stored
		}
		shards = append(shards, s)
	}
	r := map[string]any{"host": m.name, "endpoint": m.address, "hull": m.kind.name, "berth": m.zone, "loaners": m.spot,
		"tenure": m.tenure, "tick": m.tick, "warrant": m.warrant, "recall_s": nil, "shards": shards, "later_field": 1}
	if m.recall > 0 {
		r["recall_s"] = micros.Seconds(m.recall - m.w.now)
	}
	return encode(r)
}

func (m *machine) scheduleReport(in micros.Time) {
	m.report++
	n := m.report
	m.w.after(in, func() {
		if n == m.report {
			m.do(m.sendReport)
		}
	})
}

// changed lets a report go out soon.
func (m *machine) changed() {
	if !m.inFlight {
		m.scheduleReport(max(0, m.lastSent+500*micros.Millisecond-m.w.now))
	}
}

func (m *machine) regular() micros.Time {
	return micros.FromSeconds(m.w.conf.Settings.Workers.ReportS * (0.75 + 0.5*m.w.rng.Float64()))
}

func (m *machine) sendReport() {
	if m.inFlight {
		return
	}
	w := m.w
	m.inFlight = true
	m.lastSent = w.now
	sent, tenure, life, over := w.now, m.tenure, m.life, false
	n := w.node(m.steward)
	end := func(status int, body []byte) {
		if over || life != m.life {
			return
		}
		over = true
		m.do(func() { m.answerIn(sent, tenure, status, body) })
	}
	raw := m.body()
	w.after(4*micros.Second, func() { end(0, nil) })
	if w.post != nil {
		w.post(m, raw, end)
		return
	}
	if m.mute {
		return // the connection is not made
	}
	if w.now < m.keptUntil && len(w.kept) < 1000 {
		w.kept = append(w.kept, raw)
	}
	for range m.copies {
		if w.now >= m.copyUntil {
			break
		}
		to := w.nodes[w.rng.IntN(len(w.nodes))]
		w.after(w.rng.Int64N(int64(m.copyBy)), func() { to.copyOf(raw) })
	}
	w.send(m.name, n.name, func() {
		if !n.up() {
			w.send(n.name, m.name, func() { end(0, nil) })
			return
		}
		rep, err := protocol.ParseHeartbeat(raw)
		if err != nil {
			w.breakRule("bench", "a report cannot be read: %v", err)
			return
		}
		n.ask(func(id messages.RequestID) messages.Input {
			return &messages.HeartbeatRequest{Request: id, Heartbeat: rep}
		}, func(a messages.Response) {
			status, body := 503, []byte(nil)
			switch a.Kind {
			case messages.HeartbeatAcknowledged:
				status, body = 200, protocol.EncodeHeartbeatReply(a.FencingToken, a.Commands)
			case messages.HeartbeatRedirected:
				status, body = 421, protocol.EncodeRedirect(a.RedirectTo)
			}
			w.send(n.name, m.name, func() { end(status, body) })
		})
	})
}

// copyOf hands in a copy of a report: nobody waits for the answer.
func (n *node) copyOf(raw []byte) {
	if rep, err := protocol.ParseHeartbeat(raw); err == nil && n.up() {
		n.ask(func(id messages.RequestID) messages.Input {
			return &messages.HeartbeatRequest{Request: id, Heartbeat: rep}
		}, func(messages.Response) {})
	}
}

func (m *machine) answerIn(sent micros.Time, tenure uint64, status int, body []byte) {
	m.inFlight = false
	nextNode := func() {
		for i, n := range m.w.nodes {
			if n.name == m.steward {
				m.steward = m.w.nodes[(i+1)%len(m.w.nodes)].name
				break
			}
		}
		m.scheduleReport(micros.Second)
	}
	switch status {
	case 200:
		var r struct {
			Warrant uint64 `json:"warrant"`
			Orders  []workerOrder
		}
		if json.Unmarshal(body, &r) != nil {
			nextNode()
			return
		}
		m.scheduleReport(m.regular())
		if r.Warrant < m.warrant || tenure != m.tenure {
			return // dropped; stays with this node
		}
		m.answered = max(m.answered, sent)
		m.see(r.Warrant)
		m.execute(r.Orders)
	case 421:
		var r struct {
			Steward string `json:"steward"`
		}
		_ = json.Unmarshal(body, &r)
		if r.Steward == "" || r.Steward == m.steward || m.w.node(r.Steward) == nil {
			nextNode()
			return
		}
		m.steward = r.Steward
		m.scheduleReport(m.w.rng.Int64N(500 * micros.Millisecond))
	default:
		nextNode()
	}
}

func (m *machine) see(warrant uint64) {
	if warrant > m.warrant {
		m.warrant = warrant
		if half := micros.FromSeconds(m.w.conf.Settings.Workers.LeaseS / 2); m.warned == 0 || m.w.now-m.warned > half {
			m.warned = m.w.now
			m.changed()
		}
	}
}

type workerOrder struct {
	Verb      string  `json:"verb"`
	Shard     string  `json:"shard"`
	Try       uint64  `json:"try"`
	WindDownS float64 `json:"wind_down_s"`
}

// direct delivers what is sent straight to the worker.
func (m *machine) direct(run func()) {
	if m.late > 0 {
		m.w.after(m.w.rng.Int64N(int64(m.late)), func() { m.do(run) })
		return
	}
	m.do(run)
}

func (m *machine) show(reply func(int, []byte)) {
	m.direct(func() { reply(200, m.body()) })
}

func (m *machine) commands(body []byte, reply func(int, []byte)) {
	m.direct(func() {
		var r struct {
			Warrant *uint64       `json:"warrant"`
			Tenure  *uint64       `json:"tenure"`
			Orders  []workerOrder `json:"orders"`
		}
		if json.Unmarshal(body, &r) != nil || r.Warrant == nil || r.Tenure == nil {
			reply(400, nil)
			return
		}
		if *r.Warrant < m.warrant || *r.Tenure != m.tenure {
			reply(409, m.body())
			return
		}
		m.see(*r.Warrant)
		m.execute(r.Orders)
		reply(200, m.body())
	})
}

func (m *machine) execute(orders []workerOrder) {
	for _, o := range orders {
		key := o.Shard + "#" + strconv.FormatUint(o.Try, 10)
		t := m.tasks[key]
		switch o.Verb {
		case "run":
			if t == nil {
				m.runTask(key, o)
			}
		case "kill":
			if t == nil || t.phase == "exited" || m.stubborn {
				continue
			}
			if t.phase == "running" && t.job.snapshotEvery > 0 && o.WindDownS >= t.job.snapshotS && o.WindDownS > 0 {
				t.phase = "saving"
				life := t.life
				m.w.after(micros.FromSeconds(t.job.snapshotS), func() {
					m.do(func() {
						if m.tasks[key] == t && t.life == life && t.phase == "saving" {
							t.stored = true
							m.exit(t, "stopped")
						}
					})
				})
				continue
			}
			m.exit(t, "stopped")
		case "forget":
			if t != nil && t.phase == "exited" {
				delete(m.tasks, key)
			}
		}
	}
}

func (m *machine) exit(t *workerTask, cause string) {
	t.phase, t.cause = "exited", cause
	t.life++
	m.changed()
}

func (m *machine) runTask(key string, o workerOrder) {
	i := strings.LastIndexByte(o.Shard, '/')
	n, _ := strconv.Atoi(o.Shard[i+1:])
	j := m.w.users.jobs[o.Shard[:i]]
	t := &workerTask{id: o.Shard, try: o.Try, phase: "exited", cause: "unknown", job: j}
	m.tasks[key] = t
	defer m.changed()
	if j == nil || n < 0 || n >= j.shards || !j.sent {
		return
	}
	cores, ram := m.kind.cores-j.cores, m.kind.ram-j.ram
	for _, id := range m.ids() { // in order: a sum of fractions depends on it
		other := m.tasks[id]
		if other == t || other.phase == "exited" {
			continue
		}
		if other.id == t.id {
			t.cause = "busy"
			return
		}
		cores -= other.job.cores
		ram -= other.job.ram
	}
	if cores < 0 || ram < 0 {
		t.cause = "no_room"
		return
	}
	t.phase, t.cause = "fetching", ""
	fetch := m.fetchTime(j)
	life := t.life
	m.w.after(fetch, func() {
		m.do(func() {
			if m.tasks[key] != t || t.life != life || t.phase != "fetching" {
				return
			}
			m.cache(j)
			t.phase = "running"
			m.w.users.started(m, t, n)
			m.changed()
			m.runOut(key, t, n)
		})
	})
}

// cachedImage is an image in a machine's cache.
type cachedImage struct {
	name string
	gb   float64
}

// fetchTime is how long a task waits for its image: one fetch serves all that wait.
func (m *machine) fetchTime(j *userJob) micros.Time {
	if slices.ContainsFunc(m.images, func(c cachedImage) bool { return c.name == j.bundle }) {
		return 0
	}
	if m.arriving[j.bundle] <= m.w.now {
		m.arriving[j.bundle] = m.w.now + micros.FromSeconds(j.sizeGB/m.kind.fetch)
	}
	return m.arriving[j.bundle] - m.w.now
}

// cache keeps the images that were used last.
func (m *machine) cache(j *userJob) {
	m.images = slices.DeleteFunc(m.images, func(c cachedImage) bool { return c.name == j.bundle })
	m.images = append(m.images, cachedImage{j.bundle, j.sizeGB})
	sum := 0.0
	for _, c := range m.images {
		sum += c.gb
	}
	for ; sum > m.kind.cache && len(m.images) > 1; m.images = m.images[1:] {
		sum -= m.images[0].gb
	}
}

func (m *machine) runOut(key string, t *workerTask, n int) {
	j := t.job
	life := t.life
	length := micros.Time(float64(j.runs) * m.speed)
	if n%3 == 2 {
		length = micros.Time(float64(length) * j.odd)
	}
	switch {
	case j.done[n]:
		length = 0
	case m.sick || j.mistaken:
		length = micros.Second
	case j.shape == "service":
		return
	}
	failing := m.sick || j.mistaken
	m.w.after(length, func() {
		m.do(func() {
			if m.tasks[key] != t || t.life != life || t.phase != "running" {
				return
			}
			if failing && !j.done[n] {
				m.exit(t, "error")
				return
			}
			j.done[n] = true
			if u := m.w.users; len(j.done) == j.shards && m.w.now < u.cancelUntil && m.w.rng.Float64() < u.cancelShare {
				u.cancel(j)
			}
			m.exit(t, "done")
		})
	})
}
